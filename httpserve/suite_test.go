package httpserve_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHTTPServe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpserve")
}
