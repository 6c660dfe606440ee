// Package harness runs the real binaries, built with the race detector, for
// the integration tests. Everything that leaves a failure domain passes a
// fault-injecting proxy, and each run is judged by package audit. It reports
// what goes wrong to the running test.
package harness

import (
	"os"
	"os/exec"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Patience is reached only by a failure.
const Patience = 45 * time.Second

// Seed is the seed of every fault and load.
const Seed = 11

// binaries is the directory of the built binaries.
var binaries string

// Measuring reports whether costs are measured, which the race detector would
// multiply.
func Measuring() bool { return os.Getenv("HORNBEAM_MEASURE") != "" }

// Build builds the binaries. Every suite calls it before its tests.
func Build() {
	var err error
	binaries, err = os.MkdirTemp("", "hornbeam-integration-")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(os.RemoveAll, binaries)
	args := []string{"build", "-race", "-o", binaries, "github.com/hornbeamworks/hornbeam/cmd/..."}
	if Measuring() {
		args = slices.Delete(args, 1, 2)
	}
	build := exec.Command("go", args...)
	out, err := build.CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
}
