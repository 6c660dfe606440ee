package audit

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
)

// maxLineBytes bounds one line of records.
const maxLineBytes = 16 << 20

// CallerRecord is what a caller knows of one of its requests, written as one
// line of JSON once the caller has stopped asking.
type CallerRecord struct {
	// Sent is when the request was first sent.
	Sent time.Time `json:"sent"`
	// Answered is when its first final answer came; zero when none came.
	Answered time.Time `json:"answered,omitzero"`
	// ID is the request's id; empty when the caller never heard it.
	ID model.RequestID `json:"id,omitempty"`
	// Team is the team of the key that was sent.
	Team model.TeamName `json:"team"`
	// KeyHash is the SHA-256 of the key that was sent, in hexadecimal; empty
	// when none was sent or the caller does not say.
	KeyHash string `json:"key_hash,omitempty"`
	// Key is the idempotency key.
	Key model.IdempotencyKey `json:"key"`
	// Spec is what was asked for.
	Spec model.Spec `json:"spec"`
	// Accepted says that the caller was told that the request is accepted, by
	// an id or by an answer other than a refusal.
	Accepted bool `json:"accepted"`
	// Answers are the final answers that the caller was given, from every
	// entry instance that it asked, repeated ones included. Replies that say
	// that a request is pending or that an instance could not serve the call
	// are no final answers.
	Answers []model.Answer `json:"answers,omitempty"`
}

// ReadCallers reads callers' records, one line of JSON each.
func ReadCallers(r io.Reader) ([]CallerRecord, error) {
	return readLines[CallerRecord](r, "caller's record")
}

// readLines decodes one value of each line that is not empty.
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
