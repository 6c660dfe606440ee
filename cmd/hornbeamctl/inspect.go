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
	// percentScale converts a fraction to a percentage.
	percentScale = 100
	// columnGap is the number of spaces between columns.
	columnGap = 2
	// noValue is shown in place of a value that is not available.
	noValue = "-"
)

func inspectCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "status", Usage: "show the fleet, teams, classes and failure domains", Category: "callers and operators",
			Flags: []cli.Flag{timeoutFlag()}, Action: status,
		},
		{
			Name: "explain", Usage: "show why a request waits or was refused", Category: "callers and operators", ArgsUsage: "REQUEST",
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

func writeAccount(w io.Writer, account gate.RequestReport) {
	writeAnswer(w, account.Answer)
	e := account.Explanation
	if e == nil {
		return
	}
	start := noValue
	if !e.Start.IsZero() {
		start = e.Start.Format(time.RFC3339)
	}
	fmt.Fprintf(w, "state    %s\nposition %d\nbecause  %s\nstart    %s\n", e.State, e.Position, e.Reason, start)
}

func status(c *cli.Context) error {
	ctx, stop := context.WithTimeout(c.Context, c.Duration("timeout"))
	defer stop()
	retryingCaller, err := caller(c, 0)
	if err != nil {
		return err
	}
	fleet, refusal, err := retryingCaller.Entry().Status(ctx)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	if refusal != nil {
		return cli.Exit(result.Code(refusal.Code).String()+": "+refusal.Reason, exitFailure)
	}
	return show(c, fleet, func(w io.Writer) { writeStatus(w, fleet) })
}

func writeStatus(w io.Writer, s gate.Status) {
	freshness := "up to date"
	if !s.Fresh {
		freshness = "may be out of date"
	}
	fmt.Fprintf(w, "configuration %d (%s)\n\n", s.ConfigVersion, freshness)
	writeTable(w, "SHARD\tSERVICE\tHOLDER\tEPOCH\tVERSION\tENDPOINTS\tCPU USED", shardRows(s))
	writeTable(w, "TEAM\tSHARE\tCPU LIMIT\tRUNNING\tQUEUED", teamRows(s))
	writeTable(w, "CLASS\tLONGEST WAIT\tWINDOW\tWHEN SHORT\tREPEATABLE", classRows(s))
}

func writeTable(w io.Writer, header string, rows []string) {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, header)
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
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s", shard.Shard, noValue, shard.Reason))
			continue
		}
		st, service := shard.Status, "in"
		if out[st.Shard.Domain] {
			service = "out"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d of %d\t%s", shard.Shard, service, st.Holder, st.Epoch,
			st.ConfigVersion, st.Reachable, st.Endpoints, cpuUsed(st)))
	}
	return rows
}

func cpuUsed(st *peer.ShardStatus) string {
	if st.Capacity[model.CPU] == 0 {
		return noValue
	}
	return fmt.Sprintf("%d%%", st.Committed[model.CPU]*percentScale/st.Capacity[model.CPU])
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
