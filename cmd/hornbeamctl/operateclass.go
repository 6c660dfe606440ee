package main

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/model"
)

func classCommand() *cli.Command {
	return &cli.Command{
		Name: "class", Usage: "show and change classes of requests and their targets", Category: categoryOperators,
		Subcommands: []*cli.Command{
			{Name: "list", Usage: "show the classes", Flags: []cli.Flag{timeoutFlag()}, Action: operator(listClasses)},
			{Name: "set", Usage: "add a class or change what the flags name", ArgsUsage: "CLASS", Flags: classFlags(), Action: operator(setClass)},
			{Name: "drop", Usage: "remove a class", ArgsUsage: "CLASS", Flags: changeFlags(), Action: operator(dropClass)},
		},
	}
}

func classFlags() []cli.Flag {
	return changeFlags(
		&cli.DurationFlag{Name: "max-wait", Usage: "the longest time from acceptance to start"},
		&cli.DurationFlag{Name: "window", Usage: "the time from acceptance within which the answer is due"},
		&cli.StringFlag{Name: "shortage", Usage: "when capacity is short: wait, throttle, checkpoint, rerun or refuse"},
		&cli.BoolFlag{Name: "repeatable", Usage: "allow a task to run again after a failure"},
		&cli.BoolFlag{Name: "open", Usage: "accept requests without a key"},
	)
}

func listClasses(s *session) error {
	return show(s.c, s.config.Classes, func(w io.Writer) {
		var rows []string
		for _, class := range s.config.Classes {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%t\t%t", class.Name, class.MaxWait, class.Window,
				class.Shortage, class.Repeatable, class.Open))
		}
		writeTable(w, "CLASS\tMAX WAIT\tWINDOW\tSHORTAGE\tREPEATABLE\tOPEN", rows)
	})
}

func setClass(s *session) error {
	name, err := s.argument(0, "CLASS")
	if err != nil {
		return err
	}
	class, known := s.config.Class(model.ClassName(name))
	if !known {
		class = model.Class{Name: model.ClassName(name), Shortage: model.Wait}
	}
	if s.c.IsSet("max-wait") {
		class.MaxWait = s.c.Duration("max-wait")
	}
	if s.c.IsSet("window") {
		class.Window = s.c.Duration("window")
	}
	if s.c.IsSet("shortage") {
		class.Shortage = model.Treatment(s.c.String("shortage"))
	}
	if s.c.IsSet("repeatable") {
		class.Repeatable = s.c.Bool("repeatable")
	}
	if s.c.IsSet("open") {
		class.Open = s.c.Bool("open")
	}
	return s.showChange(s.client.SetClass(s.ctx, class, s.options()))
}

func dropClass(s *session) error {
	name, err := s.argument(0, "CLASS")
	if err != nil {
		return err
	}
	return s.showChange(s.client.DropClass(s.ctx, model.ClassName(name), s.options()))
}
