package faultproxy_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFaultproxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultproxy")
}
