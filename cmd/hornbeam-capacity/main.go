// Command hornbeam-capacity fits linear slopes to measured runs and writes the
// table and plots of docs/CAPACITY.md.
//
// Exit codes: 0 success, 1 failure.
package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/capacity"
)

// Marker lines of the page; the generated table is written between them.
const (
	tableBegin = "<!-- table: begin -->\n"
	tableEnd   = "<!-- table: end -->\n"
)

const (
	dirMode  = 0o755
	pageMode = 0o644
)

func main() {
	app := &cli.App{
		Name:  "hornbeam-capacity",
		Usage: "fit the measured slopes and write them to the capacity page",
		Description: "Example:\n   scripts/capacity.sh\n" +
			"   hornbeam-capacity --runs out/capacity --page docs/CAPACITY.md --plots docs/capacity",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "runs", Usage: "read the runs in `FOLDER`", Required: true},
			&cli.StringFlag{Name: "page", Usage: "write the table to `FILE`", Required: true},
			&cli.StringFlag{Name: "plots", Usage: "write the plots to `FOLDER`", Required: true},
		},
		Action: run,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hornbeam-capacity:", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	slopes, err := capacity.InProcess()
	if err != nil {
		return err
	}
	measured, err := capacity.FromRuns(c.String("runs"))
	if err != nil {
		return err
	}
	slopes = append(slopes, measured...)
	if err := os.MkdirAll(c.String("plots"), dirMode); err != nil {
		return eris.Wrap(err, "plots")
	}
	if err := capacity.WritePlots(c.String("plots"), slopes); err != nil {
		return err
	}
	return replaceTable(c.String("page"), slopes)
}

// replaceTable replaces the text between the marker lines of the page by the
// table of the slopes.
func replaceTable(page string, slopes []capacity.Slope) error {
	raw, err := os.ReadFile(page)
	if err != nil {
		return eris.Wrap(err, "capacity page")
	}
	before, rest, foundBegin := bytes.Cut(raw, []byte(tableBegin))
	_, after, foundEnd := bytes.Cut(rest, []byte(tableEnd))
	if !foundBegin || !foundEnd {
		return eris.Errorf("%s: table markers not found", page)
	}
	var out bytes.Buffer
	out.Write(before)
	out.WriteString(tableBegin)
	if err := capacity.WriteTable(&out, slopes); err != nil {
		return err
	}
	out.WriteString(tableEnd)
	out.Write(after)
	return eris.Wrap(os.WriteFile(page, out.Bytes(), pageMode), "capacity page")
}
