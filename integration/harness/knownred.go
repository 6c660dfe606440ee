package harness

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const (
	// knownRedFile lists the tests that fail because of a known fault. It is at the
	// root of the module.
	knownRedFile = "KNOWN-RED.txt"
	// knownRedTest is the prefix of the line that names the test of an entry.
	knownRedTest = "test: "
	// runKnownRed is the environment variable that enables the listed tests.
	runKnownRed = "HORNBEAM_KNOWN_RED"
)

// SkipKnownRed skips the current test and prints its entry when it is listed in
// KNOWN-RED.txt. With HORNBEAM_KNOWN_RED=run it skips none.
func SkipKnownRed() {
	entry := knownRed(ginkgo.CurrentSpecReport().FullText())
	if entry != "" && os.Getenv(runKnownRed) != "run" {
		ginkgo.Skip("known red\n" + entry)
	}
}

// knownRed returns the entry of the test; empty when there is none. Entries are
// separated by empty lines.
func knownRed(test string) string {
	raw, err := os.ReadFile(filepath.Join(moduleRoot(), knownRedFile))
	if os.IsNotExist(err) {
		return ""
	}
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, entry := range strings.Split(string(raw), "\n\n") {
		first, _, _ := strings.Cut(strings.TrimSpace(entry), "\n")
		if first == knownRedTest+test {
			return entry
		}
	}
	return ""
}

// moduleRoot returns the closest directory with a go.mod at or above the test's.
func moduleRoot() string {
	dir, err := os.Getwd()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		gomega.Expect(filepath.Dir(dir)).NotTo(gomega.Equal(dir), "no go.mod in or above the test's directory")
		dir = filepath.Dir(dir)
	}
}
