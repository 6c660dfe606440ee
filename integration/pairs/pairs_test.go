package pairs_test

import (
	. "github.com/onsi/ginkgo/v2"

	"github.com/hornbeamworks/hornbeam/integration/harness"
)

var _ = DescribeTable("Overlapping faults of holder and store violate no guarantee",
	harness.OverlapFaults,
	Entry("a holder killed, then the store down", harness.Fault(harness.Killed), harness.Fault(harness.StoreDown)),
	Entry("a holder paused, then the next holder killed", harness.Fault(harness.Paused), harness.Fault(harness.Killed)),
	Entry("the store down, then the holder killed", harness.Fault(harness.StoreDown), harness.Fault(harness.Killed)),
	Entry("replies of commits lost, then the holder paused", harness.Fault(harness.RepliesLost), harness.Fault(harness.Paused)),
)
