package main

import (
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/deployment"
	"github.com/hornbeamworks/hornbeam/measure"
)

// The flags of both measuring commands.
const (
	flagPlatform = "platform"
	flagAdmin    = "admin"
)

func measureCommands() []*cli.Command {
	sourceFlags := []cli.Flag{
		&cli.StringFlag{Name: flagPlatform, Usage: "the stand-ins' base `URL`", Required: true},
		&cli.StringSliceFlag{Name: flagAdmin, Usage: "the `ADDRESS` of a process's admin pages; may be repeated"},
	}
	return []*cli.Command{
		{
			Name: "snapshot", Usage: "write all counters to a file",
			Flags: append([]cli.Flag{
				&cli.StringFlag{Name: "file", Usage: "write to `FILE`", Required: true},
			}, sourceFlags...),
			Action: saveSnapshot,
		},
		{
			Name: "measure", Usage: "report packing, share error and the cost of the control plane since a snapshot",
			Flags: append([]cli.Flag{
				&cli.StringFlag{Name: "since", Usage: "the snapshot's `FILE`", Required: true},
				&cli.StringFlag{Name: "answers", Usage: "read callers' answers from `FILE`", Required: true},
				&cli.StringFlag{Name: "append", Usage: "append the figures to `FILE` as a line of JSON"},
				&cli.StringFlag{Name: "deployment", Usage: "read the deployment from `FILE`", Required: true},
			}, sourceFlags...),
			Action: runMeasure,
		},
	}
}

func source(c *cli.Context) measure.Source {
	return measure.Source{
		Client:   &http.Client{Timeout: fetchTimeout},
		Platform: c.String(flagPlatform),
		Admins:   c.StringSlice(flagAdmin),
	}
}

func saveSnapshot(c *cli.Context) error {
	snapshot, err := source(c).Read(c.Context, time.Now())
	if err != nil {
		return err
	}
	return snapshot.Save(c.String("file"))
}

func runMeasure(c *cli.Context) error {
	now, err := source(c).Read(c.Context, time.Now())
	if err != nil {
		return err
	}
	earlier, err := measure.LoadSnapshot(c.String("since"))
	if err != nil {
		return err
	}
	d, err := deployment.Load(c.String("deployment"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	usage, err := fleetUsage(c, d)
	if err != nil {
		return err
	}
	report := now.Since(earlier, usage, d)
	if file := c.String("append"); file != "" {
		if err := report.Append(file); err != nil {
			return err
		}
	}
	return report.Write(os.Stdout)
}

func fleetUsage(c *cli.Context, d *deployment.Deployment) (measure.Usage, error) {
	records, err := readSource(c.String(flagPlatform)+"/records", audit.ReadRecords)
	if err != nil {
		return measure.Usage{}, eris.Wrap(err, "records")
	}
	callers, err := readSource(c.String("answers"), audit.ReadCallers)
	if err != nil {
		return measure.Usage{}, eris.Wrap(err, "answers")
	}
	return measure.FleetUsage(records, callers, d.Config(nil).Teams), nil
}
