package deployment_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/deployment"
	"github.com/hornbeamworks/hornbeam/model"
)

var _ = DescribeTable("The deployments in deploy/ have the described size",
	func(file string, domains, entries, rackSize int, capacity model.Resources) {
		d, err := deployment.Load(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Fleet.Domains).To(HaveLen(domains))
		Expect(d.EntryInstances()).To(HaveLen(entries))
		endpoints := d.Endpoints(func(model.DomainName) string { return "127.0.0.1:1" })
		Expect(endpoints).To(HaveLen(48))
		racks := map[model.RackRef]int{}
		for _, e := range endpoints {
			Expect(e.Capacity).To(Equal(capacity))
			racks[model.RackRef{Domain: e.Domain, Rack: e.Rack}]++
		}
		for _, size := range racks {
			Expect(size).To(Equal(rackSize))
		}
		config := d.Config(nil)
		Expect(config.Teams).To(HaveLen(6))
		shares := int64(0)
		for _, team := range config.Teams {
			shares += team.Share
		}
		Expect(shares).To(Equal(int64(1000)))
	},
	Entry("Consortium", "../deploy/consortium.ini", 3, 6, 8, model.Resources{16000, 65536, 0, 8, 64}),
	Entry("Zarqa", "../deploy/zarqa.ini", 4, 7, 6, model.Resources{32000, 131072, 0, 8, 64}),
)
