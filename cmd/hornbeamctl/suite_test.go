package main

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHornbeamctl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hornbeamctl")
}
