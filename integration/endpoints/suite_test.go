package endpoints_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
)

func TestEndpoints(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "endpoints")
}

var _ = BeforeSuite(harness.Build)

var _ = BeforeEach(harness.SkipKnownRed)
