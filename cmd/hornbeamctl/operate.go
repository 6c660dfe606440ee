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

// operators is the category of the operators' commands.
const operators = "operators"

// operatorCommands are the commands that change and show the configuration.
func operatorCommands() []*cli.Command {
	return []*cli.Command{
		classCommand(), teamCommand(), keyCommand(),
		domainCommand(), rackCommand(), endpointCommand(), changeCommand(),
	}
}

// changeFlags returns the flags of every change with those given.
func changeFlags(flags ...cli.Flag) []cli.Flag {
	return append(flags,
		&cli.BoolFlag{Name: flagWait, Usage: "wait until the change is in force, and show where"},
		timeoutFlag())
}

// session is one run of an operator's command.
type session struct {
	c      *cli.Context
	ctx    context.Context
	client *httpapi.Client
	// shown is the configuration that the operator looks at.
	shown *model.Config
}

// operator runs do with the configuration in force.
func operator(do func(*session) error) cli.ActionFunc {
	return func(c *cli.Context) error {
		key, err := secret(c)
		if err != nil {
			return err
		}
		ctx, stop := context.WithTimeout(c.Context, c.Duration("timeout"))
		defer stop()
		s := &session{c: c, ctx: ctx, client: httpapi.NewClient(c.StringSlice(flagGate), key, http.DefaultClient)}
		shown, err := s.client.Show(ctx)
		if err != nil {
			return cli.Exit(err.Error(), exitFailure)
		}
		if err := refusal(shown.Refusal); err != nil {
			return err
		}
		s.shown = shown.Config
		return do(s)
	}
}

// refusal returns the error of a refused call; nil when it was not refused.
func refusal(r operate.Refusal) error {
	if r.Code == result.OK {
		return nil
	}
	return cli.Exit(r.Code.String()+": "+r.Reason, exitFailure)
}

// options are those of a change of what the operator looks at.
func (s *session) options() httpapi.Options {
	return httpapi.Options{Base: s.shown.Version, Force: s.c.Bool(flagForce)}
}

// changed shows what became of a change and, when asked to, waits for it.
func (s *session) changed(reply httpapi.ChangeReply, err error) error {
	if err != nil {
		return cli.Exit(err.Error()+"; look again whether the change is in force", exitUnknown)
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

// argument returns the argument at the place, or an error that names it.
func (s *session) argument(place int, name string) (string, error) {
	if value := s.c.Args().Get(place); value != "" {
		return value, nil
	}
	return "", cli.Exit("the argument "+name+" is missing", exitUsage)
}
