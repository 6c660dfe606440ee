// Command hornbeam-capacity fits the measured slopes and writes the table and
// plots of docs/CAPACITY.md.
//
// Exit codes: 0 done, 1 failure.
package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/capacity"
)

// The lines of the page that the table stands between.
const (
	tableBegin = "<!-- table: begin -->\n"
	tableEnd   = "<!-- table: end -->\n"
)

const (
	folderMode = 0o755
	pageMode   = 0o644
)

func main() {
	app := &cli.App{
		Name:  "hornbeam-capacity",
		Usage: "fit the measured slopes and write them into the capacity page",
		Description: "Example:\n   scripts/capacity.sh\n" +
			"   hornbeam-capacity --runs out/capacity --page docs/CAPACITY.md --plots docs/capacity",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "runs", Usage: "read the runs in `FOLDER`", Required: true},
			&cli.StringFlag{Name: "page", Usage: "write the table into `FILE`", Required: true},
			&cli.StringFlag{Name: "plots", Usage: "write the plots into `FOLDER`", Required: true},
		},
		Action: run,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hornbeam-capacity:", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	slopes, err := capacity.Stated()
	if err != nil {
		return err
	}
	live, err := capacity.Live(c.String("runs"))
	if err != nil {
		return err
	}
	slopes = append(slopes, live...)
	if err := os.MkdirAll(c.String("plots"), folderMode); err != nil {
		return eris.Wrap(err, "plots")
	}
	if err := capacity.WritePlots(c.String("plots"), slopes); err != nil {
		return err
	}
	return replaceTable(c.String("page"), slopes)
}

// replaceTable writes the table between the two lines of the page.
func replaceTable(page string, slopes []capacity.Slope) error {
	raw, err := os.ReadFile(page)
	if err != nil {
		return eris.Wrap(err, "capacity page")
	}
	before, rest, found := bytes.Cut(raw, []byte(tableBegin))
	_, after, closed := bytes.Cut(rest, []byte(tableEnd))
	if !found || !closed {
		return eris.Errorf("%s lacks the lines that the table stands between", page)
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
