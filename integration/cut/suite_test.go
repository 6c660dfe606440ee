package cut_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
)

func TestCut(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cut")
}

var _ = BeforeSuite(harness.Build)

var _ = BeforeEach(harness.SkipKnownRed)
