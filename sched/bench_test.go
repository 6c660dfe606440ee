package sched_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/cell"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/sched"
	"github.com/hornbeamworks/hornbeam/standin"
	"github.com/hornbeamworks/hornbeam/storage"
)

// deadline is generous: it is reached only by a failure.
const deadline = 30 * time.Second

var home = model.ShardID{Domain: "a"}

// world is the platform and the endpoints of one failure domain.
type world struct {
	ctx     context.Context
	table   *standin.Table
	objects *standin.ObjectStore
	fleet   *standin.Fleet
	config  atomic.Pointer[model.Config]
	started int
	// cleanup has functions called at the end, the last one first.
	cleanup func(end func())
}

// member is one scheduler process.
type member struct {
	daemon  *sched.Daemon
	service *sched.Service
	group   *duty.Group
	stopped bool
}

func testConfig() *model.Config {
	return &model.Config{
		Version: 1,
		Classes: []model.Class{
			{Name: "screen", MaxWait: time.Minute, Window: time.Minute, Shortage: model.Wait, Repeatable: true},
			{Name: "batch", MaxWait: time.Minute, Window: time.Minute, Shortage: model.Wait},
			{Name: "brief", MaxWait: time.Second, Window: time.Second, Shortage: model.Wait},
		},
		Teams:   []model.Team{{Name: "t", Share: 1000, Limit: model.Resources{1 << 20, 1 << 20, 0, 1000, 1000}}},
		Domains: []model.Domain{{Name: "a", Shards: 1}},
	}
}

func newWorld(endpoints int) *world {
	return newWorldUntil(endpoints, func(end func()) { DeferCleanup(end) })
}

// newWorldUntil has its end called by cleanup.
func newWorldUntil(endpoints int, cleanup func(end func())) *world {
	return newWorldOf(endpointsOf("a", endpoints), testConfig(), cleanup)
}

// endpointsOf returns n endpoints of the failure domain.
func endpointsOf(domain model.DomainName, n int) []model.EndpointInfo {
	var infos []model.EndpointInfo
	for i := range n {
		infos = append(infos, model.EndpointInfo{
			ID: model.EndpointID(fmt.Sprintf("%s%02d", domain, i)), Domain: domain, Rack: "r",
			Capacity: model.Resources{16000, 65536, 0, 8, 64},
		})
	}
	return infos
}

func newWorldOf(infos []model.EndpointInfo, config *model.Config, cleanup func(end func())) *world {
	w := &world{ctx: context.Background(), cleanup: cleanup}
	w.config.Store(config)
	w.table = standin.NewTable(standin.TableOptions{})
	w.objects = standin.NewObjectStore()
	w.fleet = standin.NewFleet(standin.FleetOptions{}, infos)
	group := duty.NewGroup(w.ctx)
	runners := []duty.Runner{w.table.Duty(), w.objects.Duty(), w.fleet.Duty()}
	group.Start(runners...)
	cleanup(func() {
		for _, r := range runners {
			r.Stop()
		}
		Expect(group.Wait()).To(Succeed())
	})
	return w
}

// testSettings are shorter than the defaults, so that tests are.
func testSettings() sched.Settings {
	s := sched.DefaultSettings()
	s.Lease.Lease, s.Lease.Renew, s.Lease.Poll = 900*time.Millisecond, 300*time.Millisecond, 50*time.Millisecond
	s.Journal.Pace, s.JournalBudget = 20*time.Millisecond, 0
	s.Journal.Retry, s.Journal.DownAfter = 50*time.Millisecond, 200*time.Millisecond
	s.Journal.SnapshotRows = 10
	s.SyncPeriod, s.IdlePeriod = 30*time.Millisecond, 100*time.Millisecond
	s.ListPeriod = 100 * time.Millisecond
	s.Fresh, s.LeaseMargin = 500*time.Millisecond, 200*time.Millisecond
	s.TaskLease = 1500 * time.Millisecond
	s.DrainTimeout, s.RedirectWait = 2*time.Second, 2*time.Second
	return s
}

// start runs one more scheduler process until the test ends.
func (w *world) start() *member {
	return w.startWith(testSettings(), w.table.Client(), w.fleet.Client())
}

func (w *world) startWith(settings sched.Settings, table storage.Table, endpoints endpoint.Endpoint) *member {
	return w.startShard(home, settings, sched.Outside{Table: table, Endpoints: endpoints})
}

// startShard runs a scheduler of the shard; out says what it reaches in its
// own way.
func (w *world) startShard(id model.ShardID, settings sched.Settings, out sched.Outside) *member {
	w.started++
	name := fmt.Sprintf("s%d", w.started)
	m := &member{group: duty.NewGroup(w.ctx)}
	out.Objects, out.Instances = w.objects.Client(), w.fleet.List()
	out.Clock, out.Log = clock.System{}, logging.Discard()
	out.Config = w.config.Load
	out.Start = m.group.Start
	out.Announce = func(sched.Holding) bool { return true }
	out.NewScheduler = func() policy.Scheduler { return cell.New(cell.Settings{}) }
	m.daemon = sched.NewDaemon(id, model.InstanceID(name), name+":1", settings, out)
	m.daemon.Configure(w.config.Load(), nil)
	m.service = sched.NewService(w.ctx, clock.System{}, map[model.ShardID]func(sched.Message) bool{id: m.daemon.Offer})
	m.group.Start(m.daemon.Duties()...)
	w.cleanup(m.stop)
	return m
}

// stop ends the process without a hand-over, as a kill does to others.
func (m *member) stop() {
	if m.stopped {
		return
	}
	m.stopped = true
	for _, d := range m.daemon.Duties() {
		d.Stop()
	}
	Expect(m.group.Wait()).To(Succeed())
}

// request returns a submission of the class; every task runs for the time.
func request(key string, class model.ClassName, run time.Duration) peer.SubmitRequest {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	payload := standin.Payload{RunMS: run.Milliseconds(), Output: "out "}
	return peer.SubmitRequest{
		ID: model.NewRequestID(home, h.Sum64()), Team: "t", Key: model.IdempotencyKey(key), ConfigVersion: 1,
		Spec: model.Spec{
			Class: class, Tasks: 1, Size: model.Resources{1000, 1024, 0, 1, 1},
			Estimate: run, Payload: payload.Encode(),
		},
	}
}

// submit submits until the process holds the shard and gives another word
// than "not holder" or "busy".
func (m *member) submit(r peer.SubmitRequest) model.Answer {
	var reply peer.Reply
	Eventually(func() result.Code {
		reply = peer.Reply{}
		Expect(m.service.Submit(r, &reply)).To(Succeed())
		return result.Code(reply.Answer.Code)
	}).WithTimeout(deadline).WithPolling(10 * time.Millisecond).ShouldNot(BeElementOf(result.NotHolder, result.Busy))
	return reply.Answer
}

// answer waits for the request's answer.
func (m *member) answer(r peer.SubmitRequest) model.Answer {
	var reply peer.Reply
	Eventually(func() result.Code {
		reply = peer.Reply{}
		Expect(m.service.Await(peer.AwaitRequest{ID: r.ID, Team: r.Team, Wait: time.Second}, &reply)).To(Succeed())
		return result.Code(reply.Answer.Code)
	}).WithTimeout(deadline).ShouldNot(BeElementOf(result.NotHolder, result.Busy, result.Pending))
	return reply.Answer
}

// starts counts the starts of the request's tasks on record at the endpoints.
func (w *world) starts(r peer.SubmitRequest) int {
	records, err := w.fleet.Records(w.ctx)
	Expect(err).NotTo(HaveOccurred())
	count := 0
	for _, record := range records {
		if record.Kind == standin.Started && record.Attempt.Task.Request == r.ID {
			count++
		}
	}
	return count
}

func code(c result.Code) int { return int(c) }
