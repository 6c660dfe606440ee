package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/planner"
)

var _ = Describe("The runs of a lost endpoint", func() {
	It("are reported once, with those that it had never listed", func() {
		f := newFixture(1, 1)
		f.submit("a", batch, jobs.Step{Count: 2, Size: size(1000, 100), Estimate: time.Second})
		first := f.plan()
		f.StartConfirmed(first.Starts[0].Run)
		f.list("e00", running(first.Starts[0].Run, 5))
		f.StartConfirmed(first.Starts[1].Run)
		f.EndpointLapsed("e00")
		f.EndpointLapsed("e00")
		Expect(f.plan().Losses).To(Equal([]planner.EndpointLoss{{
			Endpoint: "e00", Cause: planner.LossLapse, Runs: 2, Unlisted: 1, Suspects: []jobs.RunID{first.Starts[1].Run},
		}}))
	})
})
