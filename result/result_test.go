package result_test

import (
	"fmt"
	"os"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// page is the documentation page that lists the result codes.
const page = "../docs/RESULTS.md"

// rows returns the table rows of the page that start with a code.
func rows() []string {
	raw, err := os.ReadFile(page)
	Expect(err).NotTo(HaveOccurred())
	var found []string
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

var _ = Describe("Table", func() {
	It("equals the table of docs/RESULTS.md", func() {
		var want []string
		for _, e := range result.Table {
			want = append(want, fmt.Sprintf("| %d | `%s` | %s | %s |", e.Code, e.Name, e.Ran, e.Meaning))
		}
		Expect(rows()).To(Equal(want))
	})

	It("is sorted by code and has unique names", func() {
		names := map[string]bool{}
		Expect(slices.IsSortedFunc(result.Table, func(a, b result.Entry) int { return int(a.Code - b.Code) })).To(BeTrue())
		for _, e := range result.Table {
			Expect(names[e.Name]).To(BeFalse(), e.Name)
			names[e.Name] = true
			Expect(e.Code.String()).To(Equal(e.Name))
		}
	})
})

var _ = Describe("Of", func() {
	It("returns the code of a wrapped error", func() {
		err := eris.Wrap(result.Errorf(result.QueueFull, "%d are queued", 9), "submitting")
		Expect(result.Of(err)).To(Equal(&result.Error{Code: result.QueueFull, Reason: "9 are queued"}))
	})

	It("returns OutcomeUnknown for an error without a code", func() {
		Expect(result.Of(eris.New("broken")).Code).To(Equal(result.OutcomeUnknown))
		Expect(result.Lookup(0).Ran).To(Equal(model.Unknown))
	})
})
