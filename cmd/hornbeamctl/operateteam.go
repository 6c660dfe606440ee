package main

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/operate"
	"github.com/hornbeamworks/hornbeam/operate/httpapi"
)

// amountFlags are the flags of the resources, in their order.
var amountFlags = [model.NumResources]string{
	model.CPU:          "cpu",
	model.Memory:       "memory",
	model.Accelerators: "accelerators",
	model.Slots:        "slots",
	model.Connections:  "connections",
}

func teamCommand() *cli.Command {
	return &cli.Command{
		Name: "team", Usage: "show and change teams, their shares and limits", Category: operators,
		Subcommands: []*cli.Command{
			{Name: "list", Usage: "show the limits set, in force and used", Flags: []cli.Flag{timeoutFlag()}, Action: operator(listTeams)},
			{Name: "set", Usage: "add a team or change what the flags name", ArgsUsage: "TEAM", Flags: teamFlags(), Action: operator(setTeam)},
			{Name: "drop", Usage: "remove a team whose keys are withdrawn", ArgsUsage: "TEAM", Flags: changeFlags(forceFlag()), Action: operator(dropTeam)},
		},
	}
}

func forceFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagForce, Usage: "accept a limit below what runs; it is in force as tasks end"}
}

func teamFlags() []cli.Flag {
	return changeFlags(
		forceFlag(),
		&cli.Int64Flag{Name: "share", Usage: "thousandths of the fleet when it is full"},
		&cli.Int64Flag{Name: "cpu", Usage: "limit in thousandths of a core"},
		&cli.Int64Flag{Name: "memory", Usage: "limit in MiB"},
		&cli.Int64Flag{Name: "accelerators", Usage: "limit in accelerators"},
		&cli.Int64Flag{Name: "slots", Usage: "limit in slots"},
		&cli.Int64Flag{Name: "connections", Usage: "limit in connections"},
	)
}

func setTeam(s *session) error {
	name, err := s.argument(0, "TEAM")
	if err != nil {
		return err
	}
	team, known := s.shown.Team(model.TeamName(name))
	if !known {
		team = model.Team{Name: model.TeamName(name)}
	}
	if s.c.IsSet("share") {
		team.Share = s.c.Int64("share")
	}
	for r, flag := range amountFlags {
		if s.c.IsSet(flag) {
			team.Limit[r] = s.c.Int64(flag)
		}
	}
	return s.changed(s.client.SetTeam(s.ctx, team, s.options()))
}

func dropTeam(s *session) error {
	name, err := s.argument(0, "TEAM")
	if err != nil {
		return err
	}
	return s.changed(s.client.DropTeam(s.ctx, model.TeamName(name), s.options()))
}

func listTeams(s *session) error {
	limits, err := s.client.Limits(s.ctx)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	if err := refusal(limits.Refusal); err != nil {
		return err
	}
	return show(s.c, limits, func(w io.Writer) { writeLimits(w, limits, s.shown) })
}

func writeLimits(w io.Writer, limits operate.Limits, config *model.Config) {
	var rows []string
	for _, limit := range limits.Teams {
		team, _ := config.Team(limit.Team)
		for r, flag := range amountFlags {
			rows = append(rows, fmt.Sprintf("%s\t%d/1000\t%s\t%d\t%d\t%d", limit.Team, team.Share, flag,
				limit.Limit[r], limit.InForce[r], limit.Used[r]))
		}
	}
	writeTable(w, "TEAM\tSHARE\tOF\tLIMIT\tIN FORCE\tUSED", rows)
}

func keyCommand() *cli.Command {
	grantFlags := changeFlags(
		&cli.StringFlag{Name: "team", Usage: "the team the key belongs to"},
		&cli.StringFlag{Name: "role", Usage: "submitter, operator or auditor", Value: string(model.Submitter)},
	)
	return &cli.Command{
		Name: "key", Usage: "grant, list and withdraw keys", Category: operators,
		Subcommands: []*cli.Command{
			{Name: "list", Usage: "show the keys in force", Flags: []cli.Flag{timeoutFlag()}, Action: operator(listKeys)},
			{Name: "grant", Usage: "grant a key and show its secret once", ArgsUsage: "ID", Flags: grantFlags, Action: operator(grantKey)},
			{Name: "withdraw", Usage: "withdraw a key", ArgsUsage: "ID", Flags: changeFlags(), Action: operator(withdrawKey)},
		},
	}
}

func listKeys(s *session) error {
	return show(s.c, s.shown.Keys, func(w io.Writer) {
		var rows []string
		for _, key := range s.shown.Keys {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s", key.ID, key.Role, key.Team))
		}
		writeTable(w, "KEY\tROLE\tTEAM", rows)
	})
}

func grantKey(s *session) error {
	id, err := s.argument(0, "ID")
	if err != nil {
		return err
	}
	grant := httpapi.Grant{Team: model.TeamName(s.c.String("team")), Role: model.Role(s.c.String("role"))}
	return s.changed(s.client.GrantKey(s.ctx, id, grant, s.options()))
}

func withdrawKey(s *session) error {
	id, err := s.argument(0, "ID")
	if err != nil {
		return err
	}
	return s.changed(s.client.WithdrawKey(s.ctx, id, s.options()))
}
