package planner_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// resize registers another capacity for the i-th endpoint.
func (f *fixture) resize(i int, capacity model.Resources) {
	entry := endpointInfo(i)
	entry.Capacity = capacity
	f.SetEndpoint(entry)
}

var _ = Describe("An endpoint whose capacity changes while it runs", func() {
	// The capacity of an entry with a number that no int64 represents depends on the
	// processor: it may be the smallest or the largest int64.
	It("gets no starts beyond what it had when its entry has the smallest int64", func() {
		f := newFixture(1, 1)
		f.submit("a", batch, jobs.Step{Count: 1, Size: size(4000, 100), Estimate: time.Second})
		f.start(f.plan())
		f.resize(0, model.Resources{model.CPU: math.MinInt64, model.Memory: math.MinInt64})
		f.submit("b", batch, jobs.Step{Count: 1, Size: size(4000, 100), Estimate: time.Second})
		Expect(f.plan().Starts).To(BeEmpty())

		f.resize(0, size(16000, 65536))
		Expect(f.plan().Starts).To(HaveLen(1))
	})

	It("gets starts again after its entry had the largest int64", func() {
		f := newFixture(1, 1)
		f.submit("a", batch, jobs.Step{Count: 1, Size: size(4000, 100), Estimate: time.Second})
		f.start(f.plan())
		f.resize(0, model.Resources{model.CPU: math.MaxInt64, model.Memory: math.MaxInt64})
		f.resize(0, size(16000, 65536))
		f.submit("b", batch, jobs.Step{Count: 4, Size: size(4000, 100), Estimate: time.Second})
		Expect(f.plan().Starts).To(HaveLen(3))
	})
})
