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
	// pollPeriod is the time between two queries for the rollout of a version.
	pollPeriod = 250 * time.Millisecond
	// defaultChanges is the number of changes that are listed without --last.
	defaultChanges = 20
)

func changeCommand() *cli.Command {
	return &cli.Command{
		Name: "change", Usage: "show changes and where they are in force", Category: categoryOperators,
		Subcommands: []*cli.Command{
			{
				Name: "list", Usage: "show who changed what", Action: operator(listChanges),
				Flags: []cli.Flag{
					timeoutFlag(),
					&cli.IntFlag{Name: "last", Usage: "the number of changes to show", Value: defaultChanges},
				},
			},
			{
				Name: "where", Usage: "show for each domain whether a version is in force", ArgsUsage: "[VERSION]",
				Flags: []cli.Flag{timeoutFlag(), &cli.BoolFlag{Name: flagWait, Usage: "wait until it is in force"}}, Action: operator(where),
			},
		},
	}
}

func listChanges(s *session) error {
	last := model.ConfigVersion(max(s.c.Int("last"), 0))
	after := s.config.Version - min(last, s.config.Version)
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
	version := s.config.Version
	if text := s.c.Args().First(); text != "" {
		number, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return cli.Exit("VERSION is not an integer", exitUsage)
		}
		version = model.ConfigVersion(number)
	}
	if s.c.Bool(flagWait) {
		return s.await(version)
	}
	reply, err := s.rollout(version)
	if err != nil {
		return err
	}
	return show(s.c, reply, func(w io.Writer) { writeForce(w, reply.Domains) })
}

func (s *session) rollout(version model.ConfigVersion) (operate.RolloutReply, error) {
	reply, err := s.client.InForce(s.ctx, version)
	if err != nil {
		return reply, cli.Exit(err.Error(), exitFailure)
	}
	return reply, refusal(reply.Refusal)
}

// await reports each failure domain when its state changes, and returns when the
// version is in force in every domain that answers.
func (s *session) await(version model.ConfigVersion) error {
	startedAt := time.Now()
	reported := map[model.DomainName]operate.RolloutState{}
	for {
		reply, err := s.rollout(version)
		if err != nil {
			return err
		}
		s.report(reply, reported, time.Since(startedAt))
		if len(domainsIn(reply, operate.Spreading)) == 0 {
			return s.finish(reply)
		}
		select {
		case <-s.ctx.Done():
			return cli.Exit("not in force yet in "+strings.Join(domainsIn(reply, operate.Spreading), ", "), exitPending)
		case <-time.After(pollPeriod):
		}
	}
}

// report writes the domains whose state has changed since the last report.
func (s *session) report(reply operate.RolloutReply, reported map[model.DomainName]operate.RolloutState, after time.Duration) {
	var changed []operate.DomainRollout
	for _, domain := range reply.Domains {
		if reported[domain.Domain] != domain.Spread {
			reported[domain.Domain] = domain.Spread
			changed = append(changed, domain)
		}
	}
	if s.c.String(flagOutput) == outputJSON || len(changed) == 0 {
		return
	}
	fmt.Fprintf(s.c.App.Writer, "after %s\n", after.Round(time.Millisecond))
	writeForce(s.c.App.Writer, changed)
}

// finish writes the last reply, and fails when a failure domain can't be reached.
func (s *session) finish(reply operate.RolloutReply) error {
	if err := show(s.c, reply, func(io.Writer) {}); err != nil {
		return err
	}
	if unreachable := domainsIn(reply, operate.Unreachable); len(unreachable) > 0 {
		return cli.Exit("not known to be in force in "+strings.Join(unreachable, ", ")+": cut off", exitPending)
	}
	return nil
}

// domainsIn returns the failure domains whose rollout is in the given state.
func domainsIn(reply operate.RolloutReply, spread operate.RolloutState) []string {
	var names []string
	for _, domain := range reply.Domains {
		if domain.Spread == spread {
			names = append(names, string(domain.Domain))
		}
	}
	return names
}

func writeForce(w io.Writer, domains []operate.DomainRollout) {
	var rows []string
	for _, d := range domains {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d of %d\t%s\t%s", d.Domain, d.Spread, d.Acting, d.Answering,
			joinAddresses(d.Behind), joinAddresses(d.Silent)))
	}
	writeTable(w, "DOMAIN\tVERSION IS\tPROCESSES\tBEHIND\tNO ANSWER", rows)
}

func joinAddresses(addresses []string) string {
	if len(addresses) == 0 {
		return noValue
	}
	return strings.Join(addresses, " ")
}
