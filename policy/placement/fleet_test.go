package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/placement"
)

var _ = Describe("Fleet", func() {
	var fleet placement.Fleet
	small := model.Resources{4000, 8192, 0, 4, 8}
	large := model.Resources{16000, 65536, 2, 8, 64}
	BeforeEach(func() {
		fleet.Set([]model.EndpointInfo{
			{ID: "a", Domain: "west", Capacity: small},
			{ID: "b", Domain: "west", Capacity: large},
			{ID: "c", Domain: "east", Capacity: large},
		})
	})

	DescribeTable("reports whether a single domain could hold the tasks at the same time",
		func(size model.Resources, count int, holds bool) {
			Expect(fleet.Holds(size, count)).To(Equal(holds))
		},
		Entry("a task that fits an endpoint", model.Resources{16000, 1, 0, 1, 0}, 1, true),
		Entry("a task that fits no endpoint", model.Resources{16001, 1, 0, 1, 0}, 1, false),
		Entry("a gang that fits one domain", model.Resources{4000, 8192, 0, 1, 0}, 5, true),
		Entry("a gang that needs two domains", model.Resources{4000, 8192, 0, 1, 0}, 6, false),
	)

	It("limits a size to the capacity of an endpoint that can hold the declared size", func() {
		declared := model.Resources{1000, 1024, 1, 1, 0}
		Expect(fleet.Clamp(model.Resources{99000, 2048, 1, 1, 0}, declared)).
			To(Equal(model.Resources{16000, 2048, 1, 1, 0}))
	})
})
