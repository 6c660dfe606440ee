package holder

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/planner"
)

var _ = Describe("An endpoint's listing", func() {
	It("of a former life that comes late does not count its ends for the new one", func() {
		h := &Holder{now: time.Unix(1000, 0)}
		h.Log = logging.Discard()
		h.cell = &cell{planner: planner.New(1)}
		l := &link{id: "e"}
		first := h.now
		h.takeListing(l, first, fleet.Listing{Born: 1, Clock: 100})

		asked := h.now.Add(time.Second)
		h.now = asked.Add(time.Millisecond)
		l.newLife(2, h.now)
		h.takeListing(l, asked, fleet.Listing{Born: 1, Clock: 200, Ended: []fleet.End{{Number: 57}}})
		Expect(l.born).To(BeEquivalentTo(2))
		Expect(l.seen).To(BeZero())

		h.takeListing(l, h.now, fleet.Listing{Born: 2, Clock: 5, Ended: []fleet.End{{Number: 1}}})
		Expect(l.seen).To(BeEquivalentTo(1))
	})

	It("of a new life whose clock says an earlier start is followed", func() {
		h := &Holder{now: time.Unix(1000, 0)}
		h.Log = logging.Discard()
		h.cell = &cell{planner: planner.New(1)}
		l := &link{id: "e"}
		h.takeListing(l, h.now, fleet.Listing{Born: 9, Clock: 100, Ended: []fleet.End{{Number: 4}}})
		h.now = h.now.Add(time.Second)
		h.takeListing(l, h.now, fleet.Listing{Born: 3, Clock: 5})
		Expect(l.born).To(BeEquivalentTo(3))
		Expect(l.seen).To(BeZero())
	})
})
