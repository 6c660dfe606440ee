package holder

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// startsBy is the time after the acknowledgement of a job's cancel from which none of its tasks
// may be started.
const startsBy = 3 * time.Second

// listedClock is the endpoint's time in the listing that newTestHolder applies.
const listedClock = fleet.EndpointTime(100)

// renewed sends a renewal to the only endpoint, which executes it and lists nothing with the
// given start and clock. It returns the renewal.
func (h *Holder) renewed(born int64, clock fleet.EndpointTime) fleet.Renewal {
	GinkgoHelper()
	h.serveSessions()
	for id, p := range h.cell.commands.pending {
		if renewal := p.command.Renew; renewal != nil {
			h.cell.commands.handleOutcome(h, dispatch.Outcome{ID: id, Listing: fleet.Listing{Born: born, Clock: clock}})
			return *renewal
		}
	}
	Fail("no renewal was sent")
	return fleet.Renewal{}
}

// startedUntil records the start of a job's task, sends it, and returns its deadline.
func (h *Holder) startedUntil(id jobs.ID) fleet.EndpointTime {
	GinkgoHelper()
	Expect(h.decideStarts(id, jobs.Step{Count: 1, Size: model.Resources{model.CPU: 1000}, Estimate: time.Second})).To(HaveLen(1))
	recordedMessage{1}.apply(h)
	for _, p := range h.cell.commands.pending {
		if start := p.command.Start; start != nil && start.Run.Task.Job == id {
			return start.Until
		}
	}
	Fail("no start was sent")
	return 0
}

// UNASKED: endpoints executed starts until the end of the whole lease, seconds after the holder had
// given them up and their jobs' cancels had been acknowledged.
var _ = Describe("The deadline of a start", func() {
	newRenewedHolder := func(ctx context.Context) (*Holder, *session) {
		h := newTestHolder(ctx, testEntry("e", 16))
		h.renewed(1, listedClock)
		return h, h.cell.sessions["e"]
	}

	It("is nearer than the lease that the endpoint has confirmed, which it does not change", func(ctx SpecContext) {
		h, s := newRenewedHolder(ctx)
		leaseUntil, leaseEndsBy := s.leaseUntil, s.leaseEndsBy
		h.advance(50 * time.Millisecond)
		until := h.startedUntil("a")
		Expect(until).To(Equal(listedClock + fleet.EndpointTime((50*time.Millisecond + startLifetime).Milliseconds())))
		Expect(until).To(BeNumerically("<", leaseUntil))
		Expect(s.leaseUntil).To(Equal(leaseUntil))
		Expect(s.leaseEndsBy).To(Equal(leaseEndsBy))
	})

	It("passes, if the last renewal was answered in time, before a task of a job may no longer start whose cancel the last read of the jobs missed", func(ctx SpecContext) {
		h, s := newRenewedHolder(ctx)
		// The clock has run slow since the oldest reading that a start may rest on.
		const readingAge = listWait + dispatch.ListTimeout + remoteAllowance
		h.advance(readingAge)
		until := h.startedUntil("a")
		passesIn := time.Duration(float64(until-s.clock)*(1+maxClockDrift))*time.Millisecond - readingAge
		Expect(maxJobsAge + passesIn).To(BeNumerically("<", startsBy))
	})

	It("allows for all the time that the start may take to be sent and executed", func(ctx SpecContext) {
		h, s := newRenewedHolder(ctx)
		until := h.startedUntil("a")
		// The endpoint's clock is ahead of the reading by the time that the reading took.
		executedBy := s.clock + fleet.EndpointTime((readingAllowance + dispatch.SendWindow + dispatch.StartStopTimeout).Milliseconds())
		Expect(until).To(BeNumerically(">=", executedBy))
	})

	// A holder that was late to handle the listings would have its starts refused.
	It("allows for the time that the last renewal took", func(ctx SpecContext) {
		h, s := newRenewedHolder(ctx)
		h.serveSessions()
		const late = listWait + dispatch.ListTimeout
		h.advance(late)
		h.renewed(1, listedClock+fleet.EndpointTime(listWait.Milliseconds()))
		until := h.startedUntil("a")
		executedBy := listedClock + fleet.EndpointTime((late + dispatch.SendWindow + dispatch.StartStopTimeout).Milliseconds())
		Expect(until).To(BeNumerically(">=", executedBy))
		Expect(until).To(BeNumerically("<", s.leaseUntil))
	})

	// The run would lapse if the first renewal with a lease were lost.
	It("is the end of a whole lease until the endpoint has confirmed one", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		s := h.cell.sessions["e"]
		until := h.startedUntil("a")
		Expect(until).To(Equal(listedClock + fleet.EndpointTime(leaseTime.Milliseconds())))
		Expect(s.leaseUntil).To(Equal(until))
		Expect(s.leaseEndsBy).To(BeTemporally(">", h.now.Add(leaseTime)))
	})

	It("is the end of a whole lease if the endpoint has responded again with too little left of its lease", func(ctx SpecContext) {
		h, s := newRenewedHolder(ctx)
		s.failures = 1
		h.advance(leaseTime - startLifetime + time.Millisecond)
		renewal := h.renewed(1, listedClock+fleet.EndpointTime((leaseTime-startLifetime).Milliseconds()+1))
		Expect(renewal.Until).To(BeZero())
		Expect(h.startedUntil("a")).To(Equal(s.clock + fleet.EndpointTime(leaseTime.Milliseconds())))
	})

	It("is the end of a whole lease after a restart, also if a renewal of the former incarnation succeeds late", func(ctx SpecContext) {
		h, s := newRenewedHolder(ctx)
		h.advance(50 * time.Millisecond)
		h.serveSessions()
		h.advance(50 * time.Millisecond)
		h.applyEntry(fleet.Endpoint{ID: "e", Service: testService, Address: "e", Capacity: testEntry("e", 16).Capacity, Born: 2})
		h.renewed(1, listedClock+100)
		Expect(s.leaseConfirmed).To(BeZero())
		h.advance(50 * time.Millisecond)
		Expect(h.renewed(2, 5).Until).To(BeZero())
		Expect(h.startedUntil("a")).To(Equal(5 + fleet.EndpointTime(leaseTime.Milliseconds())))
	})

	// The new incarnation grants the longest lease to a start that carries a time of the former clock.
	It("counts as a lease on its way for a new incarnation", func(ctx SpecContext) {
		h, s := newRenewedHolder(ctx)
		h.advance(50 * time.Millisecond)
		h.startedUntil("a")
		Expect(s.leaseArrivesBy).To(BeTemporally(">=", h.now.Add(dispatch.SendWindow+dispatch.StartStopTimeout)))
		sentAt := h.now
		h.advance(50 * time.Millisecond)
		h.applyListing(s, h.now, fleet.Listing{Born: 2, Clock: 5})
		Expect(s.leaseEndsBy).To(BeTemporally(">=", sentAt.Add(h.MaxLease)))
	})
})

// Starts that are sent before that carry the end of the whole lease.
var _ = Describe("The first renewal with a lease", func() {
	It("is answered at once, and later ones wait for an end", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		Expect(h.renewed(1, listedClock).Wait).To(BeZero())
		Expect(h.renewed(1, listedClock).Wait).To(Equal(listWait))
	})
})
