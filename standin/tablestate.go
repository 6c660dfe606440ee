package standin

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/storage"
)

// maxQueue is the longest wait for a turn; a call that would wait longer is
// refused without effect.
const maxQueue = 2 * time.Second

// errReplyLost is the ErrUnavailable of a commit that took effect.
var errReplyLost = eris.Wrap(storage.ErrUnavailable, "reply lost")

// maxListRows bounds one List.
const maxListRows = 10_000

// tableMessage is one call on the table's state.
type tableMessage interface{ apply(*tableState) }

// tableReply is what a caller gets, after the delay.
type tableReply struct {
	rows  []storage.Row
	err   error
	delay time.Duration
}

type (
	getMessage struct {
		key   string
		reply chan<- tableReply
	}
	listMessage struct {
		prefix, after string
		limit         int
		reply         chan<- tableReply
	}
	commitMessage struct {
		txn   storage.Txn
		reply chan<- tableReply
	}
	faultsMessage struct {
		faults TableFaults
		reply  chan<- struct{}
	}
	statsMessage        struct{ reply chan<- TableStats }
	tableRecordsMessage struct{ reply chan<- []Record }
)

// tableState belongs to the table's duty.
type tableState struct {
	options TableOptions
	faults  TableFaults
	stats   TableStats
	rows    map[string]storage.Row
	// keys are the keys of rows in order.
	keys []string
	// deleted keeps the last version of deleted rows, so that versions never
	// go back.
	deleted map[string]storage.RowVersion
	reads   turns
	writes  turns
	log     recordLog
}

func newTableState(options TableOptions) *tableState {
	return &tableState{
		options: options,
		rows:    map[string]storage.Row{},
		deleted: map[string]storage.RowVersion{},
		reads:   turns{perSecond: options.ReadsPerSecond},
		writes:  turns{perSecond: options.WritesPerSecond},
	}
}

func (m getMessage) apply(s *tableState) {
	delay, err := s.admit(&s.reads)
	if err != nil {
		m.reply <- tableReply{err: err, delay: delay}
		return
	}
	s.stats.Reads++
	row, found := s.rows[m.key]
	if !found {
		m.reply <- tableReply{err: eris.Wrap(storage.ErrNotFound, m.key), delay: delay}
		return
	}
	m.reply <- tableReply{rows: []storage.Row{row}, delay: delay}
}

func (m listMessage) apply(s *tableState) {
	delay, err := s.admit(&s.reads)
	if err != nil {
		m.reply <- tableReply{err: err, delay: delay}
		return
	}
	s.stats.Reads++
	m.reply <- tableReply{rows: s.list(m.prefix, m.after, m.limit), delay: delay}
}

func (m commitMessage) apply(s *tableState) {
	delay, err := s.admit(&s.writes)
	if err == nil {
		err = s.commit(m.txn)
	}
	m.reply <- tableReply{err: err, delay: delay}
}

func (m faultsMessage) apply(s *tableState) {
	s.faults = m.faults
	m.reply <- struct{}{}
}

func (m statsMessage) apply(s *tableState) {
	s.stats.Rows = len(s.rows)
	m.reply <- s.stats
}

func (m tableRecordsMessage) apply(s *tableState) { m.reply <- s.log.all() }

// admit gives a call its turn and the delay until its reply.
func (s *tableState) admit(t *turns) (time.Duration, error) {
	delay := s.options.Latency + millis(s.faults.DelayMS)
	if s.faults.Outage {
		s.stats.Refused++
		return delay, eris.Wrap(storage.ErrUnavailable, "outage")
	}
	wait := t.next(s.options.Clock.Now())
	if wait > maxQueue {
		s.stats.Refused++
		return delay, eris.Wrap(storage.ErrUnavailable, "overloaded")
	}
	t.take()
	return delay + wait, nil
}

func (s *tableState) list(prefix, after string, limit int) []storage.Row {
	if limit <= 0 || limit > maxListRows {
		limit = maxListRows
	}
	var rows []storage.Row
	from := sort.SearchStrings(s.keys, max(prefix, after))
	for _, key := range s.keys[from:] {
		if !strings.HasPrefix(key, prefix) || len(rows) == limit {
			break
		}
		if key > after {
			rows = append(rows, s.rows[key])
		}
	}
	return rows
}

func (s *tableState) commit(txn storage.Txn) error {
	for _, check := range txn.Checks {
		if s.rows[check.Key].Version != check.Version {
			s.stats.Conflicts++
			return eris.Wrap(storage.ErrConflict, check.Key)
		}
	}
	for _, write := range txn.Writes {
		s.write(write)
	}
	s.stats.Writes++
	return s.loseReply()
}

func (s *tableState) write(w storage.Write) {
	old, found := s.rows[w.Key]
	s.stats.Bytes -= int64(len(old.Value))
	if w.Delete {
		s.remove(w.Key, found)
		return
	}
	if !found {
		old.Version = s.deleted[w.Key]
		delete(s.deleted, w.Key)
		at := sort.SearchStrings(s.keys, w.Key)
		s.keys = slices.Insert(s.keys, at, w.Key)
	}
	row := storage.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: old.Version + 1}
	s.rows[w.Key] = row
	s.stats.Bytes += int64(len(row.Value))
	s.record(row)
}

func (s *tableState) remove(key string, found bool) {
	if !found {
		return
	}
	s.deleted[key] = s.rows[key].Version
	delete(s.rows, key)
	at := sort.SearchStrings(s.keys, key)
	s.keys = slices.Delete(s.keys, at, at+1)
}

func (s *tableState) record(row storage.Row) {
	if s.options.Recorded == "" || !strings.HasPrefix(row.Key, s.options.Recorded) {
		return
	}
	s.log.add(Record{
		Time: s.options.Clock.Now(), Kind: Written,
		Key: row.Key, Version: uint64(row.Version), Value: row.Value,
	})
}

// loseReply decides whether the reply of a commit that took effect is lost.
func (s *tableState) loseReply() error {
	if s.faults.LoseReplies == 0 {
		return nil
	}
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
	}
	s.stats.LostReplies++
	return errReplyLost
}

// turns spaces calls so that no more than perSecond are served; zero means
// that there is no limit.
type turns struct {
	perSecond int
	free      time.Time
}

// next returns how long a call that comes now waits for its turn.
func (t *turns) next(now time.Time) time.Duration {
	if t.free.Before(now) {
		t.free = now
	}
	return t.free.Sub(now)
}

// take uses the turn that next has found.
func (t *turns) take() {
	if t.perSecond > 0 {
		t.free = t.free.Add(time.Second / time.Duration(t.perSecond))
	}
}
