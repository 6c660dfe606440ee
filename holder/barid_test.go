package holder_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/jobs"
)

// A bar in another part would make each acceptance a transaction of two parts, and the pruner
// would look for it elsewhere.
var _ = Describe("The bars of a job", func() {
	It("are in its part, whoever their owner is", func() {
		for i := range 200 {
			id := jobs.ID(fmt.Sprintf("%016x", i))
			Expect(holder.Parts(48).Of(holder.BarID(id, "t", "q"))).To(Equal(holder.Parts(48).Of(id)))
		}
	})
})
