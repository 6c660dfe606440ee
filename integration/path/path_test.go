package path_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
	"github.com/hornbeamworks/hornbeam/result"
)

var _ = Describe("The whole path", func() {
	It("answers every request once and whole", func() {
		c := harness.StartCluster(harness.Small)
		w := c.NewCrowd()
		w.SendMany(60, 20*time.Millisecond, harness.Mixed)
		callers := w.Done()
		c.Judge(callers)
		Expect(w.Count(result.OK)).To(Equal(60))
	})
})
