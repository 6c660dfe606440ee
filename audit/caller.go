package audit

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
)

// maxLineBytes is the longest line of a file of records.
const maxLineBytes = 16 << 20

// CallerRecord is a caller's record of one of its requests, written as one line
// of JSON after the caller's last query for the answer.
type CallerRecord struct {
	// Sent is when the request was first sent.
	Sent time.Time `json:"sent"`
	// Answered is when the first final answer arrived; zero when there is none.
	Answered time.Time `json:"answered,omitzero"`
	// ID is the request's id; empty when the caller never received it.
	ID model.RequestID `json:"id,omitempty"`
	// Team is the team of the key that was sent.
	Team model.TeamName `json:"team"`
	// KeyHash is the SHA-256 of the key that was sent, in hexadecimal; empty
	// when no key was sent or the caller does not record it.
	KeyHash string `json:"key_hash,omitempty"`
	// Key is the idempotency key.
	Key model.IdempotencyKey `json:"key"`
	// Spec is the requested work.
	Spec model.Spec `json:"spec"`
	// Accepted is set when the request was accepted: the caller received an
	// id or an answer other than a refusal.
	Accepted bool `json:"accepted"`
	// Answers are the final answers that the caller received from all entry
	// instances that it queried, including repeated ones. Replies that report
	// a pending request, or that an instance could not serve the call, are
	// not final answers.
	Answers []model.Answer `json:"answers,omitempty"`
}

// ReadCallers reads callers' records, one line of JSON each.
func ReadCallers(r io.Reader) ([]CallerRecord, error) {
	return readLines[CallerRecord](r, "caller's record")
}

// readLines decodes one JSON value from each line that is not empty.
func readLines[T any](r io.Reader, what string) ([]T, error) {
	var all []T
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var one T
		if err := json.Unmarshal(lines.Bytes(), &one); err != nil {
			return nil, eris.Wrapf(err, "%s in line %d", what, number)
		}
		all = append(all, one)
	}
	return all, eris.Wrapf(lines.Err(), "reading %ss", what)
}
