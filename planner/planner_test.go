package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

var single = jobs.Step{Count: 1, Size: size(2000, 1024), Estimate: time.Second}

var _ = Describe("A job", func() {
	It("is complete once all its tasks have succeeded", func() {
		w := newWorld(1, 1)
		w.submit("a", batch, jobs.Step{Count: 2, Size: size(1000, 100), Estimate: time.Second})
		plan := w.plan()
		Expect(plan.Starts).To(HaveLen(2))
		w.start(plan)
		w.list("e00", ended(plan.Starts[0].Run, fleet.Succeeded), running(plan.Starts[1].Run, 40))
		Expect(w.plan().Outcomes).To(BeEmpty())
		w.list("e00", ended(plan.Starts[1].Run, fleet.Succeeded))
		last := w.plan()
		Expect(last.Outcomes).To(HaveLen(1))
		Expect(last.Outcomes[0].State).To(Equal(jobs.Completed))
		Expect(last.Removed).To(ConsistOf(jobs.ID("a")))
	})

	It("runs a step only after the steps that it waits for", func() {
		w := newWorld(1, 1)
		job := &jobs.Job{ID: "a", Team: "red", Queue: batch, Accepted: w.now.UnixMilli(), Steps: []jobs.Step{
			single, {Count: 1, Size: size(1000, 100), After: []int{0}},
		}}
		w.AddJob(job, nil)
		first := w.plan()
		Expect(first.Starts).To(HaveLen(1))
		Expect(first.Starts[0].Run.Task.Step).To(Equal(0))
		w.start(first)
		Expect(w.plan().Starts).To(BeEmpty())
		w.list("e00", ended(first.Starts[0].Run, fleet.Succeeded))
		second := w.plan()
		Expect(second.Starts).To(HaveLen(1))
		Expect(second.Starts[0].Run.Task.Step).To(Equal(1))
	})

	It("fails when a task has failed as often as its queue allows, and counts each run once", func() {
		w := newWorld(1, 3)
		w.submit("a", batch, single)
		for range 2 {
			plan := w.plan()
			Expect(plan.Starts).To(HaveLen(1))
			w.start(plan)
			end := ended(plan.Starts[0].Run, fleet.RunFailed)
			w.list(plan.Starts[0].Endpoint, end)
			w.list(plan.Starts[0].Endpoint, end)
			Expect(w.State("a")).To(Equal(jobs.Running))
		}
		plan := w.plan()
		w.start(plan)
		w.list(plan.Starts[0].Endpoint, ended(plan.Starts[0].Run, fleet.RunFailed))
		Expect(w.plan().Outcomes[0].State).To(Equal(jobs.Failed))
	})

	It("starts nothing more once it is cancelled, and is forgotten when its runs have ended", func() {
		w := newWorld(1, 1)
		w.submit("a", batch, jobs.Step{Count: 9, Size: size(4000, 100), Estimate: time.Second})
		plan := w.plan()
		Expect(plan.Starts).To(HaveLen(4))
		w.start(plan)
		w.CancelJob("a")
		after := w.plan()
		Expect(after.Starts).To(BeEmpty())
		Expect(after.Stops).To(HaveLen(4))
		Expect(after.Outcomes[0].State).To(Equal(jobs.Cancelled))
		Expect(after.Removed).To(BeEmpty())
		for _, s := range plan.Starts {
			w.list("e00", ended(s.Run, fleet.Stopped))
		}
		Expect(w.plan().Removed).To(HaveLen(1))
	})

	It("opens each occurrence when it is due, and not before", func() {
		w := newWorld(1, 1)
		job := &jobs.Job{
			ID: "a", Team: "red", Queue: batch, Accepted: w.now.UnixMilli(), Steps: []jobs.Step{single},
			Occurrences: 2, First: w.now.Add(time.Second).UnixMilli(), Interval: time.Second,
		}
		w.AddJob(job, nil)
		Expect(w.plan().Starts).To(BeEmpty())
		w.tick(time.Second)
		Expect(w.plan().Starts).To(HaveLen(1))
		w.tick(time.Second)
		second := w.plan()
		Expect(second.Starts).To(HaveLen(1))
		Expect(second.Starts[0].Run.Task.Occurrence).To(Equal(1))
	})
})

var _ = Describe("Capacity and limits", func() {
	It("counts what is being stopped as taken until its end is listed", func() {
		w := newWorld(1, 1)
		w.submit("a", batch, jobs.Step{Count: 1, Size: size(16000, 100), Estimate: time.Second})
		first := w.plan()
		w.start(first)
		w.CancelJob("a")
		w.plan()
		w.submit("b", batch, jobs.Step{Count: 1, Size: size(16000, 100), Estimate: time.Second})
		Expect(w.plan().Starts).To(BeEmpty())
		w.StopConfirmed(first.Starts[0].Run)
		Expect(w.plan().Starts).To(BeEmpty())
		w.list("e00", ended(first.Starts[0].Run, fleet.Stopped))
		Expect(w.plan().Starts).To(HaveLen(1))
	})

	It("keeps a team within its limit", func() {
		w := newWorld(1, 2)
		limited := *w.catalog
		limited.Teams = map[model.TeamName]*catalog.Team{"red": {Name: "red", Limit: size(5000, 0)}}
		limited.Version = 2
		w.SetCatalog(&limited)
		w.submit("a", batch, jobs.Step{Count: 9, Size: size(2000, 100), Estimate: time.Second})
		Expect(w.plan().Starts).To(HaveLen(2))
	})

	It("starts nothing on an endpoint that leaves, is silent, or whose domain is taken out", func() {
		w := newWorld(1, 3)
		leaving := endpointInfo(0)
		leaving.Leaving = true
		w.SetEndpoint(leaving)
		w.Silent("e01")
		w.SetEvacuated("d2", true)
		w.submit("a", batch, single)
		Expect(w.plan().Starts).To(BeEmpty())
		w.SetEvacuated("d2", false)
		Expect(w.plan().Starts).To(HaveLen(1))
	})

	It("starts nothing on an endpoint that runs something of unknown size", func() {
		w := newWorld(1, 1)
		stranger := jobs.RunID{Task: jobs.TaskID{StepID: jobs.StepID{Job: "x"}}, Number: 1}
		Expect(w.list("e00", running(stranger, 10))).To(ConsistOf(stranger))
		w.submit("a", batch, single)
		Expect(w.plan().Starts).To(BeEmpty())
		w.list("e00")
		Expect(w.plan().Starts).To(HaveLen(1))
	})

	It("spreads the tasks of a step as far as it asks for", func() {
		w := newWorld(1, 2)
		w.submit("a", batch, jobs.Step{Count: 4, Size: size(1000, 100), MaxPerEndpoint: 1, Estimate: time.Second})
		plan := w.plan()
		Expect(plan.Starts).To(HaveLen(2))
		Expect(plan.Starts[0].Endpoint).NotTo(Equal(plan.Starts[1].Endpoint))
	})
})

var _ = Describe("A start without an answer", func() {
	It("is settled by a stop before the task is tried again", func() {
		w := newWorld(1, 2)
		w.submit("a", batch, single)
		first := w.plan().Starts[0]
		w.Unanswered(first.Run)
		plan := w.plan()
		Expect(plan.Starts).To(BeEmpty())
		Expect(plan.Stops).To(HaveLen(1))
		w.StopConfirmed(first.Run)
		Expect(w.plan().Starts).To(BeEmpty(), "the run may have been under way when the stop came")
		w.list(first.Endpoint)
		again := w.plan()
		Expect(again.Starts).To(HaveLen(1))
		Expect(again.Starts[0].Run.Number).To(BeNumerically(">", first.Run.Number))
	})

	It("keeps further starts from its endpoint for a while", func() {
		w := newWorld(1, 1)
		w.submit("a", batch, single)
		w.Unanswered(w.plan().Starts[0].Run)
		w.submit("b", batch, single)
		Expect(w.plan().Starts).To(BeEmpty())
	})

	It("is stopped at a new life of the endpoint, which may still carry it out", func() {
		w := newWorld(1, 1)
		w.submit("a", batch, single)
		first := w.plan().Starts[0]
		w.list("e00", int64(2))
		plan := w.plan()
		Expect(plan.Starts).To(BeEmpty())
		Expect(plan.Stops).To(HaveLen(1))
		w.StopConfirmed(first.Run)
		w.list("e00", int64(2))
		Expect(w.plan().Starts).To(HaveLen(1))
	})
})

var _ = Describe("A lost endpoint", func() {
	It("holds its runs until its lease has ended for certain", func() {
		w := newWorld(1, 2)
		w.submit("a", batch, single)
		first := w.plan()
		w.start(first)
		w.Silent(first.Starts[0].Endpoint)
		Expect(w.plan().Starts).To(BeEmpty())
		w.Lapsed(first.Starts[0].Endpoint)
		Expect(w.plan().Starts).To(HaveLen(1))
	})

	It("gives back its runs at once when it has started anew", func() {
		w := newWorld(1, 1)
		w.submit("a", batch, single)
		w.start(w.plan())
		w.list("e00", int64(2))
		Expect(w.plan().Starts).To(HaveLen(1))
	})

	It("is given no more work after several tasks in a row have failed there", func() {
		w := newWorld(1, 1)
		for _, id := range []jobs.ID{"a", "b", "c"} {
			w.submit(id, batch, single)
			plan := w.plan()
			w.start(plan)
			w.list("e00", ended(plan.Starts[0].Run, fleet.RunFailed))
			w.CancelJob(id)
		}
		w.submit("d", batch, single)
		Expect(w.plan().Starts).To(BeEmpty())
		w.tick(3 * time.Second)
		Expect(w.plan().Starts).To(HaveLen(1))
	})

	It("loses a run that shows no progress", func() {
		w := newWorld(1, 1)
		w.submit("a", batch, single)
		first := w.plan()
		w.start(first)
		for range 4 {
			w.tick(time.Second)
			w.list("e00", running(first.Starts[0].Run, 7))
		}
		Expect(w.plan().Stops).To(HaveLen(1))
	})
})

var _ = Describe("A gang", func() {
	gang := jobs.Step{Count: 4, Size: size(8000, 100), Gang: true, Estimate: time.Second}

	It("is placed whole or not at all, under one run number", func() {
		w := newWorld(1, 2)
		w.submit("small", batch, jobs.Step{Count: 1, Size: size(2000, 100), Estimate: time.Minute})
		w.start(w.plan())
		w.submit("a", gangs, gang)
		Expect(w.plan().Starts).To(BeEmpty())
		w.SetEndpoint(endpointInfo(2))
		w.list("e02")
		plan := w.plan()
		Expect(plan.Starts).To(HaveLen(4))
		for _, s := range plan.Starts {
			Expect(s.Run.Number).To(Equal(plan.Starts[0].Run.Number))
		}
	})

	It("is stopped as a whole when the start of one member is refused", func() {
		w := newWorld(1, 2)
		w.submit("a", gangs, gang)
		plan := w.plan()
		for _, s := range plan.Starts[1:] {
			w.Started(s.Run)
		}
		w.Refused(plan.Starts[0].Run, fleet.ErrTicket)
		Expect(w.plan().Stops).To(HaveLen(3))
	})

	It("is left alone while one member still moves, though others wait at their end", func() {
		w := newWorld(1, 2)
		w.submit("a", gangs, gang)
		plan := w.plan()
		w.start(plan)
		for second := range 6 {
			w.tick(time.Second)
			listings := map[model.EndpointID][]any{}
			for i, s := range plan.Starts {
				percent := 99.0
				if i == 0 {
					percent = float64(10 * second)
				}
				listings[s.Endpoint] = append(listings[s.Endpoint], running(s.Run, percent))
			}
			for id, l := range listings {
				w.list(id, l...)
			}
			Expect(w.plan().Stops).To(BeEmpty())
		}
	})

	It("is done with the end of one member", func() {
		w := newWorld(1, 2)
		w.submit("a", gangs, gang)
		plan := w.plan()
		w.start(plan)
		w.list(plan.Starts[0].Endpoint, ended(plan.Starts[0].Run, fleet.Succeeded))
		Expect(w.plan().Outcomes[0].State).To(Equal(jobs.Completed))
	})

	It("waits for all members of its last run to end, also on a lost endpoint", func() {
		w := newWorld(1, 4)
		w.submit("a", gangs, gang)
		plan := w.plan()
		w.start(plan)
		lost := plan.Starts[3].Endpoint
		w.Silent(lost)
		byEndpoint := map[model.EndpointID][]any{}
		for _, s := range plan.Starts {
			if s.Endpoint != lost {
				byEndpoint[s.Endpoint] = append(byEndpoint[s.Endpoint], ended(s.Run, fleet.Broken))
			}
		}
		for id, ends := range byEndpoint {
			w.list(id, ends...)
		}
		Expect(w.plan().Starts).To(BeEmpty())
		waiting := w.LongestWaiting(1)
		Expect(waiting).To(HaveLen(1))
		Expect(waiting[0].Reason).To(ContainSubstring("members of its last run"))
		w.Lapsed(lost)
		Expect(w.plan().Starts).To(HaveLen(4))
	})
})

var _ = Describe("Urgent work", func() {
	It("stops work of later priorities when nothing is free", func() {
		w := newWorld(1, 1)
		w.submit("a", batch, jobs.Step{Count: 4, Size: size(4000, 100), Checkpoints: true, Estimate: time.Minute})
		first := w.plan()
		w.start(first)
		w.tick(300 * time.Millisecond)
		w.submit("b", urgent, single)
		w.plan()
		w.tick(200 * time.Millisecond)
		plan := w.plan()
		Expect(plan.Stops).To(HaveLen(1))
		Expect(plan.Starts).To(BeEmpty())
		listing := []any{ended(plan.Stops[0].Run, fleet.Stopped)}
		for _, s := range first.Starts {
			if s.Run != plan.Stops[0].Run {
				listing = append(listing, running(s.Run, 1))
			}
		}
		w.list("e00", listing...)
		next := w.plan()
		Expect(next.Starts).To(HaveLen(1))
		Expect(next.Starts[0].Run.Task.Job).To(Equal(jobs.ID("b")))
	})

	It("comes before what its team sends beyond its weight", func() {
		w := newWorld(1, 1)
		limited := *w.catalog
		limited.Version = 2
		limited.Teams = map[model.TeamName]*catalog.Team{"red": {Name: "red", Weight: 1}, "blue": {Name: "blue", Weight: 1}}
		w.SetCatalog(&limited)
		full := jobs.Step{Count: 1, Size: size(16000, 100), Estimate: time.Second}
		for _, id := range []jobs.ID{"a", "b", "c", "d"} {
			w.submit(id, urgent, full)
		}
		w.AddJob(&jobs.Job{ID: "z", Team: "blue", Queue: batch, Steps: []jobs.Step{full}, Accepted: w.now.UnixMilli()}, nil)
		var order []jobs.ID
		for range 5 {
			plan := w.plan()
			Expect(plan.Starts).To(HaveLen(1))
			order = append(order, plan.Starts[0].Run.Task.Job)
			w.start(plan)
			w.list("e00", ended(plan.Starts[0].Run, fleet.Succeeded))
		}
		Expect(order).To(Equal([]jobs.ID{"a", "b", "c", "z", "d"}))
	})
})
