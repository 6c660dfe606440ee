package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/routing"
)

// lookback is how long after its return a domain's requests are looked up
// elsewhere.
const lookback = time.Hour

var start = time.Unix(1_000_000, 0)

func threeDomains() []model.Domain {
	return []model.Domain{{Name: "a", Shards: 1}, {Name: "b", Shards: 2}, {Name: "c", Shards: 1}}
}

// place returns the placement of the numbered request.
func place(h *routing.Homes, number int, now time.Time) routing.Placement {
	key := model.IdempotencyKey(fmt.Sprintf("key-%d", number))
	placement, err := h.Place("north", key, now, lookback)
	Expect(err).NotTo(HaveOccurred())
	return placement
}

func homeOf(id model.RequestID) model.ShardID {
	home, err := id.Home()
	Expect(err).NotTo(HaveOccurred())
	return home
}

var _ = Describe("Homes", func() {
	const requests = 4000

	It("give the same homes for any order of the domains, and spread requests evenly", func() {
		forwards := threeDomains()
		backwards := []model.Domain{forwards[2], forwards[1], forwards[0]}
		one, other := routing.NewHomes(forwards), routing.NewHomes(backwards)
		counts := map[model.ShardID]int{}
		for i := range requests {
			placement := place(one, i, start)
			Expect(place(other, i, start)).To(Equal(placement))
			Expect(placement.QueryFirst).To(BeEmpty())
			counts[homeOf(placement.Home)]++
		}
		Expect(counts).To(HaveLen(4))
		for shard, n := range counts {
			Expect(n).To(BeNumerically("~", requests/4, requests/10), shard.String())
		}
	})

	It("move only the requests of a domain out of service, and query it first", func() {
		before := routing.NewHomes(threeDomains())
		domains := threeDomains()
		domains[0].Out = true
		after := routing.NewHomes(domains)
		for i := range requests {
			first, now := place(before, i, start), place(after, i, start)
			if homeOf(first.Home).Domain != "a" {
				Expect(now).To(Equal(first))
				continue
			}
			Expect(homeOf(now.Home).Domain).NotTo(Equal(model.DomainName("a")))
			Expect(now.QueryFirst).To(ContainElement(first.Home))
		}
	})

	It("query the other homes for the lookback period after a domain was brought back", func() {
		out := threeDomains()
		out[0].Out = true
		back := threeDomains()
		back[0].BackAt = start
		during, after := routing.NewHomes(out), routing.NewHomes(back)
		for i := range requests {
			moved := place(during, i, start).Home
			returned := place(after, i, start.Add(lookback-1))
			if returned.Home != moved {
				Expect(returned.QueryFirst).To(ContainElement(moved))
			}
			Expect(place(after, i, start.Add(lookback)).QueryFirst).To(BeEmpty())
		}
	})

	It("keep the first choice when every domain is out of service", func() {
		domains := threeDomains()
		before := routing.NewHomes(domains)
		for i := range domains {
			domains[i].Out = true
		}
		after := routing.NewHomes(domains)
		Expect(place(after, 1, start).Home).To(Equal(place(before, 1, start).Home))
	})

	It("report a configuration without domains", func() {
		_, err := routing.NewHomes(nil).Place("north", "k", start, lookback)
		Expect(err).To(MatchError(routing.ErrNoShards))
	})
})

func BenchmarkPlace(b *testing.B) {
	domains := make([]model.Domain, 6)
	for i := range domains {
		domains[i] = model.Domain{Name: model.DomainName(fmt.Sprintf("fd%d", i)), Shards: 4}
	}
	homes := routing.NewHomes(domains)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := homes.Place("north", "formulation-2031", start, lookback); err != nil {
			b.Fatal(err)
		}
	}
}
