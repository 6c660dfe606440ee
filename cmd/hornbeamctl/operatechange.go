package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/operate"
)

const (
	// lookPeriod is the time between two looks at where a version is in force.
	lookPeriod = 250 * time.Millisecond
	// defaultEntries is the number of changes that are listed.
	defaultEntries = 20
)

func changeCommand() *cli.Command {
	return &cli.Command{
		Name: "change", Usage: "show changes and where they are in force", Category: operators,
		Subcommands: []*cli.Command{
			{
				Name: "list", Usage: "show who changed what", Action: operator(listChanges),
				Flags: []cli.Flag{
					timeoutFlag(),
					&cli.IntFlag{Name: "last", Usage: "the number of changes to show", Value: defaultEntries},
				},
			},
			{
				Name: "where", Usage: "show domain by domain where a version is in force", ArgsUsage: "[VERSION]",
				Flags: []cli.Flag{timeoutFlag(), &cli.BoolFlag{Name: flagWait, Usage: "wait until it is in force"}}, Action: operator(where),
			},
		},
	}
}

func listChanges(s *session) error {
	last := model.ConfigVersion(max(s.c.Int("last"), 0))
	after := s.shown.Version - min(last, s.shown.Version)
	log, err := s.client.Audit(s.ctx, after, int(last))
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	if err := refusal(log.Refusal); err != nil {
		return err
	}
	return show(s.c, log.Entries, func(w io.Writer) {
		var rows []string
		for _, e := range log.Entries {
			rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s\t%s", e.Version, e.At.Format(time.RFC3339), e.Author, e.Item, e.Summary))
		}
		writeTable(w, "VERSION\tAT\tBY\tITEM\tCHANGE", rows)
	})
}

func where(s *session) error {
	version := s.shown.Version
	if text := s.c.Args().First(); text != "" {
		number, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return cli.Exit("VERSION is no whole number", exitUsage)
		}
		version = model.ConfigVersion(number)
	}
	if s.c.Bool(flagWait) {
		return s.await(version)
	}
	force, err := s.force(version)
	if err != nil {
		return err
	}
	return show(s.c, force, func(w io.Writer) { writeForce(w, force.Domains) })
}

func (s *session) force(version model.ConfigVersion) (operate.Force, error) {
	force, err := s.client.InForce(s.ctx, version)
	if err != nil {
		return force, cli.Exit(err.Error(), exitFailure)
	}
	return force, refusal(force.Refusal)
}

// await shows each failure domain as the version comes in force there, and ends
// when no domain that answers lacks it.
func (s *session) await(version model.ConfigVersion) error {
	started := time.Now()
	seen := map[model.DomainName]operate.Spread{}
	for {
		force, err := s.force(version)
		if err != nil {
			return err
		}
		s.report(force, seen, time.Since(started))
		if len(waitingFor(force, operate.Spreading)) == 0 {
			return s.ended(force)
		}
		select {
		case <-s.ctx.Done():
			return cli.Exit("not in force yet in "+strings.Join(waitingFor(force, operate.Spreading), ", "), exitPending)
		case <-time.After(lookPeriod):
		}
	}
}

// report writes the domains whose state differs from what was seen last.
func (s *session) report(force operate.Force, seen map[model.DomainName]operate.Spread, after time.Duration) {
	var changed []operate.DomainForce
	for _, domain := range force.Domains {
		if seen[domain.Domain] != domain.Spread {
			seen[domain.Domain] = domain.Spread
			changed = append(changed, domain)
		}
	}
	if s.c.String(flagOutput) == outputJSON || len(changed) == 0 {
		return
	}
	fmt.Fprintf(s.c.App.Writer, "after %s\n", after.Round(time.Millisecond))
	writeForce(s.c.App.Writer, changed)
}

// ended shows the last look, and fails when a failure domain is cut off.
func (s *session) ended(force operate.Force) error {
	if err := show(s.c, force, func(io.Writer) {}); err != nil {
		return err
	}
	if cut := waitingFor(force, operate.CutOff); len(cut) > 0 {
		return cli.Exit("not known to be in force in "+strings.Join(cut, ", ")+": cut off", exitPending)
	}
	return nil
}

// waitingFor returns the failure domains where the version has spread so far.
func waitingFor(force operate.Force, spread operate.Spread) []string {
	var names []string
	for _, domain := range force.Domains {
		if domain.Spread == spread {
			names = append(names, string(domain.Domain))
		}
	}
	return names
}

func writeForce(w io.Writer, domains []operate.DomainForce) {
	var rows []string
	for _, d := range domains {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d of %d\t%s\t%s", d.Domain, d.Spread, d.Acting, d.Answering,
			orNone(d.Behind), orNone(d.Silent)))
	}
	writeTable(w, "DOMAIN\tVERSION IS\tPROCESSES\tBEHIND\tNO ANSWER", rows)
}

func orNone(addresses []string) string {
	if len(addresses) == 0 {
		return notKnown
	}
	return strings.Join(addresses, " ")
}
