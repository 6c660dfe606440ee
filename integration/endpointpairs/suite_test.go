package endpointpairs_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
)

func TestEndpointPairs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "endpointpairs")
}

var _ = BeforeSuite(harness.Build)

var _ = BeforeEach(harness.SkipKnownRed)
