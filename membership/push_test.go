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

// eventualTimeout is far above the usual waits; it passes only in a failure.
const eventualTimeout = 30 * time.Second

var _ = Describe("Configuration by heartbeats", func() {
	var c *cluster
	BeforeEach(func() {
		var stopCluster func()
		c, stopCluster = startCluster(3)
		DeferCleanup(stopCluster)
		Expect(config.Initialise(context.Background(), c.table.Client(), model.Config{})).To(Succeed())
		for _, p := range c.processes {
			Eventually(p.view.Applied).WithTimeout(eventualTimeout).Should(Equal(model.ConfigVersion(1)))
		}
		Eventually(func() int { return len(c.processes["p002"].members.Directory().Members()) }).
			WithTimeout(eventualTimeout).Should(Equal(3))
	})

	It("reaches a process that is isolated from the table, and keeps its view fresh", func() {
		isolated := c.processes["p002"]
		isolated.offline.Store(true)
		version := c.commitChange(1)
		Expect(version).To(Equal(model.ConfigVersion(2)))
		Eventually(isolated.view.Applied).WithTimeout(eventualTimeout).Should(Equal(version))
		confirmedAt := isolated.view.Confirmed()
		Eventually(isolated.view.Confirmed).WithTimeout(eventualTimeout).Should(BeTemporally(">", confirmedAt.Add(config.MaxViewAge)))
	})

	It("keeps no view fresh while no process can read the table, and no view returns to an older version", func() {
		Expect(c.table.SetFaults(context.Background(), standin.TableFaults{Outage: true})).To(Succeed())
		for _, p := range c.processes {
			Eventually(func() bool { return p.view.Fresh(time.Now()) }).WithTimeout(eventualTimeout).Should(BeFalse())
			Expect(p.view.Version()).To(Equal(model.ConfigVersion(1)))
		}
		Expect(c.table.SetFaults(context.Background(), standin.TableFaults{})).To(Succeed())
		for _, p := range c.processes {
			Eventually(func() bool { return p.view.Fresh(time.Now()) }).WithTimeout(eventualTimeout).Should(BeTrue())
		}
	})

	It("gives the configuration of its peers to a process that starts while the table is unavailable", func() {
		Expect(c.table.SetFaults(context.Background(), standin.TableFaults{Outage: true})).To(Succeed())
		joining, duties := c.newProcess("late")
		Expect(joining.view.Current()).To(BeNil())
		DeferCleanup(startDuties(duties))
		Eventually(joining.view.Version).WithTimeout(eventualTimeout).Should(Equal(model.ConfigVersion(1)))
	})
})
