package standin

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// Payload tells a stand-in endpoint how a task really behaves. It travels as
// JSON in the payload of the request; a payload that is no such JSON, or none,
// stands for the zero Payload.
type Payload struct {
	// RunMS is the real run time in milliseconds; 0 stands for the estimate.
	RunMS int64 `json:"run_ms,omitempty"`
	// Output is put in front of the output of every task.
	Output string `json:"output,omitempty"`
	// FailProbability is the chance that an attempt fails, from 0 to 1. The
	// draw is a function of Seed and the attempt.
	FailProbability float64 `json:"fail_probability,omitempty"`
	// Seed is the seed of the draw.
	Seed uint64 `json:"seed,omitempty"`
	// Usage is what the task really uses; zero stands for usagePermille of
	// the declared size.
	Usage model.Resources `json:"usage,omitzero"`
}

// Properties of tasks that the payload does not set.
const (
	// defaultRun is the run time of a task without run time and estimate.
	defaultRun = 10 * time.Millisecond
	// usagePermille is the part of the declared size that a task uses.
	usagePermille = 700
	// drawSteps is the resolution of the draw of failures.
	drawSteps = 1_000_000
)

// Encode returns the payload as it travels in a request.
func (p Payload) Encode() string {
	raw, err := json.Marshal(p)
	if err != nil {
		// Plain numbers and strings always have a JSON form, but NaN and
		// infinity, which are no probabilities.
		return ""
	}
	return string(raw)
}

// ParsePayload returns the payload in the text of a request's payload.
func ParsePayload(text string) Payload {
	var p Payload
	if json.Unmarshal([]byte(text), &p) != nil {
		return Payload{}
	}
	return p
}

// Output returns what task index of the request with the given id returns when
// it succeeds.
func Output(payload string, id model.RequestID, index int) string {
	task := model.TaskID{Request: id, Index: index}.String()
	prefix := ParsePayload(payload).Output
	return prefix + task + ":" + strconv.FormatUint(digest(prefix, task), 36)
}

// runTime returns how long the task runs when nothing slows it down.
func (p Payload) runTime(spec model.Spec) time.Duration {
	switch {
	case p.RunMS > 0:
		return millis(p.RunMS)
	case spec.Estimate > 0:
		return spec.Estimate
	default:
		return defaultRun
	}
}

// usage returns what the task really uses.
func (p Payload) usage(spec model.Spec) model.Resources {
	if !p.Usage.IsZero() {
		return p.Usage
	}
	used := spec.Size
	for i := range used {
		used[i] = used[i] * usagePermille / 1000
	}
	return used
}

// fails draws whether the attempt fails.
func (p Payload) fails(attempt model.AttemptID) bool {
	draw := digest(strconv.FormatUint(p.Seed, 36), attempt.String()) % drawSteps
	return float64(draw) < p.FailProbability*drawSteps
}

func digest(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
