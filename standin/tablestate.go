package standin

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/storage"
)

// maxQueueWait is the longest time that a rate limit delays a call; a call that
// would wait longer is rejected without effect.
const maxQueueWait = 2 * time.Second

// errReplyLost is the ErrUnavailable for a commit that took effect but whose
// reply is lost.
var errReplyLost = eris.Wrap(storage.ErrUnavailable, "reply lost")

// maxListRows is the largest number of rows returned by one List.
const maxListRows = 10_000

// tableMessage is a request to the table's duty.
type tableMessage interface{ apply(*tableState) }

// tableReply is the reply to a call; the client returns it after the delay.
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

// tableState is owned by the table's duty.
type tableState struct {
	options TableOptions
	faults  TableFaults
	stats   TableStats
	rows    map[string]storage.Row
	// keys are the keys of rows in ascending order.
	keys []string
	// deleted has the last version of deleted rows, so that versions of a key
	// only increase.
	deleted      map[string]storage.RowVersion
	readLimiter  rateLimiter
	writeLimiter rateLimiter
	log          recordLog
}

func newTableState(options TableOptions) *tableState {
	return &tableState{
		options:      options,
		rows:         map[string]storage.Row{},
		deleted:      map[string]storage.RowVersion{},
		readLimiter:  rateLimiter{perSecond: options.ReadsPerSecond},
		writeLimiter: rateLimiter{perSecond: options.WritesPerSecond},
	}
}

func (m getMessage) apply(s *tableState) {
	delay, err := s.admit(&s.readLimiter)
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
	delay, err := s.admit(&s.readLimiter)
	if err != nil {
		m.reply <- tableReply{err: err, delay: delay}
		return
	}
	s.stats.Reads++
	m.reply <- tableReply{rows: s.list(m.prefix, m.after, m.limit), delay: delay}
}

func (m commitMessage) apply(s *tableState) {
	delay, err := s.admit(&s.writeLimiter)
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

// admit applies outage and rate limit to a call and returns the delay of its
// reply.
func (s *tableState) admit(l *rateLimiter) (time.Duration, error) {
	delay := s.options.Latency + millis(s.faults.DelayMS)
	if s.faults.Outage {
		s.stats.Refused++
		return delay, eris.Wrap(storage.ErrUnavailable, "outage")
	}
	wait := l.waitTime(s.options.Clock.Now())
	if wait > maxQueueWait {
		s.stats.Refused++
		return delay, eris.Wrap(storage.ErrUnavailable, "overloaded")
	}
	l.reserve()
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
	if s.options.RecordedPrefix == "" || !strings.HasPrefix(row.Key, s.options.RecordedPrefix) {
		return
	}
	s.log.add(Record{
		Time: s.options.Clock.Now(), Kind: Written,
		Key: row.Key, Version: uint64(row.Version), Value: row.Value,
	})
}

// loseReply returns errReplyLost when the reply of the current commit is to be
// lost.
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

// rateLimiter spaces calls evenly at perSecond calls per second; zero means no
// limit.
type rateLimiter struct {
	perSecond int
	nextFree  time.Time
}

// waitTime returns how long a call that arrives now has to wait.
func (l *rateLimiter) waitTime(now time.Time) time.Duration {
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	return l.nextFree.Sub(now)
}

// reserve takes the slot whose wait waitTime returned.
func (l *rateLimiter) reserve() {
	if l.perSecond > 0 {
		l.nextFree = l.nextFree.Add(time.Second / time.Duration(l.perSecond))
	}
}
