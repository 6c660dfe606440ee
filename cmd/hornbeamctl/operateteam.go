package main

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/operate"
	"github.com/hornbeamworks/hornbeam/operate/httpapi"
)

// resourceFlags are the names of the flags of the resources.
var resourceFlags = [model.NumResources]string{
	model.CPU:          "cpu",
	model.Memory:       "memory",
	model.Accelerators: "accelerators",
	model.Slots:        "slots",
	model.Connections:  "connections",
}

func teamCommand() *cli.Command {
	return &cli.Command{
		Name: "team", Usage: "show and change teams, their shares and limits", Category: categoryOperators,
		Subcommands: []*cli.Command{
			{Name: "list", Usage: "show each team's configured limit, limit in force and usage", Flags: []cli.Flag{timeoutFlag()}, Action: operator(listTeams)},
			{Name: "set", Usage: "add a team or change what the flags name", ArgsUsage: "TEAM", Flags: teamFlags(), Action: operator(setTeam)},
			{Name: "drop", Usage: "remove a team whose keys are withdrawn", ArgsUsage: "TEAM", Flags: changeFlags(forceFlag()), Action: operator(dropTeam)},
		},
	}
}

func forceFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagForce, Usage: "accept a limit below the current usage; it takes effect as tasks end"}
}

func teamFlags() []cli.Flag {
	return changeFlags(
		forceFlag(),
		&cli.Int64Flag{Name: "share", Usage: "thousandths of the fleet when it is fully used"},
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
	team, known := s.config.Team(model.TeamName(name))
	if !known {
		team = model.Team{Name: model.TeamName(name)}
	}
	if s.c.IsSet("share") {
		team.Share = s.c.Int64("share")
	}
	for r, flag := range resourceFlags {
		if s.c.IsSet(flag) {
			team.Limit[r] = s.c.Int64(flag)
		}
	}
	return s.showChange(s.client.SetTeam(s.ctx, team, s.options()))
}

func dropTeam(s *session) error {
	name, err := s.argument(0, "TEAM")
	if err != nil {
		return err
	}
	return s.showChange(s.client.DropTeam(s.ctx, model.TeamName(name), s.options()))
}

func listTeams(s *session) error {
	limits, err := s.client.Limits(s.ctx)
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	if err := refusal(limits.Refusal); err != nil {
		return err
	}
	return show(s.c, limits, func(w io.Writer) { writeLimits(w, limits, s.config) })
}

func writeLimits(w io.Writer, limits operate.Limits, config *model.Config) {
	var rows []string
	for _, limit := range limits.Teams {
		team, _ := config.Team(limit.Team)
		for r, flag := range resourceFlags {
			rows = append(rows, fmt.Sprintf("%s\t%d/1000\t%s\t%d\t%d\t%d", limit.Team, team.Share, flag,
				limit.Limit[r], limit.InForce[r], limit.Used[r]))
		}
	}
	writeTable(w, "TEAM\tSHARE\tOF\tLIMIT\tIN FORCE\tUSED", rows)
}

func keyCommand() *cli.Command {
	grantFlags := changeFlags(
		&cli.StringFlag{Name: "team", Usage: "the team that the key belongs to"},
		&cli.StringFlag{Name: "role", Usage: "submitter, operator or auditor", Value: string(model.Submitter)},
	)
	return &cli.Command{
		Name: "key", Usage: "grant, list and withdraw keys", Category: categoryOperators,
		Subcommands: []*cli.Command{
			{Name: "list", Usage: "show the keys in force", Flags: []cli.Flag{timeoutFlag()}, Action: operator(listKeys)},
			{Name: "grant", Usage: "grant a key and show its secret once", ArgsUsage: "ID", Flags: grantFlags, Action: operator(grantKey)},
			{Name: "withdraw", Usage: "withdraw a key", ArgsUsage: "ID", Flags: changeFlags(), Action: operator(withdrawKey)},
		},
	}
}

func listKeys(s *session) error {
	return show(s.c, s.config.Keys, func(w io.Writer) {
		var rows []string
		for _, key := range s.config.Keys {
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
	return s.showChange(s.client.GrantKey(s.ctx, id, grant, s.options()))
}

func withdrawKey(s *session) error {
	id, err := s.argument(0, "ID")
	if err != nil {
		return err
	}
	return s.showChange(s.client.WithdrawKey(s.ctx, id, s.options()))
}
