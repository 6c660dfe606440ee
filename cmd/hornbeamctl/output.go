package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// The formats of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func checkOutput(_ *cli.Context, format string) error {
	if format != outputText && format != outputJSON {
		return cli.Exit("--output must be text or json, got: "+format, exitUsage)
	}
	return nil
}

// show writes value as JSON, or calls text to write it in text format.
func show(c *cli.Context, value any, text func(io.Writer)) error {
	if c.String(flagOutput) != outputJSON {
		text(c.App.Writer)
		return nil
	}
	encoder := json.NewEncoder(c.App.Writer)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	return nil
}

// showAnswer writes the answer and returns the error with the exit code of its
// result.
func showAnswer(c *cli.Context, answer model.Answer) error {
	err := show(c, answer, func(w io.Writer) { writeAnswer(w, answer) })
	if err != nil {
		return err
	}
	return answerError(answer)
}

func writeAnswer(w io.Writer, answer model.Answer) {
	code := result.Code(answer.Code)
	fmt.Fprintf(w, "request  %s\nresult   %d %s\nwork     %s\n", answer.ID, answer.Code, code, answer.Ran)
	if answer.Reason != "" {
		fmt.Fprintf(w, "reason   %s\n", answer.Reason)
	}
	if answer.Waited > 0 {
		fmt.Fprintf(w, "waited   %s\n", answer.Waited.Round(time.Millisecond))
	}
	for _, part := range answer.Parts {
		fmt.Fprintf(w, "part %-4d %s\n", part.Index, part.Output)
	}
}

// answerError returns an error with the exit code of the request's result, or nil
// when it succeeded.
func answerError(answer model.Answer) error {
	code := result.Code(answer.Code)
	switch {
	case code == result.OK:
		return nil
	case code == result.Pending:
		return cli.Exit("the request is accepted and not answered yet", exitPending)
	case answer.Ran == model.NotRun:
		return cli.Exit("refused: "+code.String(), exitNotRun)
	case answer.Ran == model.DidRun:
		return cli.Exit("the work ran and did not succeed: "+code.String(), exitFailed)
	default:
		return cli.Exit("it is unknown whether the work ran: "+code.String(), exitUnknown)
	}
}
