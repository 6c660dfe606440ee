package sched_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSched(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sched")
}
