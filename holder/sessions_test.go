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
	// A listing of the previous incarnation that arrives after the restart must
	// not raise lastListedEnd: the new incarnation counts its ends from 1, and
	// those up to that number would be ignored and discarded.
	It("of the previous incarnation that arrives late does not change the new one's ends", func() {
		h := &Holder{now: time.Unix(1000, 0)}
		h.Log = logging.Discard()
		h.cell = &cell{planner: planner.New(1)}
		s := &session{id: "e"}
		first := h.now
		h.applyListing(s, first, fleet.Listing{Born: 1, Clock: 100})

		requestedAt := h.now.Add(time.Second)
		h.now = requestedAt.Add(time.Millisecond)
		s.newIncarnation(2, h.now)
		h.applyListing(s, requestedAt, fleet.Listing{Born: 1, Clock: 200, Ended: []fleet.End{{Number: 57}}})
		Expect(s.startTime).To(BeEquivalentTo(2))
		Expect(s.lastListedEnd).To(BeZero())

		h.applyListing(s, h.now, fleet.Listing{Born: 2, Clock: 5, Ended: []fleet.End{{Number: 1}}})
		Expect(s.lastListedEnd).To(BeEquivalentTo(1))
	})

	It("of a new incarnation with an earlier start time is applied", func() {
		h := &Holder{now: time.Unix(1000, 0)}
		h.Log = logging.Discard()
		h.cell = &cell{planner: planner.New(1)}
		s := &session{id: "e"}
		h.applyListing(s, h.now, fleet.Listing{Born: 9, Clock: 100, Ended: []fleet.End{{Number: 4}}})
		h.now = h.now.Add(time.Second)
		h.applyListing(s, h.now, fleet.Listing{Born: 3, Clock: 5})
		Expect(s.startTime).To(BeEquivalentTo(3))
		Expect(s.lastListedEnd).To(BeZero())
	})
})
