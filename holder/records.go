package holder

import (
	"hash/fnv"
	"strconv"

	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// The tables of the cell. What fronts write of a job stands in the job's part,
// so that a slow table still takes many jobs; what the holder writes stands in
// one part, so that one transaction holds it.
const (
	// JobsTable holds the accepted jobs until nothing of them runs any more.
	JobsTable = "jobs"
	// AcceptedTable has a row for each job that was ever accepted: it keeps an
	// id from being accepted twice.
	AcceptedTable = "accepted"
	// outcomePrefix is the prefix of what callers are told of jobs that have
	// begun or ended.
	outcomePrefix = "outcome//"
	// progressPrefix is the prefix of what outlasts the holder of a job under
	// way.
	progressPrefix = "progress//"
	// QueuesKey is the row of the waiting jobs.
	QueuesKey = "cell//queues"
	rosterKey = "cell//roster"
	recordKey = "cell//record"
)

// OutcomeKey returns the key of the row that tells the state of a job that has
// begun.
func OutcomeKey(id jobs.ID) string { return outcomePrefix + string(id) }

func progressKey(id jobs.ID) string { return progressPrefix + string(id) }

// Parts is the number of parts over which jobs are spread.
type Parts int

// Of returns the part of a job.
func (n Parts) Of(id jobs.ID) int {
	if n <= 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(n))
}

// Key returns the key of a job's row in the table.
func (n Parts) Key(table string, id jobs.ID) string {
	return n.prefix(table, n.Of(id)) + string(id)
}

// Prefixes returns the prefixes of all parts of the table.
func (n Parts) Prefixes(table string) []string {
	var all []string
	for part := range max(int(n), 1) {
		all = append(all, n.prefix(table, part))
	}
	return all
}

func (n Parts) prefix(table string, part int) string {
	if n <= 1 {
		return table + "//"
	}
	return table + "/" + strconv.Itoa(part) + "/"
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

func put(key string, row any) storage.Write {
	return storage.Write{Key: key, Value: storage.Encode(row)}
}
func drop(key string) storage.Write { return storage.Write{Key: key, Delete: true} }
