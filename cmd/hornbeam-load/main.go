// Command hornbeam-load sends a workload to entry instances, checks every answer
// and reports the waiting times.
//
// Exit codes: 0 every accepted request was answered correctly; 1 failure;
// 2 wrong arguments or workload; 4 an answer was wrong or missing; 5
// interrupted.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/load"
)

// The exit codes.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitWrong       = 4
	exitInterrupted = 5
)

// The defaults.
const (
	defaultDuration             = 10 * time.Second
	defaultAnswerTimeout        = 2 * time.Minute
	defaultCallers              = 512
	defaultDuplicateProbability = 0.05
)

// version is set at link time.
var version = "development"

const description = `Sends the requests of a workload at random times, each to one of the entry
instances as a load balancer would, retries and waits until it is answered, and
checks that each answer is complete, in order, correct and the same on every
read. The callers' records are input of the audit (hornbeam-standin audit
--answers FILE).

Examples:
   hornbeam-load --workload workloads/consortium.ini --keys keys.ini --gate http://127.0.0.1:7080
   hornbeam-load --workload workloads/zarqa.ini --keys keys.ini --gate http://127.0.0.1:7080 \
      --gate http://127.0.0.1:7081 --duration 30s --records answers.jsonl --plot waiting.svg
   hornbeam-load --workload workloads/zarqa.ini --check-settings

Exit codes: 0 every accepted request was answered correctly; 1 failure; 2
wrong arguments or workload; 4 an answer was wrong or missing; 5 interrupted.`

func main() {
	app := &cli.App{
		Name:        "hornbeam-load",
		Usage:       "send a workload to entry instances and check every answer",
		Description: description,
		Version:     version,
		Flags:       flags(),
		Action:      run,
		ExitErrHandler: func(*cli.Context, error) {
			// main reports the error itself.
		},
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hornbeam-load:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return exitUsage
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "workload", Usage: "read the workload from `FILE`", Required: true},
		&cli.StringFlag{Name: "keys", Usage: "read the teams' secrets from `FILE`"},
		&cli.StringSliceFlag{Name: "gate", Usage: "use the entry instance at `URL`; may be repeated", Value: cli.NewStringSlice("http://127.0.0.1:7080")},
		&cli.DurationFlag{Name: "duration", Usage: "send requests for `TIME`", Value: defaultDuration},
		&cli.DurationFlag{Name: "give-up", Usage: "stop waiting for an answer after `TIME`", Value: defaultAnswerTimeout},
		&cli.IntFlag{Name: "callers", Usage: "keep at most `N` requests in flight", Value: defaultCallers},
		&cli.Uint64Flag{Name: "seed", Usage: "the seed of the random number generators", Value: 1},
		&cli.Float64Flag{Name: "rate", Usage: "multiply the rate of every stream by `FACTOR`", Value: 1},
		&cli.Float64Flag{Name: "again", Usage: "request the answer a second time with this `PROBABILITY`", Value: defaultDuplicateProbability},
		&cli.StringFlag{Name: "records", Usage: "write the callers' records to `FILE`"},
		&cli.StringFlag{Name: "plot", Usage: "plot the waiting times to `FILE` (svg, png or pdf)"},
		&cli.BoolFlag{Name: "check-settings", Usage: "check the workload and exit"},
	}
}

func run(c *cli.Context) error {
	options, err := readOptions(c)
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	if c.Bool("check-settings") {
		fmt.Fprintln(c.App.Writer, "the workload is valid")
		return nil
	}
	records, err := openRecords(c.String("records"))
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	options.Records = records
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result, err := load.Run(ctx, options)
	if err := errors.Join(err, records.Close()); err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	return report(c, result)
}

func readOptions(c *cli.Context) (load.Options, error) {
	options := load.Options{
		Gates:                c.StringSlice("gate"),
		Keys:                 &load.Keys{},
		Duration:             c.Duration("duration"),
		AnswerTimeout:        c.Duration("give-up"),
		Callers:              c.Int("callers"),
		Seed:                 c.Uint64("seed"),
		Run:                  strconv.FormatInt(time.Now().UnixNano(), 36),
		DuplicateProbability: c.Float64("again"),
		Out:                  c.App.Writer,
	}
	if options.Callers < 1 {
		return options, errors.New("--callers must be at least 1")
	}
	var err error
	if options.Workload, err = load.Read(c.String("workload")); err != nil {
		return options, err
	}
	if err = options.Workload.Scale(c.Float64("rate")); err != nil {
		return options, err
	}
	if file := c.String("keys"); file != "" {
		options.Keys, err = load.ReadKeys(file)
	}
	return options, err
}

// openRecords creates the file for records; with an empty name they are
// discarded.
func openRecords(name string) (io.WriteCloser, error) {
	if name == "" {
		name = os.DevNull
	}
	return os.Create(name)
}

func report(c *cli.Context, result *load.Result) error {
	fmt.Fprintln(c.App.Writer)
	err := result.Write(c.App.Writer)
	if file := c.String("plot"); err == nil && file != "" {
		err = result.Plot(file)
	}
	switch {
	case err != nil:
		return cli.Exit(err.Error(), exitFailure)
	case result.Interrupted:
		return cli.Exit("interrupted", exitInterrupted)
	case result.Wrong > 0:
		return cli.Exit(fmt.Sprintf("%d answers were wrong or missing", result.Wrong), exitWrong)
	default:
		return nil
	}
}
