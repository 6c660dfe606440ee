package membership_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// generous is reached only by a failure.
const generous = 30 * time.Second

var _ = Describe("Configuration by heartbeats", func() {
	var o *office
	BeforeEach(func() {
		var closeOffice func()
		o, closeOffice = openOffice(3)
		DeferCleanup(closeOffice)
		Expect(config.Initialise(context.Background(), o.table.Client(), model.Config{})).To(Succeed())
		for _, p := range o.processes {
			Eventually(p.view.Applied).WithTimeout(generous).Should(Equal(model.ConfigVersion(1)))
		}
		Eventually(func() int { return len(o.processes["p002"].members.Directory().Members()) }).
			WithTimeout(generous).Should(Equal(3))
	})

	It("reaches a process that is cut off from the table, and keeps it fresh", func() {
		cut := o.processes["p002"]
		cut.offline.Store(true)
		version := o.change(1)
		Expect(version).To(Equal(model.ConfigVersion(2)))
		Eventually(cut.view.Applied).WithTimeout(generous).Should(Equal(version))
		at := cut.view.Confirmed()
		Eventually(cut.view.Confirmed).WithTimeout(generous).Should(BeTemporally(">", at.Add(config.Promise)))
	})

	It("makes no view fresh while nobody reads the table, and none goes back", func() {
		Expect(o.table.SetFaults(context.Background(), standin.TableFaults{Outage: true})).To(Succeed())
		for _, p := range o.processes {
			Eventually(func() bool { return p.view.Fresh(time.Now()) }).WithTimeout(generous).Should(BeFalse())
			Expect(p.view.Version()).To(Equal(model.ConfigVersion(1)))
		}
		Expect(o.table.SetFaults(context.Background(), standin.TableFaults{})).To(Succeed())
		for _, p := range o.processes {
			Eventually(func() bool { return p.view.Fresh(time.Now()) }).WithTimeout(generous).Should(BeTrue())
		}
	})

	It("gives a process that starts while the table is down what its peers hold", func() {
		Expect(o.table.SetFaults(context.Background(), standin.TableFaults{Outage: true})).To(Succeed())
		late, duties := o.newProcess("late")
		Expect(late.view.Current()).To(BeNil())
		DeferCleanup(run(duties))
		Eventually(late.view.Version).WithTimeout(generous).Should(Equal(model.ConfigVersion(1)))
	})
})
