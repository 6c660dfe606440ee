package cancelday_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCancelDay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cancelday")
}
