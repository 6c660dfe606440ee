package main

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/model"
)

func domainCommand() *cli.Command {
	command := serviceCommand("domain", "failure domains", "DOMAIN", func(out bool) func(*session) error {
		return func(s *session) error {
			name, err := s.argument(0, "DOMAIN")
			if err != nil {
				return err
			}
			return s.showChange(s.client.ServeDomain(s.ctx, model.DomainName(name), out, s.options()))
		}
	})
	command.Subcommands = append(command.Subcommands, &cli.Command{
		Name: "list", Usage: "show the failure domains and what is out of service",
		Flags: []cli.Flag{timeoutFlag()}, Action: operator(listDomains),
	})
	return command
}

func rackCommand() *cli.Command {
	return serviceCommand("rack", "racks", "DOMAIN RACK", func(out bool) func(*session) error {
		return func(s *session) error {
			domain, err := s.argument(0, "DOMAIN")
			if err != nil {
				return err
			}
			rack, err := s.argument(1, "RACK")
			if err != nil {
				return err
			}
			ref := model.RackRef{Domain: model.DomainName(domain), Rack: model.RackName(rack)}
			return s.showChange(s.client.ServeRack(s.ctx, ref, out, s.options()))
		}
	})
}

func endpointCommand() *cli.Command {
	return serviceCommand("endpoint", "endpoints", "ENDPOINT", func(out bool) func(*session) error {
		return func(s *session) error {
			id, err := s.argument(0, "ENDPOINT")
			if err != nil {
				return err
			}
			return s.showChange(s.client.ServeEndpoint(s.ctx, model.EndpointID(id), out, s.options()))
		}
	})
}

// serviceCommand returns a command that takes failure domains, racks or endpoints
// out of service and brings them back.
func serviceCommand(name, things, arguments string, setOut func(out bool) func(*session) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: "take " + things + " out of service and bring them back", Category: categoryOperators,
		Subcommands: []*cli.Command{
			{Name: "out", Usage: "take out: nothing new starts there", ArgsUsage: arguments, Flags: changeFlags(), Action: operator(setOut(true))},
			{Name: "in", Usage: "bring back", ArgsUsage: arguments, Flags: changeFlags(), Action: operator(setOut(false))},
		},
	}
}

func listDomains(s *session) error {
	return show(s.c, s.config, func(w io.Writer) {
		var rows []string
		for _, domain := range s.config.Domains {
			service := "in"
			if domain.Out {
				service = "out"
			}
			rows = append(rows, fmt.Sprintf("%s\t%d\t%s", domain.Name, domain.Shards, service))
		}
		writeTable(w, "DOMAIN\tSHARDS\tSERVICE", rows)
		for _, rack := range s.config.RacksOut {
			fmt.Fprintf(w, "rack out: %s %s\n", rack.Domain, rack.Rack)
		}
		for _, endpoint := range s.config.EndpointsOut {
			fmt.Fprintf(w, "endpoint out: %s\n", endpoint)
		}
	})
}
