// Package harness starts the real binaries, built with the race detector, for the
// integration tests. All traffic that leaves a failure domain passes through a
// fault-injecting proxy, and package audit checks the records of each run. Failures
// of the harness fail the running test.
package harness

import (
	"os"
	"os/exec"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// WaitTimeout bounds every wait for a condition. It is reached only when a test
// fails.
const WaitTimeout = 45 * time.Second

// Seed seeds all injected faults and all generated load.
const Seed = 11

// binaries is the directory of the built binaries.
var binaries string

// Measuring reports whether costs are measured. The binaries are then built without
// the race detector, which would multiply the costs.
func Measuring() bool { return os.Getenv("HORNBEAM_MEASURE") != "" }

// Build builds the binaries. Each suite calls it before its tests.
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
