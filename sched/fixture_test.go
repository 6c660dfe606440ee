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

// waitTimeout bounds each wait; only a failing test reaches it.
const waitTimeout = 30 * time.Second

var home = model.ShardID{Domain: "a"}

// fixture is a stand-in platform with the endpoints of one or more failure
// domains.
type fixture struct {
	ctx     context.Context
	table   *standin.Table
	objects *standin.ObjectStore
	fleet   *standin.Fleet
	config  atomic.Pointer[model.Config]
	started int
	// cleanup registers a function to be called at the end of the test, in
	// reverse order.
	cleanup func(end func())
}

// scheduler is one scheduler process.
type scheduler struct {
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

func newFixture(endpoints int) *fixture {
	return newFixtureUntil(endpoints, func(end func()) { DeferCleanup(end) })
}

// newFixtureUntil registers the end of the fixture with cleanup.
func newFixtureUntil(endpoints int, cleanup func(end func())) *fixture {
	return newFixtureOf(endpointsOf("a", endpoints), testConfig(), cleanup)
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

func newFixtureOf(infos []model.EndpointInfo, config *model.Config, cleanup func(end func())) *fixture {
	fx := &fixture{ctx: context.Background(), cleanup: cleanup}
	fx.config.Store(config)
	fx.table = standin.NewTable(standin.TableOptions{})
	fx.objects = standin.NewObjectStore()
	fx.fleet = standin.NewFleet(standin.FleetOptions{}, infos)
	group := duty.NewGroup(fx.ctx)
	runners := []duty.Runner{fx.table.Duty(), fx.objects.Duty(), fx.fleet.Duty()}
	group.Start(runners...)
	cleanup(func() {
		for _, r := range runners {
			r.Stop()
		}
		Expect(group.Wait()).To(Succeed())
	})
	return fx
}

// testSettings returns settings with shorter times than the defaults, so that
// the tests take less time.
func testSettings() sched.Settings {
	s := sched.DefaultSettings()
	s.Lease.Lease, s.Lease.Renew, s.Lease.Poll = 900*time.Millisecond, 300*time.Millisecond, 50*time.Millisecond
	s.Journal.RowInterval, s.JournalBudget = 20*time.Millisecond, 0
	s.Journal.Retry, s.Journal.DownAfter = 50*time.Millisecond, 200*time.Millisecond
	s.Journal.SnapshotRows = 10
	s.SyncPeriod, s.IdlePeriod = 30*time.Millisecond, 100*time.Millisecond
	s.ListPeriod = 100 * time.Millisecond
	s.Fresh, s.LeaseMargin = 500*time.Millisecond, 200*time.Millisecond
	s.TaskLease = 1500 * time.Millisecond
	s.DrainTimeout, s.RedirectWait = 2*time.Second, 2*time.Second
	return s
}

// startScheduler runs another scheduler process until the test ends.
func (fx *fixture) startScheduler() *scheduler {
	return fx.startWith(testSettings(), fx.table.Client(), fx.fleet.Client())
}

func (fx *fixture) startWith(settings sched.Settings, table storage.Table, endpoints endpoint.Endpoint) *scheduler {
	return fx.startShard(home, settings, sched.Dependencies{Table: table, Endpoints: endpoints})
}

// startShard runs a scheduler of the shard. deps has the dependencies that are
// not those of the fixture.
func (fx *fixture) startShard(id model.ShardID, settings sched.Settings, deps sched.Dependencies) *scheduler {
	fx.started++
	name := fmt.Sprintf("s%d", fx.started)
	s := &scheduler{group: duty.NewGroup(fx.ctx)}
	deps.Objects, deps.Instances = fx.objects.Client(), fx.fleet.List()
	deps.Clock, deps.Log = clock.System{}, logging.Discard()
	deps.Config = fx.config.Load
	deps.Start = s.group.Start
	deps.Announce = func(sched.Holding) bool { return true }
	deps.NewScheduler = func() policy.Scheduler { return cell.New(cell.Settings{}) }
	s.daemon = sched.NewDaemon(id, model.InstanceID(name), name+":1", settings, deps)
	s.daemon.Configure(fx.config.Load(), nil)
	s.service = sched.NewService(fx.ctx, clock.System{}, map[model.ShardID]func(sched.Message) bool{id: s.daemon.Offer})
	s.group.Start(s.daemon.Duties()...)
	fx.cleanup(s.stop)
	return s
}

// stop ends the process without a hand-over: to others it looks like a kill.
func (s *scheduler) stop() {
	if s.stopped {
		return
	}
	s.stopped = true
	for _, d := range s.daemon.Duties() {
		d.Stop()
	}
	Expect(s.group.Wait()).To(Succeed())
}

// request returns a submission of the class whose tasks run for the given time.
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

// submit retries until the process replies with a code other than NotHolder or
// Busy.
func (s *scheduler) submit(r peer.SubmitRequest) model.Answer {
	var reply peer.Reply
	Eventually(func() result.Code {
		reply = peer.Reply{}
		Expect(s.service.Submit(r, &reply)).To(Succeed())
		return result.Code(reply.Answer.Code)
	}).WithTimeout(waitTimeout).WithPolling(10 * time.Millisecond).ShouldNot(BeElementOf(result.NotHolder, result.Busy))
	return reply.Answer
}

func (s *scheduler) answer(r peer.SubmitRequest) model.Answer {
	var reply peer.Reply
	Eventually(func() result.Code {
		reply = peer.Reply{}
		Expect(s.service.Await(peer.AwaitRequest{ID: r.ID, Team: r.Team, Wait: time.Second}, &reply)).To(Succeed())
		return result.Code(reply.Answer.Code)
	}).WithTimeout(waitTimeout).ShouldNot(BeElementOf(result.NotHolder, result.Busy, result.Pending))
	return reply.Answer
}

// starts counts the starts of the request's tasks in the endpoints' records.
func (fx *fixture) starts(r peer.SubmitRequest) int {
	records, err := fx.fleet.Records(fx.ctx)
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
