package peerrpc_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPeerrpc(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peerrpc")
}
