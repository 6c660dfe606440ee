package holder

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamworks/hornbeam/admission"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// The tables of the cell. Rows that fronts write are distributed over the parts
// by job, so that the throughput of accepted jobs stays high while the table is
// slow. Rows that the holder writes are in a single part, so that one transaction
// can contain them.
const (
	// JobsTable contains the accepted jobs until they have ended and none of their
	// runs is live.
	JobsTable = "jobs"
	// AcceptedTable contains a row for each accepted job, which prevents an ID
	// from being accepted twice, and a row for each bar: see BarID. The Pruner deletes the
	// row after the job's end.
	AcceptedTable = "accepted"
	// outcomePrefix is the prefix of the rows with the status of jobs that have
	// begun or ended.
	outcomePrefix = "outcome//"
	// progressPrefix is the prefix of the rows from which the next holder restores
	// the progress of unfinished jobs.
	progressPrefix = "progress//"
	// progressPartSeparator is between a job's ID, which does not contain it, and the
	// number of a part of its progress.
	progressPartSeparator = "."
	// barSeparator is between a job's ID, which does not contain it, and an owner in the ID of
	// a bar.
	barSeparator = "."
	// cellPrefix is the prefix of the other rows of the holder.
	cellPrefix = "cell//"
	// QueuesKey is the key of the row with the numbers of waiting jobs.
	QueuesKey = cellPrefix + "queues"
	recordKey = cellPrefix + "record"
	// estimatesKey is the key of the row with what has been learned about run times.
	estimatesKey = cellPrefix + "estimates"
	// rosterPrefix is the prefix of the rows with the parts of the roster. An older build
	// has the whole roster in the row oldRosterKey.
	rosterPrefix = oldRosterKey + "/"
	oldRosterKey = cellPrefix + "roster"
	// rosterParts is the number of parts of the roster. A row of the table has at most 64 KB,
	// and an endpoint takes some 80 bytes.
	rosterParts = 32
)

// rosterPart returns the part of the roster that has the endpoint.
func rosterPart(id model.EndpointID) int { return int(xxhash.Sum64String(string(id)) % rosterParts) }

func rosterKey(part int) string { return rosterPrefix + strconv.Itoa(part) }

// OutcomeKey returns the key of the row with the status of a job that has begun.
func OutcomeKey(id jobs.ID) string { return outcomePrefix + string(id) }

// BarID returns the ID of the rows that keep the job from being accepted from the team in the
// queue: a row in AcceptedTable, in the part of the job, and an outcome, by which the Pruner
// finds it. The ID differs from that of any job.
func BarID(id jobs.ID, team model.TeamName, queue jobs.QueueName) jobs.ID {
	owner := xxhash.Sum64String(string(team) + "\x00" + string(queue))
	return id + barSeparator + jobs.ID(strconv.FormatUint(owner, 16))
}

func progressKey(id jobs.ID) string { return progressPrefix + string(id) }

// progressPartKey returns the key of a part of a job's progress.
func progressPartKey(id jobs.ID, part int) string {
	return progressKey(id) + progressPartSeparator + strconv.Itoa(part)
}

// progressPartOf returns the job and the part in the key of a progress row; isPart is
// false for the row of the job as a whole.
func progressPartOf(key string) (id jobs.ID, part int, isPart bool) {
	name := string(jobIDOf(key))
	job, number, found := strings.Cut(name, progressPartSeparator)
	if part, err := strconv.Atoi(number); found && err == nil && part >= 0 {
		return jobs.ID(job), part, true
	}
	return jobs.ID(name), 0, false
}

// Parts is the number of parts over which the rows of jobs are distributed.
type Parts int

// Of returns the index of the part of a job and of its bars.
func (n Parts) Of(id jobs.ID) int {
	if n <= 1 {
		return 0
	}
	job, _, _ := strings.Cut(string(id), barSeparator)
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
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

// jobIDOf returns the job ID in a row's key: the text after the last slash.
func jobIDOf(key string) jobs.ID {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return jobs.ID(key[i+1:])
		}
	}
	return jobs.ID(key)
}

// Queues is the row with the numbers of waiting jobs.
type Queues struct {
	// PublishedAt is when the holder counted them; 0 if the time of the table's clock
	// was not known.
	PublishedAt storage.TableTime `json:"at,omitempty"`
	// Waiting is the number of jobs per queue of which no task has started.
	Waiting map[jobs.QueueName]int `json:"waiting"`
	// Load is the load of the cell, from which fronts decide on new jobs; nil if an older
	// build wrote the row.
	Load *admission.Load `json:"load,omitempty"`
}

// roster is a row with endpoints that may run tasks of any epoch.
type roster struct {
	Endpoints []rosterEntry `json:"endpoints"`
}

type rosterEntry struct {
	ID      model.EndpointID `json:"id"`
	Address string           `json:"address"`
	Domain  model.DomainName `json:"domain"`
	// Born is the start time of its incarnation; 0 if the holder does not know it.
	Born int64 `json:"born,omitempty"`
	// LongestLease is set while that incarnation may have the longest lease: a command that
	// was meant for the one before may have reached it.
	LongestLease bool `json:"longestLease,omitempty"`
}

// recordPosition is the row that orders the recorder's writes: each write is
// conditional on the previous one, so that a delayed write can't overwrite a later
// one.
type recordPosition struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	// Incarnations is set if the writer keeps the endpoints' incarnations in the roster. The
	// holder of an older build does not, and leaves those of others in it.
	Incarnations bool `json:"incarnations,omitempty"`
}

func putRow(key string, row any) storage.Write {
	return storage.Write{Key: key, Value: storage.Encode(row)}
}
func deleteRow(key string) storage.Write { return storage.Write{Key: key, Delete: true} }
