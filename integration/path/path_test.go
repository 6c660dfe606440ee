package path_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
	"github.com/hornbeamworks/hornbeam/result"
)

var _ = Describe("The path from submission to answer", func() {
	It("gives every request a single complete answer", func() {
		c := harness.StartCluster(harness.Small)
		load := c.NewCallers()
		load.SendMany(60, 20*time.Millisecond, harness.Mixed)
		callers := load.Done()
		c.Audit(callers)
		Expect(load.Count(result.OK)).To(Equal(60))
	})
})
