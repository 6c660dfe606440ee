package endpointpairs_test

import (
	. "github.com/onsi/ginkgo/v2"

	"github.com/hornbeamworks/hornbeam/integration/harness"
)

var _ = DescribeTable("Overlapping faults of endpoints and holder or store violate no guarantee",
	harness.OverlapFaults,
	Entry("endpoints isolated, then the holder killed", harness.Fault(harness.EndpointsIsolated), harness.Fault(harness.Killed)),
	Entry("replies of endpoints lost, then the holder killed", harness.Fault(harness.EndpointRepliesLost), harness.Fault(harness.Killed)),
	Entry("endpoints isolated, then the store down", harness.Fault(harness.EndpointsIsolated), harness.Fault(harness.StoreDown)),
	Entry("the store down, then the holder paused", harness.Fault(harness.StoreDown), harness.Fault(harness.Paused)),
)
