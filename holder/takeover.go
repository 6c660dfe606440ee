package holder

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/election"
	"github.com/hornbeamworks/hornbeam/estimate"
	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// jobsPause is the least time between two reads of the jobs feed, so that jobs
	// accepted within it are read together.
	jobsPause = 4 * time.Millisecond
	// jobsWait is how long a read of the jobs feed waits for a change. After one read
	// without a response, the next one succeeds within maxJobsAge of the last.
	jobsWait = 400 * time.Millisecond
	// maxJobsAge is the greatest age of the planner's jobs at which starts are decided and
	// sent. A task may start 3 s after its job's cancel was acknowledged; the endpoint may
	// execute its start for startLifetime.
	maxJobsAge = 1800 * time.Millisecond
	// maxOperatorsAge is the same for the operators' rows: a task may start in a failure
	// domain up to 5 s after its evacuation was acknowledged.
	maxOperatorsAge = 4 * time.Second
	// registryPause is the least time between two reads of the registry feed.
	registryPause = 300 * time.Millisecond
	// registryWait is how long a read of the registry feed waits for a change.
	registryWait = 200 * time.Millisecond
	// maxRegistryAge is the same for the registry: a task may start up to 2 s after the
	// table has accepted that its endpoint leaves. One read without a response exceeds it by
	// some 0.2 s.
	maxRegistryAge = 1400 * time.Millisecond
)

// restoredCell is the durable state that a new holder has read.
type restoredCell struct {
	epoch    uint64
	jobs     map[jobs.ID]*jobs.Job
	progress map[jobs.ID]*jobs.Progress
	// parts contains the recorded parts of the jobs whose progress is recorded in parts.
	parts map[jobs.ID]progressParts
	// unreadable contains the jobs whose rows can't be read. Their progress is kept for a
	// holder that can read them. ends contains the ends that are recorded apart from it.
	unreadable map[jobs.ID]bool
	ends       map[jobs.ID]*jobs.Progress
	roster     roster
	// oldRoster is set if a row of an older build has the roster.
	oldRoster bool
	// oldRecord is set if the last holder was of a build that keeps no incarnations in the
	// roster.
	oldRecord     bool
	estimates     estimate.Snapshot
	recordVersion storage.RowVersion
	// feedFrom is the version from which the jobs feed continues.
	feedFrom storage.RowVersion
	// jobsReadAt is when the jobs were requested.
	jobsReadAt time.Time
}

func (r *restoredCell) apply(h *Holder) {
	if h.cell == nil || h.cell.epoch != r.epoch {
		return
	}
	h.cell.restored = r
	h.fire(evRestored)
}

// Elected implements election.Listener.
func (h *Holder) Elected(e election.Elected) { h.post(electedMessage{e}) }

// Renewed implements election.Listener.
func (h *Holder) Renewed(until time.Time) { h.post(renewedMessage{until}) }

// Deposed implements election.Listener.
func (h *Holder) Deposed() { h.post(deposedMessage{}) }

type electedMessage struct{ election.Elected }

func (m electedMessage) apply(h *Holder) {
	h.elected, h.actUntil = m.Elected, m.Until
	h.fire(evElected)
}

type renewedMessage struct{ until time.Time }

func (m renewedMessage) apply(h *Holder) { h.actUntil = m.until }

type deposedMessage struct{}

func (deposedMessage) apply(h *Holder) {
	h.actUntil = time.Time{}
	h.fire(evDeposed)
}

// beginRestore creates the state of the epoch and starts a duty that reads the
// cell from the table.
func (h *Holder) beginRestore() {
	ctx, cancel := context.WithCancel(h.ctx)
	c := &cell{
		epoch:       h.elected.Epoch,
		ctx:         ctx,
		cancel:      cancel,
		planner:     planner.New(h.elected.Epoch),
		sessions:    map[model.EndpointID]*session{},
		roster:      map[model.EndpointID]rosterEntry{},
		adviceQueue: newAdviceQueue(),
	}
	h.cell = c
	c.planner.SetPolicy(h.Policy)
	c.planner.SetStopTime(h.StopTime)
	c.planner.SetTime(h.now, h.Wall.Now().UnixMilli())
	reader := &restorer{table: h.Table, parts: h.Parts, epoch: c.epoch, ctx: ctx, h: h}
	reader.Duty = duty.NewCalling("restorer", 1, duty.HandlerFunc[struct{}](reader.handle))
	c.start(h, reader)
}

// discardCell cancels the calls and duties of the epoch and discards its state.
func (h *Holder) discardCell() {
	h.cell.cancel()
	h.cell = nil
	endpointsOverCapacity.Set(0)
}

// start runs a duty that is stopped with the cell, or with the process.
func (c *cell) start(h *Holder, d duty.Runner) {
	context.AfterFunc(c.ctx, d.Stop)
	h.Start(d)
}

// takeOver loads the restored state into the planner and starts the cell's duties.
func (h *Holder) takeOver() {
	c, r := h.cell, h.cell.restored
	c.restored, c.jobsReadAt = nil, r.jobsReadAt
	c.recorder = newRecorder(h, r.recordVersion)
	maps.Copy(c.recorder.parts, r.parts)
	c.commands = newCommands(h)
	c.cleaner = newCleaner(h)
	c.start(h, NewPruner(c.ctx, h.Table, h.Parts, h.Wall, h.Log))
	if h.catalog != nil {
		c.planner.SetCatalog(h.catalog)
	}
	for domain := range h.evacuated {
		c.planner.SetEvacuated(domain, true)
	}
	formerActsUntil := h.now.Add(election.LeaseTime - election.VacantTime)
	c.inheritedLeaseEnd = formerActsUntil.Add(h.leaseDurationBound())
	c.inheritedArriveBy = formerActsUntil.Add(listWait + dispatch.ListTimeout)
	h.addRoster(r.roster)
	if r.oldRoster {
		c.recorder.replaceOldRoster()
	}
	if r.oldRecord {
		c.recorder.rewriteRoster()
	}
	c.recorder.restoreEnds(r)
	h.restoreEstimates(r.estimates)
	h.logRestoredCancels(r.jobs)
	c.planner.Restore(r.jobs, r.progress)
	for id := range r.progress {
		if r.jobs[id] == nil && !r.unreadable[id] {
			// The job's row has been deleted.
			c.recorder.jobRowsDeleted[id] = true
		}
	}
	for _, id := range c.planner.Endpoints() {
		if c.sessions[id] == nil {
			// The endpoint is not in the roster. Its address is not known, so its
			// lease has to expire.
			h.inheritIncarnation(h.addSession(id, "", ""), rosterEntry{})
		}
	}
	h.Log.Info("cell_restored", slog.Uint64("epoch", c.epoch), slog.Int("jobs", len(r.jobs)),
		slog.Int("endpoints", len(r.roster.Endpoints)), slog.Uint64("version", uint64(r.feedFrom)),
		slog.Duration("jobs_read_age", h.now.Sub(r.jobsReadAt)))
	h.startDuties(r.feedFrom)
}

// addRoster adds a session for each endpoint of the former holder's roster.
func (h *Holder) addRoster(row roster) {
	for _, e := range row.Endpoints {
		h.cell.roster[e.ID] = e
		h.inheritIncarnation(h.addSession(e.ID, e.Address, e.Domain), e)
	}
}

func (h *Holder) startDuties(from storage.RowVersion) {
	c := h.cell
	common := feed.Options{Source: h.Table, Clock: h.Clock, Log: h.Log}
	jobsFeed := common
	jobsFeed.ID, jobsFeed.Table, jobsFeed.Prefixes = "jobs_feed", JobsTable, h.Parts.Prefixes(JobsTable)
	jobsFeed.From, jobsFeed.Pause, jobsFeed.Wait = from, jobsPause, jobsWait
	jobsFeed.Sink = func(u feed.Update) { h.post(jobsMessage{c.epoch, u}) }
	registry := common
	registry.ID, registry.Table, registry.Prefixes = "registry_feed", h.Registry.RegistryTable(), []string{h.Registry.RegistryTable() + "//"}
	registry.Pause, registry.Wait = registryPause, registryWait
	registry.Sink = func(u feed.Update) { h.post(registryMessage{c.epoch, u}) }
	for _, o := range []feed.Options{jobsFeed, registry} {
		c.start(h, feed.New(c.ctx, o))
	}
	c.adviceQueue.setInstances(h, h.Instances())
	c.commands.setInstances(h.Instances())
	// The first renewals of a large cell would take the instance's processor for seconds
	// if it sent them itself.
	c.commands.updateRoutes(h)
}

// jobsMessage reports accepted and cancelled jobs.
type jobsMessage struct {
	epoch  uint64
	update feed.Update
}

func (m jobsMessage) apply(h *Holder) {
	c := h.cell
	if c == nil || c.epoch != m.epoch || !actingStates.Has(h.state) {
		return
	}
	if m.update.Full {
		h.Log.Info("jobs_read_again", slog.Uint64("epoch", c.epoch), slog.Uint64("version", uint64(m.update.Version)),
			slog.Int("rows", len(m.update.Changes)), slog.Int("removed_jobs", len(c.recorder.removedJobs.ids)))
	}
	for _, change := range m.update.Changes {
		if change.Key == election.EpochKey {
			h.checkEpoch(change)
			continue
		}
		if !change.Deleted {
			h.applyJob(change.Row)
		}
	}
	if h.cell == c {
		c.recorder.removedJobs.feedApplied(m.update.Version)
		jobsReadGaps.Record(feedLabel, m.update.RequestedAt.Sub(c.jobsReadAt))
		c.jobsReadAt = m.update.RequestedAt
	}
}

// checkEpoch makes the holder step down if the feed shows a later epoch: the jobs
// that follow in the feed belong to the next holder.
func (h *Holder) checkEpoch(change storage.Change) {
	var row election.Epoch
	if err := json.Unmarshal(change.Value, &row); err != nil {
		h.Log.Error("epoch_unreadable", slog.Any("error", err))
		return
	}
	if row.Epoch > h.elected.Epoch {
		h.stepDown("the jobs' feed shows a later epoch")
	}
}

// stepDown makes the instance stop acting as the holder at once.
func (h *Holder) stepDown(reason string) {
	h.Log.Warn("stepping_down", slog.Uint64("epoch", h.elected.Epoch), slog.String("reason", reason))
	h.actUntil = time.Time{}
	h.fire(evDeposed)
}

func (h *Holder) applyJob(row storage.Row) {
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
	case h.cell.recorder.unreadable[job.ID] != nil:
		// The next holder reads it with its progress.
		h.Log.Warn("job_readable_again", slog.String("key", row.Key))
		return
	case p.HasJob(job.ID) && job.Cancelled:
		h.cell.cancels.add(p, job, h.now)
		p.CancelJob(job.ID)
	case !p.HasJob(job.ID) && !h.removed(job.ID):
		if job.Cancelled {
			h.cell.cancels.add(p, job, h.now)
		}
		p.AddJob(job, nil)
	default:
		return
	}
	h.logTaken(job, false)
}

// logTaken logs a job that has been read from its row, or its cancel.
func (h *Holder) logTaken(job *jobs.Job, restored bool) {
	attrs := []slog.Attr{
		slog.String("id", string(job.ID)), slog.String("queue", string(job.Queue)),
		slog.String("team", string(job.Team)), slog.Bool("cancelled", job.Cancelled), slog.Bool("restored", restored),
		slog.Uint64("version", job.RowVersion), slog.Int("steps", len(job.Steps)),
		slog.Int64("age_ms", h.Wall.Now().UnixMilli()-job.Accepted), slog.Duration("jobs_read_age", h.now.Sub(h.cell.jobsReadAt)),
	}
	if job.CancelledAt > 0 {
		attrs = append(attrs, slog.Int64("cancel_age_ms", h.Wall.Now().UnixMilli()-job.CancelledAt))
	}
	h.Log.Info("job_taken", attrs...)
}

// logRestoredCancels logs the cancelled jobs of a former holder.
func (h *Holder) logRestoredCancels(restored map[jobs.ID]*jobs.Job) {
	for _, id := range slices.Sorted(maps.Keys(restored)) {
		if job := restored[id]; job.Cancelled {
			h.cell.cancels.add(h.cell.planner, job, h.now)
			h.logTaken(job, true)
		}
	}
}

// removed reports whether the job has been removed and the feed may still show its row.
func (h *Holder) removed(id jobs.ID) bool {
	return h.cell.planner.RemovedSincePlan(id) || h.cell.recorder.removedJobs.contains(id)
}

func decodeJob(row storage.Row) (*jobs.Job, error) {
	var job jobs.Job
	if err := json.Unmarshal(row.Value, &job); err != nil {
		return nil, eris.Wrap(err, "decoding a job")
	}
	if job.ID != jobIDOf(row.Key) {
		return nil, eris.New("the job ID does not match the row key")
	}
	if problem := job.Problem(); problem != "" {
		return nil, eris.New(problem)
	}
	job.RowVersion = uint64(row.Version)
	return &job, nil
}
