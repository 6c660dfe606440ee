package ring_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ring")
}
