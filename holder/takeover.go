package holder

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/election"
	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// scanTimeout bounds the reading of one part: an instance with a link of 10
	// Mbit/s reads 10 MB in it.
	scanTimeout = 8 * time.Second
	// scansAtOnce is the number of parts that are read at the same time.
	scansAtOnce = 8
	// restorePause is the pause after a try that failed.
	restorePause = 150 * time.Millisecond
	// jobsPause is the least time between two calls of the jobs' feed: jobs
	// that arrive together are read together.
	jobsPause = 4 * time.Millisecond
	// registryPause is the same for the endpoints' entries.
	registryPause = 300 * time.Millisecond
)

// restored is what a successor has read.
type restored struct {
	epoch    uint64
	jobs     map[jobs.ID]*jobs.Job
	progress map[jobs.ID]*jobs.Progress
	roster   roster
	record   storage.RowVersion
	// from is where the jobs' feed goes on.
	from storage.RowVersion
}

func (r *restored) apply(h *Holder) {
	if h.cell == nil || h.cell.epoch != r.epoch {
		return
	}
	h.cell.restored = r
	h.fire(evRestored)
}

// Elected implements election.Listener.
func (h *Holder) Elected(e election.Elected) { h.tell(electedMessage{e}) }

// Renewed implements election.Listener.
func (h *Holder) Renewed(until time.Time) { h.tell(renewedMessage{until}) }

// Deposed implements election.Listener.
func (h *Holder) Deposed() { h.tell(deposedMessage{}) }

type electedMessage struct{ election.Elected }

func (m electedMessage) apply(h *Holder) {
	h.elected, h.until = m.Elected, m.Until
	h.fire(evElected)
}

type renewedMessage struct{ until time.Time }

func (m renewedMessage) apply(h *Holder) { h.until = m.until }

type deposedMessage struct{}

func (deposedMessage) apply(h *Holder) {
	h.until = time.Time{}
	h.fire(evDeposed)
}

// beginRestore reads the cell on a thread of its own.
func (h *Holder) beginRestore() {
	ctx, cancel := context.WithCancel(h.ctx)
	c := &cell{
		epoch:    h.elected.Epoch,
		ctx:      ctx,
		cancel:   cancel,
		planner:  planner.New(h.elected.Epoch),
		links:    map[model.EndpointID]*link{},
		roster:   map[model.EndpointID]rosterEntry{},
		consults: newConsults(),
	}
	h.cell = c
	c.planner.SetStopTime(h.StopTime)
	c.planner.Clock(h.now, h.Wall.Now().UnixMilli())
	reader := &restorer{table: h.Table, parts: h.Parts, epoch: c.epoch, ctx: ctx, h: h}
	reader.Duty = duty.NewCalling("restorer", 1, duty.HandlerFunc[struct{}](reader.handle))
	c.start(h, reader)
}

// forgetCell ends all that belongs to the epoch.
func (h *Holder) forgetCell() {
	h.cell.cancel()
	h.cell = nil
}

// start runs a duty that ends with the cell, or with the process.
func (c *cell) start(h *Holder, d duty.Runner) {
	context.AfterFunc(c.ctx, d.Stop)
	h.Start(d)
}

// takeOver hands what was read to the planner and starts the cell's duties.
func (h *Holder) takeOver() {
	c, r := h.cell, h.cell.restored
	c.restored = nil
	c.recorder = newRecorder(h, r.record)
	c.commands = newCommands(h)
	c.cleaner = newCleaner(h)
	c.start(h, NewPruner(c.ctx, h.Table, h.Parts, h.Wall, h.Log))
	if h.catalog != nil {
		c.planner.SetCatalog(h.catalog)
	}
	for domain := range h.evacuated {
		c.planner.SetEvacuated(domain, true)
	}
	c.inheritedEnd = h.now.Add(election.LeaseTime - election.VacantTime + h.leaseBound())
	for _, e := range r.roster.Endpoints {
		c.roster[e.ID] = e
		h.addLink(e.ID, e.Address)
	}
	for id, job := range r.jobs {
		c.planner.AddJob(job, r.progress[id])
	}
	for id := range r.progress {
		if r.jobs[id] == nil {
			// Its row was deleted already.
			c.recorder.dropped[id] = true
		}
	}
	for _, id := range c.planner.Endpoints() {
		if c.links[id] == nil {
			// Nobody knows its address: its lease is waited out.
			h.addLink(id, "")
		}
	}
	h.Log.Info("cell_restored", slog.Uint64("epoch", c.epoch), slog.Int("jobs", len(r.jobs)),
		slog.Int("endpoints", len(r.roster.Endpoints)), slog.Uint64("version", uint64(r.from)))
	h.startDuties(r.from)
}

func (h *Holder) startDuties(from storage.RowVersion) {
	c := h.cell
	common := feed.Options{Source: h.Table, Clock: h.Clock, Log: h.Log}
	jobsFeed := common
	jobsFeed.ID, jobsFeed.Table, jobsFeed.Prefixes = "jobs_feed", JobsTable, h.Parts.Prefixes(JobsTable)
	jobsFeed.From, jobsFeed.Pause = from, jobsPause
	jobsFeed.Sink = func(u feed.Update) { h.tell(jobsMessage{c.epoch, u}) }
	registry := common
	registry.ID, registry.Table, registry.Prefixes = "registry_feed", h.Registry.RegistryTable(), []string{h.Registry.RegistryTable() + "//"}
	registry.Pause = registryPause
	registry.Sink = func(u feed.Update) { h.tell(registryMessage{c.epoch, u}) }
	for _, o := range []feed.Options{jobsFeed, registry} {
		c.start(h, feed.New(c.ctx, o))
	}
	c.consults.setInstances(h, h.Instances())
	c.commands.setInstances(h.Instances())
}

// jobsMessage are accepted or cancelled jobs.
type jobsMessage struct {
	epoch  uint64
	update feed.Update
}

func (m jobsMessage) apply(h *Holder) {
	c := h.cell
	if c == nil || c.epoch != m.epoch || !actingStates.Has(h.state) {
		return
	}
	for _, change := range m.update.Changes {
		if change.Key == election.EpochKey {
			h.noteEpoch(change)
			continue
		}
		if !change.Deleted {
			h.takeJob(change.Row)
		}
	}
}

// noteEpoch stops the holder at a later epoch: what follows in the feed belongs
// to its successor.
func (h *Holder) noteEpoch(change storage.Change) {
	var row election.Epoch
	if err := json.Unmarshal(change.Value, &row); err != nil {
		h.Log.Error("epoch_unreadable", slog.Any("error", err))
		return
	}
	if row.Epoch > h.elected.Epoch {
		h.stepDown("the jobs' feed shows a later epoch")
	}
}

// stepDown stops acting at once.
func (h *Holder) stepDown(reason string) {
	h.Log.Warn("stepping_down", slog.Uint64("epoch", h.elected.Epoch), slog.String("reason", reason))
	h.until = time.Time{}
	h.fire(evDeposed)
}

func (h *Holder) takeJob(row storage.Row) {
	if h.cell == nil {
		return
	}
	job, err := decodeJob(row)
	if err != nil {
		h.Log.Error("job_unreadable", slog.String("key", row.Key), slog.Any("error", err))
		return
	}
	p := h.cell.planner
	switch {
	case p.Known(job.ID) && job.Cancelled:
		p.CancelJob(job.ID)
	case !p.Known(job.ID) && !h.cell.recorder.forgotten(job.ID):
		p.AddJob(job, nil)
	default:
		return
	}
	h.Log.Info("job_taken", slog.String("id", string(job.ID)), slog.String("queue", string(job.Queue)),
		slog.String("team", string(job.Team)), slog.Bool("cancelled", job.Cancelled),
		slog.Uint64("version", uint64(row.Version)), slog.Int("steps", len(job.Steps)),
		slog.Int64("age_ms", h.Wall.Now().UnixMilli()-job.Accepted))
}

func decodeJob(row storage.Row) (*jobs.Job, error) {
	var job jobs.Job
	if err := json.Unmarshal(row.Value, &job); err != nil {
		return nil, eris.Wrap(err, "decoding a job")
	}
	if job.ID != idOf(row.Key) {
		return nil, eris.New("the row holds another job")
	}
	return &job, nil
}

// restorer reads the cell once.
type restorer struct {
	*duty.Duty[struct{}]
	table storage.FeedTable
	parts Parts
	epoch uint64
	ctx   context.Context
	h     *Holder
	done  bool
}

func (r *restorer) handle([]struct{}) time.Duration {
	if r.done || r.ctx.Err() != nil {
		r.Stop()
		return duty.Never
	}
	found, err := r.read()
	if err != nil {
		r.h.Log.Warn("cell_not_read", slog.Uint64("epoch", r.epoch), slog.Any("error", err))
		return restorePause
	}
	r.done = true
	r.h.tell(found)
	return 0
}

func (r *restorer) read() (*restored, error) {
	found := &restored{
		epoch: r.epoch, jobs: map[jobs.ID]*jobs.Job{},
		progress: map[jobs.ID]*jobs.Progress{},
	}
	if err := r.readFixed(found); err != nil {
		return nil, err
	}
	if err := r.readJobs(found); err != nil {
		return nil, err
	}
	return found, r.readProgress(found)
}

// readFixed reads the rows that there is one of.
func (r *restorer) readFixed(found *restored) error {
	ctx, cancel := context.WithTimeout(r.ctx, scanTimeout)
	defer cancel()
	row, err := r.table.Get(ctx, rosterKey)
	if err == nil {
		err = json.Unmarshal(row.Value, &found.roster)
	}
	if err != nil && !eris.Is(err, storage.ErrNotFound) {
		return err
	}
	row, err = r.table.Get(ctx, recordKey)
	if err != nil && !eris.Is(err, storage.ErrNotFound) {
		return err
	}
	found.record = row.Version
	return nil
}

// scan reads the rows of one part.
func (r *restorer) scan(prefix string) (storage.Snapshot, error) {
	ctx, cancel := context.WithTimeout(r.ctx, scanTimeout)
	defer cancel()
	return r.table.Scan(ctx, prefix)
}

func (r *restorer) readJobs(found *restored) error {
	prefixes := r.parts.Prefixes(JobsTable)
	parts := make([]storage.Snapshot, len(prefixes))
	err := duty.Each(len(prefixes), scansAtOnce, func(i int) error {
		var err error
		parts[i], err = r.scan(prefixes[i])
		return err
	})
	if err != nil {
		return err
	}
	for _, rows := range parts {
		if found.from == 0 || rows.Version < found.from {
			found.from = rows.Version
		}
		for _, row := range rows.Rows {
			if row.Key == election.EpochKey {
				continue
			}
			job, err := decodeJob(row)
			if err != nil {
				r.h.Log.Error("job_unreadable", slog.String("key", row.Key), slog.Any("error", err))
				continue
			}
			found.jobs[job.ID] = job
		}
	}
	return nil
}

func (r *restorer) readProgress(found *restored) error {
	rows, err := r.scan(progressPrefix)
	if err != nil {
		return err
	}
	for _, row := range rows.Rows {
		var progress jobs.Progress
		if err := json.Unmarshal(row.Value, &progress); err != nil {
			return eris.Wrapf(err, "decoding the progress at %s", row.Key)
		}
		found.progress[idOf(row.Key)] = &progress
	}
	return nil
}
