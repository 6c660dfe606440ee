package holder

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
)

const (
	testQueue   = jobs.QueueName("batch")
	testService = catalog.ServiceName("cook")
)

// newTestHolder returns a holder that decides for the endpoints, all of which have
// been listed. Its duties are not run, so that commands remain pending.
func newTestHolder(ctx context.Context, entries ...fleet.Endpoint) *Holder {
	h := &Holder{now: time.Unix(1000, 0), actUntil: time.Unix(2000, 0), operatorsReadAt: time.Unix(2000, 0), evacuated: map[model.DomainName]bool{}}
	h.Log = logging.Discard()
	h.Clock, h.Wall = clock.Boot{}, clock.System{}
	h.Start = func(...duty.Runner) {}
	h.MaxLease = 10 * time.Second
	h.cell = &cell{
		ctx: ctx, epoch: 1, planner: planner.New(1), cleaner: &cleaner{}, jobsReadAt: h.actUntil, registryReadAt: h.actUntil,
		sessions: map[model.EndpointID]*session{}, roster: map[model.EndpointID]rosterEntry{},
	}
	h.cell.commands = newCommands(h)
	h.cell.recorder = newRecorder(h, 0)
	h.cell.planner.SetTime(h.now, h.now.UnixMilli())
	h.cell.planner.SetCatalog(&catalog.Catalog{
		Queues:   map[jobs.QueueName]*catalog.Queue{testQueue: {Name: testQueue, Service: testService, Attempts: 3, Stretch: 4}},
		Services: map[catalog.ServiceName]*catalog.Service{testService: {Name: testService}},
		Teams:    map[model.TeamName]*catalog.Team{"red": {Name: "red", Weight: 100}},
	})
	for _, entry := range entries {
		h.applyEntry(entry)
		h.applyListing(h.cell.sessions[entry.ID], h.now, fleet.Listing{Born: entry.Born, Clock: 100})
	}
	return h
}

// testEntry returns the registry entry of an endpoint with the number of cores.
func testEntry(id model.EndpointID, cores int64) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Service: testService, Address: string(id), Capacity: model.Resources{model.CPU: 1000 * cores}, Born: 1}
}

// advance moves the holder's clock.
func (h *Holder) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.cell.planner.SetTime(h.now, h.now.UnixMilli())
}

// decideStarts adds a job of one step and passes its starts to the write in flight.
func (h *Holder) decideStarts(id jobs.ID, step jobs.Step) []planner.Start {
	h.cell.planner.AddJob(&jobs.Job{ID: id, Team: "red", Queue: testQueue, Steps: []jobs.Step{step}, Accepted: h.now.UnixMilli()}, nil)
	h.cell.planner.Decide()
	starts := h.cell.planner.TakePlan().Starts
	h.cell.recorder.startsInWrite = append(h.cell.recorder.startsInWrite, starts...)
	return starts
}

// sentStarts returns the runs whose starts have been sent, by endpoint.
func (h *Holder) sentStarts() map[model.EndpointID][]jobs.RunID {
	sent := map[model.EndpointID][]jobs.RunID{}
	for _, p := range h.cell.commands.pending {
		if start := p.command.Start; start != nil {
			sent[start.Target.ID] = append(sent[start.Target.ID], start.Run)
		}
	}
	return sent
}

var _ = Describe("A start that is being recorded while the endpoint's capacity shrinks", func() {
	tasks := func(count int, cores int64) jobs.Step {
		return jobs.Step{Count: count, Size: model.Resources{model.CPU: 1000 * cores}, Estimate: time.Second}
	}

	// A write is retried while the table is unavailable.
	It("is not sent if the endpoint has too little capacity by then", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		starts := h.decideStarts("a", tasks(1, 16))
		Expect(starts).To(HaveLen(1))
		h.applyEntry(testEntry("e", 8))
		recordedMessage{1}.apply(h)
		Expect(h.sentStarts()).To(BeEmpty())
		Expect(h.cell.planner.Live(starts[0].Run)).To(BeFalse(), "the task may start elsewhere")
	})

	It("is sent if the endpoint has enough capacity after all", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		Expect(h.decideStarts("a", tasks(1, 8))).To(HaveLen(1))
		h.applyEntry(testEntry("e", 4))
		h.applyEntry(testEntry("e", 8))
		recordedMessage{1}.apply(h)
		Expect(h.sentStarts()).To(HaveLen(1))
	})

	It("is sent if the endpoint's capacity suffices without the starts after it", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		starts := h.decideStarts("a", tasks(4, 4))
		Expect(starts).To(HaveLen(4))
		h.applyEntry(testEntry("e", 9))
		recordedMessage{1}.apply(h)
		Expect(h.sentStarts()["e"]).To(ConsistOf(starts[0].Run, starts[1].Run))
	})

	It("is not sent to any endpoint if it starts a gang that one endpoint has too little capacity for", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 8), testEntry("f", 8))
		gang := tasks(2, 8)
		gang.Gang = true
		starts := h.decideStarts("a", gang)
		Expect(starts).To(HaveLen(2))
		h.applyEntry(testEntry(starts[1].Endpoint, 4))
		recordedMessage{1}.apply(h)
		Expect(h.sentStarts()).To(BeEmpty())
	})
})

var _ = Describe("A start that is being recorded", func() {
	one := jobs.Step{Count: 1, Size: model.Resources{model.CPU: 1000}, Estimate: time.Second}

	It("is not sent to an endpoint that begins to leave meanwhile", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		Expect(h.decideStarts("a", one)).To(HaveLen(1))
		leaving := testEntry("e", 16)
		leaving.Leaving = true
		h.applyEntry(leaving)
		recordedMessage{1}.apply(h)
		Expect(h.sentStarts()).To(BeEmpty())
	})

	It("is not sent to an endpoint whose failure domain is evacuated meanwhile", func(ctx SpecContext) {
		entry := testEntry("e", 16)
		entry.Domain = "d"
		h := newTestHolder(ctx, entry)
		Expect(h.decideStarts("a", one)).To(HaveLen(1))
		h.cell.planner.SetEvacuated("d", true)
		recordedMessage{1}.apply(h)
		Expect(h.sentStarts()).To(BeEmpty())
	})

	// The size of such a run is not known.
	It("is not sent to an endpoint that lists an unknown run meanwhile", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		Expect(h.decideStarts("a", one)).To(HaveLen(1))
		unknown := jobs.RunID{Task: jobs.TaskID{StepID: jobs.StepID{Job: "gone"}}, Number: 1}
		h.applyListing(h.cell.sessions["e"], h.now, fleet.Listing{Born: 1, Clock: 101, Running: []fleet.RunStatus{{Run: unknown}}})
		recordedMessage{1}.apply(h)
		Expect(h.sentStarts()).To(BeEmpty())
	})

	// The endpoint would refuse it, and the step would ask for another ticket later.
	It("is not sent with a ticket that has expired meanwhile", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		p := h.cell.planner
		p.SetCatalog(&catalog.Catalog{
			Version: 2,
			Queues: map[jobs.QueueName]*catalog.Queue{testQueue: {
				Name: testQueue, Service: testService, Attempts: 3, Stretch: 4, Advice: &catalog.Advice{TicketValidity: time.Second},
			}},
			Services: map[catalog.ServiceName]*catalog.Service{testService: {Name: testService}},
			Teams:    map[model.TeamName]*catalog.Team{"red": {Name: "red", Weight: 100}},
		})
		p.SetAdviceInstances(1)
		p.AddJob(&jobs.Job{ID: "a", Team: "red", Queue: testQueue, Steps: []jobs.Step{one}, Accepted: h.now.UnixMilli()}, nil)
		p.Decide()
		p.ApplyAdvice(p.TakePlan().AdviceRequests[0], map[model.EndpointID]string{"e": "ticket"}, h.now)
		p.Decide()
		h.cell.recorder.startsInWrite = p.TakePlan().Starts
		Expect(h.cell.recorder.startsInWrite).To(HaveLen(1))

		h.now = h.now.Add(time.Second)
		p.SetTime(h.now, h.now.UnixMilli())
		recordedMessage{1}.apply(h)
		Expect(h.sentStarts()).To(BeEmpty())
		p.Decide()
		Expect(p.TakePlan().AdviceRequests).To(HaveLen(1), "a ticket is requested at once")
	})
})

var _ = Describe("The first renewals after a take-over", func() {
	// The registry had not been read, so that the endpoints' domains were not known: the
	// holder of a large cell sent all renewals itself and did nothing else for 1.7 s.
	It("are sent through other instances of the endpoints' domains", func(ctx SpecContext) {
		h := newTestHolder(ctx)
		h.DirectEndpoints = 1
		h.addRoster(roster{Endpoints: []rosterEntry{
			{ID: "e", Address: "10.0.0.1:1", Domain: "d"}, {ID: "f", Address: "10.0.0.2:1", Domain: "d"},
		}})
		h.cell.commands.setInstances([]instances.Instance{{Address: "10.0.1.1:1", Domain: "d", CPUShare: 1}})
		h.cell.commands.updateRoutes(h)
		h.serveSessions()
		Expect(h.cell.commands.pending).To(HaveLen(2))
		for _, p := range h.cell.commands.pending {
			Expect(p.via).NotTo(BeNil())
		}
	})
})

// The holder started the tasks elsewhere at once. The instance that did not respond had the
// starts, and sent them to endpoints that had restarted since.
var _ = Describe("A start that was sent through an instance that does not respond", func() {
	It("counts as lost only when the instance may not send it any more", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16), testEntry("f", 16))
		h.DirectEndpoints = 1
		h.cell.commands.setInstances([]instances.Instance{{Address: "10.0.1.1:1", CPUShare: 1}})
		h.cell.commands.updateRoutes(h)
		starts := h.decideStarts("a", jobs.Step{Count: 1, Size: model.Resources{model.CPU: 1000}, Estimate: time.Second})
		Expect(starts).To(HaveLen(1))
		recordedMessage{1}.apply(h)
		Expect(h.sentStarts()).To(HaveLen(1))
		h.cell.commands.flush(h)

		remoteFailedMessage{epoch: 1, address: "10.0.1.1:1", sent: true, err: eris.New("no reply")}.apply(h)
		p := h.cell.planner
		h.advance(dispatch.SendWindow + dispatch.StartStopTimeout)
		h.cell.commands.expire(h)
		Expect(p.StartPending(starts[0].Run)).To(BeTrue())
		Expect(p.TakePlan().Stops).To(BeEmpty())
		h.advance(remoteAllowance)
		h.cell.commands.expire(h)
		Expect(p.TakePlan().Stops).To(HaveLen(1))
	})
})
