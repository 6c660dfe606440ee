package holder

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

var _ = Describe("The recorder", func() {
	// The jobs with changes were written in the order of their IDs. While the table was slow,
	// those with high IDs were not written, and none of their tasks was started.
	It("writes the jobs first that have waited longest", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		r := h.cell.recorder
		r.changed, r.order, r.runningRecorded = map[jobs.ID]bool{}, map[jobs.ID]uint64{}, map[jobs.ID]bool{}
		change := func(prefix string) {
			for i := range 120 {
				id := jobs.ID(fmt.Sprintf("%s%03d", prefix, i))
				h.cell.planner.AddJob(&jobs.Job{ID: id, Team: "red", Queue: testQueue, Steps: []jobs.Step{{Count: 1, Size: model.Resources{model.CPU: 1}}}}, nil)
				r.changed[id] = true
			}
		}
		change("z")
		written := len(r.collect(h))
		Expect(written).To(BeNumerically("<", maxRecordEntries))
		Expect(r.changed).NotTo(BeEmpty())
		change("a")
		r.collect(h)
		for id := range r.changed {
			Expect(strings.HasPrefix(string(id), "a")).To(BeTrue(), string(id))
		}
	})
})
