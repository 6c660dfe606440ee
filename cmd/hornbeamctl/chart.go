package main

import (
	"strings"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/charts"
)

func chartCommands() []*cli.Command {
	return []*cli.Command{{
		Name: "chart", Usage: "print a state chart as Graphviz text", Category: "developers",
		ArgsUsage:   "NAME",
		Description: "The charts are: " + strings.Join(charts.Names(), ", "),
		Action:      printChart,
	}}
}

func printChart(c *cli.Context) error {
	if c.NArg() != 1 {
		return cli.Exit("the command takes one argument, one of: "+strings.Join(charts.Names(), ", "), exitUsage)
	}
	loaded, err := charts.Load(c.Args().First())
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	if err := loaded.Dot(c.App.Writer); err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	return nil
}
