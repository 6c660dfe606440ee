package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/jobs"
)

var _ = Describe("A start that reached an endpoint's new incarnation before the restart was observed", func() {
	It("is not repeated elsewhere while it runs", func() {
		f := newFixture(1, 2)
		f.submit("a", batch, jobs.Step{Count: 1, Size: size(1000, 100), Estimate: time.Second})
		first := f.plan()
		at := first.Starts[0].Endpoint
		f.start(first)
		restarted := endpointInfo(0)
		restarted.Born = 2
		f.SetEndpoint(restarted)
		Expect(f.plan().Starts).To(BeEmpty(), "the new incarnation may have accepted it")
		f.list(at, int64(2), running(first.Starts[0].Run, 5))
		Expect(f.plan().Starts).To(BeEmpty())
	})

	It("is repeated when the new incarnation does not list it", func() {
		f := newFixture(1, 2)
		f.submit("a", batch, jobs.Step{Count: 1, Size: size(1000, 100), Estimate: time.Second})
		first := f.plan()
		f.start(first)
		restarted := endpointInfo(0)
		restarted.Born = 2
		f.SetEndpoint(restarted)
		f.plan()
		f.list(first.Starts[0].Endpoint, int64(2))
		Expect(f.plan().Starts).To(HaveLen(1))
	})
})
