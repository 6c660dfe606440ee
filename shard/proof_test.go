package shard_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shard"
)

var _ = Describe("Proof", func() {
	const lease = time.Second
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	DescribeTable("lasts until the later of the table's lease and a majority of the endpoints",
		func(table int, members []model.EndpointID, accepted map[model.EndpointID]int, until int) {
			p := shard.NewProof(lease)
			if table > 0 {
				p.SetTableLease(at(table))
			}
			p.SetMembers(members, nil)
			for id, ms := range accepted {
				p.RecordAcceptance(id, at(ms))
			}
			want := time.Time{}
			if until > 0 {
				want = at(until)
			}
			Expect(p.Until()).To(Equal(want))
		},
		Entry("nothing", 0, nil, nil, 0),
		Entry("the table alone", 700, nil, nil, 700),
		Entry("all of three", 0, []model.EndpointID{"a", "b", "c"}, map[model.EndpointID]int{"a": 10, "b": 20, "c": 30}, 1020),
		Entry("two of three", 0, []model.EndpointID{"a", "b", "c"}, map[model.EndpointID]int{"a": 10, "c": 30}, 1010),
		Entry("one of three", 0, []model.EndpointID{"a", "b", "c"}, map[model.EndpointID]int{"a": 10}, 0),
		Entry("half of four", 0, []model.EndpointID{"a", "b", "c", "d"}, map[model.EndpointID]int{"a": 10, "b": 10}, 0),
		Entry("three of four", 0, []model.EndpointID{"a", "b", "c", "d"}, map[model.EndpointID]int{"a": 10, "b": 30, "c": 20}, 1010),
		Entry("one that is not a member", 0, []model.EndpointID{"a"}, map[model.EndpointID]int{"z": 10}, 0),
		Entry("the later of both", 2000, []model.EndpointID{"a"}, map[model.EndpointID]int{"a": 10}, 2000),
	)

	It("needs a majority of both the recorded and the proposed set while a change is not durable", func() {
		p := shard.NewProof(lease)
		p.SetMembers([]model.EndpointID{"a"}, []model.EndpointID{"a", "b", "c"})
		p.RecordAcceptance("a", at(10))
		Expect(p.Until()).To(BeZero())
		p.RecordAcceptance("b", at(5))
		Expect(p.Until()).To(Equal(at(1005)))
	})
})

var _ = Describe("OfEndpoint", func() {
	It("spreads endpoints over the shards and moves few when a shard is added", func() {
		const endpoints, shards = 1000, 4
		counts, moved := map[int]int{}, 0
		for i := range endpoints {
			name := model.EndpointID(time.Duration(i).String())
			before := shard.OfEndpoint("a", shards, name)
			counts[before.Number]++
			if shard.OfEndpoint("a", shards+1, name) != before {
				moved++
			}
		}
		for number := range shards {
			Expect(counts[number]).To(BeNumerically(">", endpoints/shards/2))
		}
		Expect(moved).To(BeNumerically("<", endpoints*2/(shards+1)))
	})
})
