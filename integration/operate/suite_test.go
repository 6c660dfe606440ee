package operate_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
)

func TestOperate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operate")
}

var _ = BeforeSuite(harness.Build)

var _ = BeforeEach(harness.SkipKnownRed)
