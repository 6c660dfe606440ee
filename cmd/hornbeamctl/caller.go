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

// defaultTimeout bounds a command without --timeout.
const defaultTimeout = time.Minute

func callerCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "submit", Usage: "submit a request and wait for its answer", Category: "callers",
			Flags: submitFlags(), Action: submit,
		},
		{
			Name: "wait", Usage: "wait for the answer to a request", Category: "callers", ArgsUsage: "REQUEST",
			Flags: []cli.Flag{timeoutFlag()}, Action: wait,
		},
		{
			Name: "cancel", Usage: "cancel a request", Category: "callers", ArgsUsage: "REQUEST",
			Flags: []cli.Flag{timeoutFlag()}, Action: cancel,
		},
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Usage: "give up after `TIME`", Value: defaultTimeout}
}

func submitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "class", Usage: "the class of the request", Required: true},
		&cli.StringFlag{Name: "idempotency-key", Usage: "the request's `NAME`; a repeated name refers to the same request (default: random)"},
		&cli.StringFlag{Name: "kind", Usage: "batch, gang or service", Value: string(model.Batch)},
		&cli.IntFlag{Name: "tasks", Usage: "the number of tasks", Value: 1},
		&cli.Int64Flag{Name: "cpu", Usage: "thousandths of a core for each task", Value: 1000},
		&cli.Int64Flag{Name: "memory", Usage: "MiB of memory for each task", Value: 256},
		&cli.Int64Flag{Name: "accelerators", Usage: "accelerators for each task"},
		&cli.Int64Flag{Name: "slots", Usage: "slots for each task", Value: 1},
		&cli.Int64Flag{Name: "connections", Usage: "connections for each task"},
		&cli.DurationFlag{Name: "estimate", Usage: "the declared run time of each task"},
		&cli.BoolFlag{Name: "not-repeatable", Usage: "run at most once, even if the class is repeatable"},
		&cli.StringFlag{Name: "payload", Usage: "`TEXT` passed to every task"},
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
		return submitOnly(ctx, c, model.IdempotencyKey(key))
	}
	retryingCaller, err := caller(c, waitPerCall)
	if err != nil {
		return err
	}
	return showConclusion(c, retryingCaller.Do(ctx, model.IdempotencyKey(key), spec(c)))
}

// submitOnly submits the request once and does not wait for its answer.
func submitOnly(ctx context.Context, c *cli.Context, key model.IdempotencyKey) error {
	retryingCaller, err := caller(c, 0)
	if err != nil {
		return err
	}
	answer, err := retryingCaller.Entry().Submit(ctx, key, spec(c), 0)
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

// showConclusion writes the result of a retrying caller.
func showConclusion(c *cli.Context, conclusion client.Conclusion) error {
	answer := conclusion.Answer
	if answer.ID == "" {
		answer.ID = conclusion.ID
	}
	if conclusion.Answered {
		return showAnswer(c, answer)
	}
	// A refusal of a call that did not end the request does not tell whether the
	// work ran.
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
	retryingCaller, err := caller(c, waitPerCall)
	if err != nil {
		return err
	}
	answer, err := retryingCaller.Entry().Await(ctx, id, 0)
	if code := result.Code(answer.Code); err == nil && finalCodes[code] {
		return showAnswer(c, answer)
	}
	return showConclusion(c, retryingCaller.Wait(ctx, id))
}

// finalCodes are the result codes after which wait makes no further call.
var finalCodes = map[result.Code]bool{
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

// requestAtEntry returns the request id in the arguments and a client of one
// entry instance.
func requestAtEntry(c *cli.Context) (model.RequestID, *client.Client, error) {
	id, err := requestArgument(c)
	if err != nil {
		return "", nil, err
	}
	retryingCaller, err := caller(c, 0)
	if err != nil {
		return "", nil, err
	}
	return id, retryingCaller.Entry(), nil
}

// requestArgument returns the request id, the only argument of the command.
func requestArgument(c *cli.Context) (model.RequestID, error) {
	if c.NArg() != 1 {
		return "", cli.Exit("the command takes one argument: the request's id", exitUsage)
	}
	return model.RequestID(c.Args().First()), nil
}
