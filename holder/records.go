package holder

import (
	"encoding/json"
	"hash/fnv"
	"strconv"

	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// The tables of the cell. Rows of a job stand in the part of its lane.
const (
	// JobsTable holds the accepted jobs until nothing of them runs any more.
	JobsTable = "jobs"
	// StatusTable holds what callers are told of a job.
	StatusTable = "status"
	// progressTable holds what outlasts the holder of a job under way.
	progressTable = "progress"
	// QueuesKey is the row of the waiting jobs.
	QueuesKey = "cell//queues"
	rosterKey = "cell//roster"
	recordKey = "cell//record"
)

// Lanes maps jobs to the parts of their rows.
type Lanes int

// Of returns the lane of a job.
func (n Lanes) Of(id jobs.ID) int {
	if n <= 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(n))
}

// Key returns the key of a job's row in the table.
func (n Lanes) Key(table string, id jobs.ID) string {
	return n.prefix(table, n.Of(id)) + string(id)
}

// Prefixes returns the prefixes of all lanes of the table.
func (n Lanes) Prefixes(table string) []string {
	var all []string
	for lane := range max(int(n), 1) {
		all = append(all, n.prefix(table, lane))
	}
	return all
}

func (n Lanes) prefix(table string, lane int) string {
	if n <= 1 {
		return table + "//"
	}
	return table + "/" + strconv.Itoa(lane) + "/"
}

// idOf returns the job of a row's key.
func idOf(key string) jobs.ID {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return jobs.ID(key[i+1:])
		}
	}
	return jobs.ID(key)
}

// Queues is the row of the waiting jobs.
type Queues struct {
	// Waiting are the jobs by queue of which nothing has started.
	Waiting map[jobs.QueueName]int `json:"waiting"`
}

// roster is the row of the endpoints that may run tasks of any epoch.
type roster struct {
	Endpoints []rosterEntry `json:"endpoints"`
}

type rosterEntry struct {
	ID      model.EndpointID `json:"id"`
	Address string           `json:"address"`
	Domain  model.DomainName `json:"domain"`
}

// record is the row that orders the recorder's writes: each depends on the one
// before, so that a write that was held up can't undo a later one.
type record struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Encode returns a row of plain fields, which always encode.
func Encode(row any) []byte {
	raw, err := json.Marshal(row)
	if err != nil {
		panic("holder: " + err.Error())
	}
	return raw
}

func put(key string, row any) storage.Write { return storage.Write{Key: key, Value: Encode(row)} }
func drop(key string) storage.Write         { return storage.Write{Key: key, Delete: true} }
