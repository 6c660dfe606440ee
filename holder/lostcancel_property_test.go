package holder_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/election"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/platform"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
	"github.com/hornbeamworks/hornbeam/relay"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// cancelSeeds is the number of sequences; CANCEL_SEEDS selects another number, and
	// CANCEL_SEED the first seed.
	cancelSeeds = 12
	// cancelRounds is the number of times that the view of the holder is compared.
	cancelRounds = 6
	// cancelRoundTime is how long the table changes before that.
	cancelRoundTime = 150 * time.Millisecond
	// cancelViewTime bounds the time until the view of the holder equals the table.
	cancelViewTime = 10 * time.Second
	// cancelBound is how late after its cancel a task of a job may be started.
	cancelBound = 3 * time.Second
	cancelParts = holder.Parts(4)
	// cancelPageRows makes scans of several pages.
	cancelPageRows = 3
)

// flakyTable refuses calls, so that they are made through another instance.
type flakyTable struct {
	storage.FeedTable
	play *cancelPlay
}

func (t flakyTable) refuses() bool { return t.play.chance(0.1) }

func (t flakyTable) Scan(ctx context.Context, prefix string) (storage.Snapshot, error) {
	if t.refuses() {
		return storage.Snapshot{}, storage.ErrRefused
	}
	return t.FeedTable.Scan(ctx, prefix)
}

func (t flakyTable) Watch(ctx context.Context, table string, after storage.RowVersion, wait time.Duration) (storage.Changes, error) {
	if t.refuses() {
		return storage.Changes{}, storage.ErrRefused
	}
	return t.FeedTable.Watch(ctx, table, after, wait)
}

// submittedJob is what a sequence knows of a job.
type submittedJob struct {
	cancelledAt time.Time
	// unreadable is the row that replaces an unreadable one; nil while it can be read.
	unreadable []byte
	// wasUnreadable is set if a holder may have read it as unreadable when it took over.
	wasUnreadable bool
}

// cancelPlay is one random sequence of submissions, cancels, unreadable rows, losses of the
// history, faults and changes of the holder.
type cancelPlay struct {
	seed    uint64
	server  *platformtest.Table
	table   *platform.Table
	checker *platformtest.Checker
	holders []*holder.Holder
	// catalogs are the configurations, of which one has no queue for the jobs.
	catalogs  []*catalog.Catalog
	endpoints []*platformtest.Endpoint
	current   int
	epoch     uint64

	mu     sync.Mutex
	random *rand.Rand
	jobs   map[jobs.ID]*submittedJob
	ids    []jobs.ID
	active bool
}

func (p *cancelPlay) chance(ratio float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active && p.random.Float64() < ratio
}

func (p *cancelPlay) part(id jobs.ID) string {
	return strings.Split(cancelParts.Key(holder.JobsTable, id), "/")[1]
}

// change makes a random change to the table.
func (p *cancelPlay) change() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.active {
		return
	}
	switch n := p.random.IntN(100); {
	case n < 40:
		p.submit(1 + p.random.IntN(3))
	case n < 55:
		// The cancel follows at once.
		p.submit(1)
		p.cancel(p.ids[len(p.ids)-1])
	case n < 90 && len(p.ids) > 0:
		p.cancel(p.ids[p.random.IntN(len(p.ids))])
	case n < 94 && len(p.ids) > 0:
		p.spoil(p.ids[p.random.IntN(len(p.ids))])
	case n < 97:
		p.repair()
	case n < 98:
		p.server.DiscardHistory()
	case n < 99:
		modes := []platformtest.FaultMode{platformtest.Serving, platformtest.Silent, platformtest.Refusing, platformtest.LosingReplies}
		p.endpoints[p.random.IntN(len(p.endpoints))].SetFaultMode(modes[p.random.IntN(len(modes))])
	case n < 100:
		for _, h := range p.holders {
			h.SetCatalog(p.catalogs[p.random.IntN(len(p.catalogs))])
		}
	}
}

func (p *cancelPlay) submit(n int) {
	var rows []platformtest.Row
	for range n {
		job := jobs.Job{
			ID: jobs.ID(fmt.Sprintf("%04x%012x", p.random.IntN(1<<16), len(p.ids))), Team: "red", Queue: "cook", Spec: "x",
			Accepted: time.Now().UnixMilli(),
			Steps: []jobs.Step{
				{Count: 1 + p.random.IntN(3), Size: model.Resources{model.CPU: 100}, Estimate: time.Second},
				{Count: 1, Size: model.Resources{model.CPU: 100}, Estimate: time.Second, After: []int{0}},
			},
		}
		switch p.random.IntN(6) {
		case 0, 1, 2:
			// It fits on no endpoint.
			job.Steps[1].Size[model.CPU] = 1 << 30
		case 3:
			// The queue is not in the configuration.
			job.Queue = "removed"
		}
		p.jobs[job.ID] = &submittedJob{}
		p.ids = append(p.ids, job.ID)
		rows = append(rows, platformtest.Row{Table: holder.JobsTable, Part: p.part(job.ID), Key: string(job.ID), Value: storage.Encode(job)})
	}
	p.server.PutRows(rows...)
}

func withCancel(value []byte) []byte {
	var job jobs.Job
	if err := json.Unmarshal(value, &job); err != nil {
		panic(err)
	}
	job.Cancelled = true
	return storage.Encode(job)
}

func (p *cancelPlay) cancel(id jobs.ID) {
	job := p.jobs[id]
	if job.unreadable != nil {
		job.unreadable = withCancel(job.unreadable)
		return
	}
	if p.server.Update(holder.JobsTable, p.part(id), string(id), withCancel) && job.cancelledAt.IsZero() {
		job.cancelledAt = time.Now()
	}
}

// spoil makes the row of the job unreadable.
func (p *cancelPlay) spoil(id jobs.ID) {
	job := p.jobs[id]
	if job.unreadable != nil {
		return
	}
	p.server.Update(holder.JobsTable, p.part(id), string(id), func(value []byte) []byte {
		job.unreadable, job.wasUnreadable = value, true
		return []byte("{")
	})
}

// repair makes all rows readable.
func (p *cancelPlay) repair() {
	for _, id := range p.ids {
		job := p.jobs[id]
		if job.unreadable == nil {
			continue
		}
		p.server.Update(holder.JobsTable, p.part(id), string(id), func([]byte) []byte { return job.unreadable })
		job.unreadable = nil
	}
}

// elect makes one of the holders the holder of the next epoch. The other one may not know.
func (p *cancelPlay) elect() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
	former := p.current
	p.current = p.random.IntN(len(p.holders))
	for _, job := range p.jobs {
		job.wasUnreadable = job.unreadable != nil
	}
	row := storage.Write{Key: election.EpochKey, Value: storage.Encode(election.Epoch{Epoch: p.epoch, Node: "n"})}
	version, err := p.table.Write(context.Background(), storage.Txn{Writes: []storage.Write{row}})
	if err != nil {
		return err
	}
	if p.random.IntN(2) == 0 {
		p.holders[former].Deposed()
	}
	p.holders[p.current].Elected(election.Elected{Epoch: p.epoch, Version: version, Until: time.Now().Add(time.Hour)})
	return nil
}

func (p *cancelPlay) setActive(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = on
	if !on {
		p.repair()
		for _, e := range p.endpoints {
			e.SetFaultMode(platformtest.Serving)
		}
		for _, h := range p.holders {
			h.SetCatalog(p.catalogs[0])
		}
	}
}

// outcome returns the recorded final state of the job; empty for none.
func (p *cancelPlay) outcome(id jobs.ID) jobs.State {
	table, part, key := "outcome", "", string(id)
	value, found := p.server.Row(table, part, key)
	var status jobs.Status
	if !found || json.Unmarshal(value, &status) != nil || !status.State.Final() {
		return ""
	}
	return status.State
}

// difference compares the planner's view with the rows. It returns nil if they agree.
func (p *cancelPlay) difference() error {
	view := p.holders[p.current].States(p.ids)
	if view == nil {
		return errors.New("no holder decides")
	}
	for _, id := range p.ids {
		value, exists := p.server.Row(holder.JobsTable, p.part(id), string(id))
		var row jobs.Job
		if exists {
			if err := json.Unmarshal(value, &row); err != nil {
				return err
			}
		}
		state, held := view[id]
		unfinished := held && !state.Final()
		outcome := p.outcome(id)
		switch {
		case unfinished && (!exists || row.Cancelled):
			return fmt.Errorf("job %s is %s, its row exists: %t, is cancelled: %t", id, state, exists, row.Cancelled)
		case exists && !row.Cancelled && !held && outcome == "" && !p.jobs[id].wasUnreadable:
			return fmt.Errorf("job %s is lost", id)
		case !exists && outcome == "":
			return fmt.Errorf("the row of job %s was deleted without an outcome", id)
		case (state == jobs.Cancelled || outcome == jobs.Cancelled) && exists && !row.Cancelled:
			return fmt.Errorf("job %s was not cancelled by its caller", id)
		}
	}
	return nil
}

// round changes the table for a while, and waits until the holder's view is that of the
// table.
func (p *cancelPlay) round() error {
	p.setActive(true)
	if p.epoch == 0 || p.chance(0.6) {
		if err := p.elect(); err != nil {
			return err
		}
	}
	end := time.Now().Add(cancelRoundTime)
	if p.chance(0.3) {
		p.server.SetFaultMode(platformtest.Refusing)
	}
	refusedUntil := time.Now().Add(cancelRoundTime / 3)
	for now := time.Now(); now.Before(end); now = time.Now() {
		if now.After(refusedUntil) {
			p.server.SetFaultMode(platformtest.Serving)
		}
		p.change()
		time.Sleep(3 * time.Millisecond)
	}
	p.server.SetFaultMode(platformtest.Serving)
	p.setActive(false)
	deadline := time.Now().Add(cancelViewTime)
	for {
		err := p.difference()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// lateStarts returns a description of each task that was started too late after the cancel
// of its job.
func (p *cancelPlay) lateStarts() []string {
	var late []string
	for _, run := range p.checker.Runs() {
		id, _, _ := strings.Cut(run.Task, ".")
		job := p.jobs[jobs.ID(id)]
		if job != nil && !job.cancelledAt.IsZero() && run.Began.Sub(job.cancelledAt) > cancelBound {
			late = append(late, fmt.Sprintf("%s started %s after its cancel", run.Task, run.Began.Sub(job.cancelledAt)))
		}
	}
	return late
}

// playCancels plays the sequence of the seed.
func playCancels(seed uint64) error {
	server, stopServer := platformtest.NewTable()
	defer stopServer()
	p := &cancelPlay{
		seed: seed, server: server, table: platform.NewTable(server.Address, true), checker: &platformtest.Checker{},
		random: rand.New(rand.NewPCG(seed, 0)), jobs: map[jobs.ID]*submittedJob{},
	}
	server.SetPageRows(cancelPageRows)
	server.SetNewestOnly(seed%3 == 0)
	if seed%4 == 1 {
		server.SetFeedRows(2)
	}
	server.SetOnCall(func(path string) {
		// Between two pages, two parts, or a scan and the feed.
		if strings.HasSuffix(path, "rows-get") || p.chance(0.3) {
			p.change()
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	peers := peerrpc.NewClient()
	var stops []func()
	defer func() {
		cancel()
		for _, h := range p.holders {
			h.Deposed()
			h.Stop()
		}
		peers.Close()
		_ = group.Wait()
		for _, stop := range stops {
			stop()
		}
	}()
	others, err := servePeer(group, p.table)
	if err != nil {
		return err
	}
	for i, taskTime := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
		e, stop := platformtest.NewEndpoint(fmt.Sprintf("e%d", i), p.checker, server, taskTime)
		stops = append(stops, stop)
		p.endpoints = append(p.endpoints, e)
	}
	row, err := platform.Source{}.OperatorRow(storage.Row{Key: "op//config", Value: storage.Encode(platformtest.Config(1))}, false)
	if err != nil {
		return err
	}
	withoutQueue := *row.Catalog
	withoutQueue.Queues = nil
	p.catalogs = []*catalog.Catalog{row.Catalog, &withoutQueue}
	for range 2 {
		var table storage.FeedTable = platform.NewTable(server.Address, true)
		if seed%2 == 0 {
			table = relay.New(flakyTable{table, p}, peers, func() []string { return []string{others} }, clock.Boot{}, logging.Discard())
		}
		h := holder.New(ctx, holder.Settings{
			Node: "n", Parts: cancelParts, MaxLease: 10 * time.Second, StopTime: time.Second, DirectEndpoints: 1000,
		}, holder.Dependencies{
			Table: table, TableClock: p.table, Registry: platform.Source{}, Command: platform.NewEndpoints(), Advice: openAdvice{},
			Instances: func() []instances.Instance { return nil }, Clock: clock.System{}, Wall: clock.System{},
			Log: logging.Discard(), Start: group.Start,
		})
		group.Start(h)
		h.SetCatalog(row.Catalog)
		h.Confirmed(time.Now().Add(time.Hour))
		p.holders = append(p.holders, h)
	}
	for i := range cancelRounds {
		if err := p.round(); err != nil {
			return fmt.Errorf("seed %d, round %d: %w", seed, i, err)
		}
	}
	if found := append(p.lateStarts(), p.checker.Violations()...); len(found) > 0 {
		return fmt.Errorf("seed %d: %s", seed, strings.Join(found, "; "))
	}
	return nil
}

// servePeer serves the table to other instances and returns the address.
func servePeer(group *duty.Group, table storage.FeedTable) (string, error) {
	server := peerrpc.NewServer()
	if err := relay.Serve(server, table); err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	group.Serve(func(ctx context.Context) error { return server.Serve(ctx, listener, group.Serve) })
	return listener.Addr().String(), nil
}

func environmentNumber(name string, otherwise uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return otherwise
}

// A cancel that no read of the table shows leaves its job at work.
var _ = Describe("The holder's view of the jobs, in random sequences", func() {
	It("has each cancel and each job that the table has, after take-overs, lost history and faults", func() {
		first, n := environmentNumber("CANCEL_SEED", 1), int(environmentNumber("CANCEL_SEEDS", cancelSeeds))
		Expect(duty.Each(n, 4, func(i int) error { return playCancels(first + uint64(i)) })).To(Succeed())
	})
})
