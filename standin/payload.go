package standin

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// Payload defines how a task behaves on a stand-in endpoint. It is sent as JSON
// in the payload of the request; an empty payload, or one that is not such
// JSON, means the zero Payload.
type Payload struct {
	// RunMS is the actual run time in milliseconds; 0 means the estimate.
	RunMS int64 `json:"run_ms,omitempty"`
	// Output is the prefix of every task's output.
	Output string `json:"output,omitempty"`
	// FailProbability is the probability that an attempt fails, from 0 to 1.
	// The draw is a function of Seed and the attempt's id.
	FailProbability float64 `json:"fail_probability,omitempty"`
	// Seed is the seed of the draw.
	Seed uint64 `json:"seed,omitempty"`
	// Usage is the task's actual usage; zero means usagePermille of the
	// declared size.
	Usage model.Resources `json:"usage,omitzero"`
}

// Defaults for values that the payload does not set, and the resolution of
// the draw of failures.
const (
	// defaultRunTime is the run time of a task that has neither run time nor
	// estimate.
	defaultRunTime = 10 * time.Millisecond
	// usagePermille is the usage of a task in thousandths of its declared size.
	usagePermille = 700
	// drawSteps is the resolution of the draw.
	drawSteps = 1_000_000
)

// Encode returns the payload as the text of a request's payload.
func (p Payload) Encode() string {
	raw, err := json.Marshal(p)
	if err != nil {
		// Only NaN and infinity have no JSON form, and neither is a valid
		// probability.
		return ""
	}
	return string(raw)
}

// ParsePayload parses the text of a request's payload. It returns the zero
// Payload for a text that is not valid.
func ParsePayload(text string) Payload {
	var p Payload
	if json.Unmarshal([]byte(text), &p) != nil {
		return Payload{}
	}
	return p
}

// Output returns the output of a successful attempt of task index of the request
// with the given id.
func Output(payload string, id model.RequestID, index int) string {
	task := model.TaskID{Request: id, Index: index}.String()
	prefix := ParsePayload(payload).Output
	return prefix + task + ":" + strconv.FormatUint(digest(prefix, task), 36)
}

// runTime returns the task's run time without throttling.
func (p Payload) runTime(spec model.Spec) time.Duration {
	switch {
	case p.RunMS > 0:
		return millis(p.RunMS)
	case spec.Estimate > 0:
		return spec.Estimate
	default:
		return defaultRunTime
	}
}

// usage returns the task's actual usage.
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

// fails reports whether the attempt fails, by a hash of the seed and its id.
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
