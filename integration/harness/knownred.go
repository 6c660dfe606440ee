package harness

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const (
	// knownRedFile lists, at the root of the module, the tests that fail for a
	// known fault.
	knownRedFile = "KNOWN-RED.txt"
	// knownRedTest begins the line of an entry that names the test.
	knownRedTest = "test: "
	// runKnownRed is the environment variable that runs the listed tests too.
	runKnownRed = "HORNBEAM_KNOWN_RED"
)

// PassOverKnownRed skips the running test when it is listed in KNOWN-RED.txt,
// and prints its entry. With HORNBEAM_KNOWN_RED=run it runs like any other.
func PassOverKnownRed() {
	entry := knownRed(ginkgo.CurrentSpecReport().FullText())
	if entry != "" && os.Getenv(runKnownRed) != "run" {
		ginkgo.Skip("known red\n" + entry)
	}
}

// knownRed returns the entry of the test, empty when there is none. Entries are
// parted by empty lines.
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

// moduleRoot returns the directory above the test's that holds go.mod.
func moduleRoot() string {
	dir, err := os.Getwd()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		gomega.Expect(filepath.Dir(dir)).NotTo(gomega.Equal(dir), "no go.mod above the test")
		dir = filepath.Dir(dir)
	}
}
