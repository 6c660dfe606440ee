package cut_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/faultproxy"
	"github.com/hornbeamworks/hornbeam/integration/harness"
)

// partitionTime is longer than every lease of the system.
const partitionTime = 10 * time.Second

var _ = DescribeTable("A failure domain",
	func(platform, peers bool) {
		c := harness.StartCluster(harness.Pair)
		load := c.NewCallers()
		load.SendMany(50, 20*time.Millisecond, harness.Alternating)
		if platform {
			c.Domains[0].Platform.Set(faultproxy.Partition())
		}
		if peers {
			c.SetLinks(0, 1, faultproxy.Partition())
			c.SetLinks(1, 0, faultproxy.Partition())
		}
		partitioned := time.Now()
		load.SendFor(partitionTime, 50*time.Millisecond, func(i int) harness.Job { return harness.Alternating(100 + i) })
		inside, outside := c.StartsSince(partitioned)
		c.Domains[0].Platform.Set(faultproxy.Faults{})
		c.SetLinks(0, 1, faultproxy.Faults{})
		c.SetLinks(1, 0, faultproxy.Faults{})
		healed := time.Now()
		load.SendMany(100, 20*time.Millisecond, func(i int) harness.Job { return harness.Alternating(1000 + i) })
		callers := load.Done()
		AddReportEntry("starts inside and outside the isolated domain during the partition", []int{inside, outside})
		c.Audit(callers)
		Expect(inside).To(BeNumerically(">", 0), "the isolated domain continues")
		Expect(outside).To(BeNumerically(">", 0), "the other domains continue")
		after, _ := c.StartsSince(healed)
		Expect(after).To(BeNumerically(">", 0), "the domain starts work after the partition")
	},
	Entry("isolated from the platform continues and recovers", true, false),
	Entry("isolated from its peers continues and recovers", false, true),
	Entry("isolated from both continues and recovers", true, true),
)
