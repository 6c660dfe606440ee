package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/operate"
	"github.com/hornbeamworks/hornbeam/operate/httpapi"
	"github.com/hornbeamworks/hornbeam/result"
)

// The flags of changes.
const (
	flagWait  = "wait"
	flagForce = "force"
)

// categoryOperators is the category of the operators' commands.
const categoryOperators = "operators"

// operatorCommands returns the commands that show and change the configuration.
func operatorCommands() []*cli.Command {
	return []*cli.Command{
		classCommand(), teamCommand(), keyCommand(),
		domainCommand(), rackCommand(), endpointCommand(), changeCommand(),
	}
}

// changeFlags returns the given flags and those that every change has.
func changeFlags(flags ...cli.Flag) []cli.Flag {
	return append(flags,
		&cli.BoolFlag{Name: flagWait, Usage: "wait until the change is in force, and show where"},
		timeoutFlag())
}

// session is the execution of an operator's command.
type session struct {
	c      *cli.Context
	ctx    context.Context
	client *httpapi.Client
	// config is the configuration in force when the command began. Changes are
	// based on its version.
	config *model.Config
}

// operator returns an action that reads the configuration in force and runs do.
func operator(do func(*session) error) cli.ActionFunc {
	return func(c *cli.Context) error {
		key, err := secret(c)
		if err != nil {
			return err
		}
		ctx, stop := context.WithTimeout(c.Context, c.Duration("timeout"))
		defer stop()
		s := &session{c: c, ctx: ctx, client: httpapi.NewClient(c.StringSlice(flagGate), key, http.DefaultClient)}
		reply, err := s.client.Show(ctx)
		if err != nil {
			return cli.Exit(err.Error(), exitFailure)
		}
		if err := refusal(reply.Refusal); err != nil {
			return err
		}
		s.config = reply.Config
		return do(s)
	}
}

// refusal returns the error of a refused call, or nil when it was accepted.
func refusal(r operate.Refusal) error {
	if r.Code == result.OK {
		return nil
	}
	return cli.Exit(r.Code.String()+": "+r.Reason, exitFailure)
}

// options returns the options of a change, which is based on the version that
// the session read.
func (s *session) options() httpapi.Options {
	return httpapi.Options{Base: s.config.Version, Force: s.c.Bool(flagForce)}
}

// showChange writes the result of a change and, with --wait, waits until it is in
// force.
func (s *session) showChange(reply httpapi.ChangeReply, err error) error {
	if err != nil {
		return cli.Exit(err.Error()+"; the outcome is unknown, check whether the change is in force", exitUnknown)
	}
	if err := show(s.c, reply, func(w io.Writer) { writeChange(w, reply) }); err != nil {
		return err
	}
	if reply.Code == result.ChangeUnconfirmed {
		return cli.Exit(reply.Name+": "+reply.Reason, exitUnknown)
	}
	if reply.Code != result.OK {
		return cli.Exit(reply.Name+": "+reply.Reason, exitNotRun)
	}
	if !s.c.Bool(flagWait) {
		return nil
	}
	return s.await(reply.Version)
}

func writeChange(w io.Writer, reply httpapi.ChangeReply) {
	if reply.Code == result.OK {
		fmt.Fprintf(w, "accepted as version %d\n", reply.Version)
	}
	if reply.Secret != "" {
		fmt.Fprintf(w, "secret (shown this once): %s\n", reply.Secret)
	}
	if reply.Ours != nil {
		fmt.Fprintf(w, "yours:  %s %s\n", reply.Ours.Item, reply.Ours.Summary)
	}
	for _, theirs := range reply.Theirs {
		fmt.Fprintf(w, "theirs: %s (%s)\n", theirs, theirs.At.Format(time.RFC3339))
	}
}

// argument returns the argument at the index, or an error with its name.
func (s *session) argument(index int, name string) (string, error) {
	if value := s.c.Args().Get(index); value != "" {
		return value, nil
	}
	return "", cli.Exit("the argument "+name+" is missing", exitUsage)
}
