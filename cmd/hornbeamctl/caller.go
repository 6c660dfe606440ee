package main

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/client"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// defaultTimeout bounds a command that says nothing else.
const defaultTimeout = time.Minute

func callerCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "submit", Usage: "hand in a request and wait for its answer", Category: "callers",
			Flags: submitFlags(), Action: submit,
		},
		{
			Name: "wait", Usage: "wait for the answer to a request", Category: "callers", ArgsUsage: "REQUEST",
			Flags: []cli.Flag{timeoutFlag()}, Action: wait,
		},
		{
			Name: "cancel", Usage: "end a request", Category: "callers", ArgsUsage: "REQUEST",
			Flags: []cli.Flag{timeoutFlag()}, Action: cancel,
		},
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Usage: "give up after `TIME`", Value: defaultTimeout}
}

func submitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "class", Usage: "the class of work", Required: true},
		&cli.StringFlag{Name: "idempotency-key", Usage: "the request's `NAME`; the same name is the same request (default: a new one)"},
		&cli.StringFlag{Name: "kind", Usage: "batch, gang or service", Value: string(model.Batch)},
		&cli.IntFlag{Name: "tasks", Usage: "the number of tasks", Value: 1},
		&cli.Int64Flag{Name: "cpu", Usage: "thousandths of a core for each task", Value: 1000},
		&cli.Int64Flag{Name: "memory", Usage: "MiB of memory for each task", Value: 256},
		&cli.Int64Flag{Name: "accelerators", Usage: "accelerators for each task"},
		&cli.Int64Flag{Name: "slots", Usage: "slots for each task", Value: 1},
		&cli.Int64Flag{Name: "connections", Usage: "connections for each task"},
		&cli.DurationFlag{Name: "estimate", Usage: "the declared run time of each task"},
		&cli.BoolFlag{Name: "not-repeatable", Usage: "run at most once, whatever the class says"},
		&cli.StringFlag{Name: "payload", Usage: "`TEXT` handed to every task"},
		&cli.BoolFlag{Name: "no-wait", Usage: "return once the request is accepted"},
		timeoutFlag(),
	}
}

func submit(c *cli.Context) error {
	ctx, stop := context.WithTimeout(c.Context, c.Duration("timeout"))
	defer stop()
	key := c.String("idempotency-key")
	if key == "" {
		key = uuid.NewString()
	}
	if c.Bool("no-wait") {
		return handIn(ctx, c, model.IdempotencyKey(key))
	}
	careful, err := caller(c, waitSlice)
	if err != nil {
		return err
	}
	return conclude(c, careful.Do(ctx, model.IdempotencyKey(key), spec(c)))
}

// handIn hands in the request once and does not wait for its answer.
func handIn(ctx context.Context, c *cli.Context, key model.IdempotencyKey) error {
	careful, err := caller(c, 0)
	if err != nil {
		return err
	}
	answer, err := careful.Entry().Submit(ctx, key, spec(c), 0)
	if err != nil {
		return cli.Exit(err.Error(), exitUnknown)
	}
	if result.Code(answer.Code) == result.Pending {
		return show(c, answer, func(w io.Writer) { writeAnswer(w, answer) })
	}
	return showAnswer(c, answer)
}

func spec(c *cli.Context) model.Spec {
	return model.Spec{
		Class: model.ClassName(c.String("class")),
		Kind:  model.Kind(c.String("kind")),
		Tasks: c.Int("tasks"),
		Size: model.Resources{
			model.CPU:          c.Int64("cpu"),
			model.Memory:       c.Int64("memory"),
			model.Accelerators: c.Int64("accelerators"),
			model.Slots:        c.Int64("slots"),
			model.Connections:  c.Int64("connections"),
		},
		Estimate:      c.Duration("estimate"),
		NotRepeatable: c.Bool("not-repeatable"),
		Payload:       c.String("payload"),
	}
}

// conclude writes what a careful caller came to.
func conclude(c *cli.Context, conclusion client.Conclusion) error {
	answer := conclusion.Answer
	if answer.ID == "" {
		answer.ID = conclusion.ID
	}
	if conclusion.Answered {
		return showAnswer(c, answer)
	}
	// A refusal that did not settle the request says nothing about its work.
	answer.Ran = model.Unknown
	if answer.Code == 0 {
		return cli.Exit("no entry instance answered in time", exitUnknown)
	}
	return showAnswer(c, answer)
}

func wait(c *cli.Context) error {
	ctx, stop := context.WithTimeout(c.Context, c.Duration("timeout"))
	defer stop()
	id, err := requestArgument(c)
	if err != nil {
		return err
	}
	careful, err := caller(c, waitSlice)
	if err != nil {
		return err
	}
	answer, err := careful.Entry().Await(ctx, id, 0)
	if code := result.Code(answer.Code); err == nil && settled[code] {
		return showAnswer(c, answer)
	}
	return conclude(c, careful.Wait(ctx, id))
}

// settled are the codes after which there is nothing to wait for.
var settled = map[result.Code]bool{
	result.UnknownRequest: true,
	result.BadKey:         true,
	result.NotAllowed:     true,
	result.UnknownTeam:    true,
	result.Malformed:      true,
}

func cancel(c *cli.Context) error {
	ctx, stop := context.WithTimeout(c.Context, c.Duration("timeout"))
	defer stop()
	id, entry, err := requestAtEntry(c)
	if err != nil {
		return err
	}
	answer, err := entry.Cancel(ctx, id)
	if err != nil {
		return cli.Exit(err.Error(), exitUnknown)
	}
	if code := result.Code(answer.Code); code == result.Cancelled || code == result.CancelledRunning {
		return show(c, answer, func(w io.Writer) { writeAnswer(w, answer) })
	}
	return showAnswer(c, answer)
}

// requestAtEntry returns the request that the command names and an entry
// instance to ask about it once.
func requestAtEntry(c *cli.Context) (model.RequestID, *client.Client, error) {
	id, err := requestArgument(c)
	if err != nil {
		return "", nil, err
	}
	careful, err := caller(c, 0)
	if err != nil {
		return "", nil, err
	}
	return id, careful.Entry(), nil
}

// requestArgument returns the one argument of a command.
func requestArgument(c *cli.Context) (model.RequestID, error) {
	if c.NArg() != 1 {
		return "", cli.Exit("the command takes one argument: the request's id", exitUsage)
	}
	return model.RequestID(c.Args().First()), nil
}
