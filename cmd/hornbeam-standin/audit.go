package main

import (
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/standin"
)

// fetchTimeout bounds an HTTP request for records or counters.
const fetchTimeout = 30 * time.Second

func auditCommand() *cli.Command {
	defaults := audit.DefaultOptions()
	return &cli.Command{
		Name:  "audit",
		Usage: "check a run against the stand-ins' records and the callers' answers",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "records", Usage: "read records from `URL|FILE`; may be repeated", Required: true},
			&cli.StringSliceFlag{Name: "answers", Usage: "read callers' answers from `FILE`; may be repeated"},
			&cli.DurationFlag{Name: "out-grace", Usage: "allow starts for `TIME` after a domain, rack or endpoint is taken out", Value: defaults.OutGrace},
			&cli.DurationFlag{Name: "limit-grace", Usage: "allow the previous limit for `TIME`", Value: defaults.LimitGrace},
			&cli.DurationFlag{Name: "leaving-grace", Usage: "allow starts on a leaving endpoint for `TIME`", Value: defaults.LeavingGrace},
			&cli.DurationFlag{Name: "key-grace", Usage: "allow a withdrawn key for `TIME`", Value: defaults.KeyGrace},
		},
		Action: runAudit,
	}
}

func runAudit(c *cli.Context) error {
	in := audit.Input{Options: audit.Options{
		OutGrace:     c.Duration("out-grace"),
		LimitGrace:   c.Duration("limit-grace"),
		LeavingGrace: c.Duration("leaving-grace"),
		KeyGrace:     c.Duration("key-grace"),
	}}
	for _, source := range c.StringSlice("records") {
		records, err := readSource(source, audit.ReadRecords)
		if err != nil {
			return err
		}
		in.Records = append(in.Records, records...)
	}
	for _, source := range c.StringSlice("answers") {
		callers, err := readSource(source, audit.ReadCallers)
		if err != nil {
			return err
		}
		in.Callers = append(in.Callers, callers...)
	}
	report := audit.Check(in)
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	if !report.OK() {
		return cli.Exit("the audit found violations", exitViolations)
	}
	return nil
}

// readSource reads records from the source, a file or an http:// URL.
func readSource[T standin.Record | audit.CallerRecord](source string, read func(io.Reader) ([]T, error)) ([]T, error) {
	open := openFile
	if strings.HasPrefix(source, "http://") {
		open = openURL
	}
	input, err := open(source)
	if err != nil {
		return nil, eris.Wrap(err, source)
	}
	defer func() { _ = input.Close() }()
	return read(input)
}

func openFile(name string) (io.ReadCloser, error) { return os.Open(name) }

func openURL(url string) (io.ReadCloser, error) {
	client := http.Client{Timeout: fetchTimeout}
	response, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, eris.Errorf("status %d", response.StatusCode)
	}
	return response.Body, nil
}
