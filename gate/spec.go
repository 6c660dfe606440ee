package gate

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// The limits of a request.
const (
	// maxTasks is the maximum number of tasks of one request.
	maxTasks = 10000
	// maxEstimate is the longest declared run time of a task.
	maxEstimate = 30 * 24 * time.Hour
	// maxPayloadBytes bounds the payload, which is sent with every task.
	maxPayloadBytes = 64 << 10
	// maxNameBytes bounds the length of idempotency keys.
	maxNameBytes = 200
)

// Complete fills in the defaults of the spec and validates it against the
// configuration. It returns the completed spec, or an error with a result code.
func Complete(spec model.Spec, config *model.Config) (model.Spec, *result.Error) {
	if spec.Kind == "" {
		spec.Kind = model.Batch
	}
	if spec.Tasks == 0 {
		spec.Tasks = 1
	}
	if spec.Size[model.Slots] == 0 {
		spec.Size[model.Slots] = 1
	}
	if problem := specProblem(&spec); problem != "" {
		return spec, &result.Error{Code: result.Malformed, Reason: problem}
	}
	if len(spec.Payload) > maxPayloadBytes {
		return spec, &result.Error{Code: result.TooLarge, Reason: "the payload is too large"}
	}
	if _, exists := config.Class(spec.Class); !exists {
		return spec, &result.Error{Code: result.UnknownClass, Reason: "there is no such class of work"}
	}
	return spec, nil
}

func specProblem(spec *model.Spec) string {
	switch {
	case spec.Kind != model.Batch && spec.Kind != model.Gang && spec.Kind != model.Service:
		return "kind is none of batch, gang and service"
	case spec.Tasks < 1 || spec.Tasks > maxTasks:
		return "tasks is out of range"
	case spec.Estimate < 0 || spec.Estimate > maxEstimate:
		return "estimate_ns is out of range"
	case !spec.Size.InRange():
		return "size is out of range"
	}
	return ""
}

// CheckKey validates an idempotency key: 1 to maxNameBytes bytes of printable
// ASCII without spaces.
func CheckKey(key model.IdempotencyKey) *result.Error {
	if key == "" || len(key) > maxNameBytes {
		return &result.Error{Code: result.Malformed, Reason: "the idempotency key is missing or too long"}
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return &result.Error{Code: result.Malformed, Reason: "the idempotency key holds a character other than printable ASCII"}
		}
	}
	return nil
}
