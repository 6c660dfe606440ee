package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/jobs"
)

var _ = Describe("A start that reached an endpoint's new life before that was known", func() {
	It("is not repeated elsewhere while it runs", func() {
		w := newWorld(1, 2)
		w.submit("a", batch, jobs.Step{Count: 1, Size: size(1000, 100), Estimate: time.Second})
		first := w.plan()
		at := first.Starts[0].Endpoint
		w.start(first)
		reborn := endpointInfo(0)
		reborn.Born = 2
		w.SetEndpoint(reborn)
		Expect(w.plan().Starts).To(BeEmpty(), "it may have been the new life that took it")
		w.list(at, int64(2), running(first.Starts[0].Run, 5))
		Expect(w.plan().Starts).To(BeEmpty())
	})

	It("is repeated when the new life does not list it", func() {
		w := newWorld(1, 2)
		w.submit("a", batch, jobs.Step{Count: 1, Size: size(1000, 100), Estimate: time.Second})
		first := w.plan()
		w.start(first)
		reborn := endpointInfo(0)
		reborn.Born = 2
		w.SetEndpoint(reborn)
		w.plan()
		w.list(first.Starts[0].Endpoint, int64(2))
		Expect(w.plan().Starts).To(HaveLen(1))
	})
})
