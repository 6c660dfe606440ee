package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
)

const (
	// percent is the whole of a percentage.
	percent = 100
	// columnGap is the space between columns.
	columnGap = 2
	// notKnown stands for what nobody answered.
	notKnown = "-"
)

func inspectCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "status", Usage: "show the fleet, teams, classes and failure domains", Category: "callers and operators",
			Flags: []cli.Flag{timeoutFlag()}, Action: status,
		},
		{
			Name: "explain", Usage: "say why a request waits or was refused", Category: "callers and operators", ArgsUsage: "REQUEST",
			Flags: []cli.Flag{timeoutFlag()}, Action: explain,
		},
	}
}

func explain(c *cli.Context) error {
	ctx, stop := context.WithTimeout(c.Context, c.Duration("timeout"))
	defer stop()
	id, entry, err := requestAtEntry(c)
	if err != nil {
		return err
	}
	account, err := entry.Explain(ctx, id)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	return show(c, account, func(w io.Writer) { writeAccount(w, account) })
}

func writeAccount(w io.Writer, account gate.Account) {
	writeAnswer(w, account.Answer)
	e := account.Explanation
	if e == nil {
		return
	}
	start := notKnown
	if !e.Start.IsZero() {
		start = e.Start.Format(time.RFC3339)
	}
	fmt.Fprintf(w, "state    %s\nposition %d\nbecause  %s\nstart    %s\n", e.State, e.Position, e.Reason, start)
}

func status(c *cli.Context) error {
	ctx, stop := context.WithTimeout(c.Context, c.Duration("timeout"))
	defer stop()
	careful, err := caller(c, 0)
	if err != nil {
		return err
	}
	fleet, refusal, err := careful.Entry().Status(ctx)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	if refusal != nil {
		return cli.Exit(result.Code(refusal.Code).String()+": "+refusal.Reason, exitFailure)
	}
	return show(c, fleet, func(w io.Writer) { writeStatus(w, fleet) })
}

func writeStatus(w io.Writer, s gate.Status) {
	fresh := "known to be the newest"
	if !s.Fresh {
		fresh = "may be out of date"
	}
	fmt.Fprintf(w, "configuration %d (%s)\n\n", s.ConfigVersion, fresh)
	writeTable(w, "SHARD\tSERVICE\tHOLDER\tEPOCH\tVERSION\tENDPOINTS\tCPU USED", shardRows(s))
	writeTable(w, "TEAM\tSHARE\tCPU LIMIT\tRUNNING\tQUEUED", teamRows(s))
	writeTable(w, "CLASS\tLONGEST WAIT\tWINDOW\tWHEN SHORT\tREPEATABLE", classRows(s))
}

func writeTable(w io.Writer, head string, rows []string) {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, head)
	for _, row := range rows {
		fmt.Fprintln(table, row)
	}
	fmt.Fprintln(table)
	_ = table.Flush()
}

func shardRows(s gate.Status) []string {
	out := map[model.DomainName]bool{}
	for _, domain := range s.Domains {
		out[domain.Name] = domain.Out
	}
	var rows []string
	for _, shard := range s.Shards {
		if shard.Status == nil {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s", shard.Shard, notKnown, shard.Reason))
			continue
		}
		st, service := shard.Status, "in"
		if out[st.Shard.Domain] {
			service = "out"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d of %d\t%s", shard.Shard, service, st.Holder, st.Epoch,
			st.ConfigVersion, st.Reachable, st.Endpoints, used(st)))
	}
	return rows
}

func used(st *peer.ShardStatus) string {
	if st.Capacity[model.CPU] == 0 {
		return notKnown
	}
	return fmt.Sprintf("%d%%", st.Committed[model.CPU]*percent/st.Capacity[model.CPU])
}

func teamRows(s gate.Status) []string {
	running, queued := map[model.TeamName]int64{}, map[model.TeamName]int64{}
	for _, shard := range s.Shards {
		if shard.Status == nil {
			continue
		}
		for _, team := range shard.Status.Teams {
			running[team.Team] += team.Running[model.CPU]
			queued[team.Team] += team.Queued[model.CPU]
		}
	}
	var rows []string
	for _, team := range s.Teams {
		rows = append(rows, fmt.Sprintf("%s\t%d/1000\t%d\t%d\t%d", team.Name, team.Share, team.Limit[model.CPU],
			running[team.Name], queued[team.Name]))
	}
	return rows
}

func classRows(s gate.Status) []string {
	var rows []string
	for _, class := range s.Classes {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%t", class.Name, class.MaxWait, class.Window, class.Shortage, class.Repeatable))
	}
	return rows
}
