package load

import (
	"fmt"
	"reflect"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
)

// Check returns the violations in a caller's record: an accepted request without
// an answer, two different answers, or an answer that is incomplete, out of order
// or belongs to another request. It is empty when there are none.
func Check(record *audit.CallerRecord) []string {
	if record.Accepted && len(record.Answers) == 0 {
		return []string{"accepted and never answered"}
	}
	var problems []string
	for i, answer := range record.Answers {
		if i > 0 && !reflect.DeepEqual(answer, record.Answers[0]) {
			problems = append(problems, fmt.Sprintf("answered with code %d and then with code %d", record.Answers[0].Code, answer.Code))
		}
		problems = append(problems, checkAnswer(record, answer)...)
	}
	return problems
}

func checkAnswer(record *audit.CallerRecord, answer model.Answer) []string {
	code := result.Code(answer.Code)
	if answer.ID != record.ID {
		return []string{fmt.Sprintf("received the answer to %s", answer.ID)}
	}
	if want := result.Lookup(code).Ran; answer.Ran != want {
		return []string{fmt.Sprintf("code %s reports %q, want %q", code, answer.Ran, want)}
	}
	if code != result.OK {
		return nil
	}
	return checkParts(record, answer)
}

func checkParts(record *audit.CallerRecord, answer model.Answer) []string {
	if want := max(record.Spec.Tasks, 1); len(answer.Parts) != want {
		return []string{fmt.Sprintf("%d of %d parts", len(answer.Parts), want)}
	}
	for i, part := range answer.Parts {
		if part.Index != i || part.Output != standin.Output(record.Spec.Payload, answer.ID, i) {
			return []string{fmt.Sprintf("part %d has index %d and output %q", i, part.Index, part.Output)}
		}
	}
	return nil
}
