package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
)

var _ = Describe("Inspecting a scheduler", func() {
	It("explains a waiting request to its team and to operators only", func() {
		fx := newFixture(1)
		s := fx.startScheduler()
		// The endpoint has no capacity for both requests at once.
		running, waiting := request("running", "screen", time.Hour), request("waiting", "screen", time.Millisecond)
		running.Spec.Tasks, waiting.Spec.Tasks = 8, 8
		for _, r := range []peer.SubmitRequest{running, waiting} {
			Expect(s.submit(r).Code).To(Equal(code(result.Pending)))
		}
		ask := func(team model.TeamName) peer.Reply {
			var reply peer.Reply
			Expect(s.service.Explain(peer.ExplainRequest{ID: waiting.ID, Team: team}, &reply)).To(Succeed())
			return reply
		}
		for _, team := range []model.TeamName{waiting.Team, ""} {
			Expect(ask(team).Answer.Code).To(Equal(code(result.Pending)))
			Expect(ask(team).Explanation.State).NotTo(BeEmpty())
			Expect(ask(team).Explanation.Reason).NotTo(BeEmpty())
		}
		Expect(ask("u").Answer.Code).To(Equal(code(result.UnknownRequest)))
		Expect(ask("u").Explanation).To(BeNil())
	})

	It("shows the shard's endpoints and what each team has running", func() {
		fx := newFixture(3)
		s := fx.startScheduler()
		r := request("long", "screen", time.Hour)
		Expect(s.submit(r).Code).To(Equal(code(result.Pending)))
		home, err := r.ID.Home()
		Expect(err).NotTo(HaveOccurred())
		status := func() *peer.ShardStatus {
			var reply peer.Reply
			Expect(s.service.Status(peer.StatusRequest{Shard: home}, &reply)).To(Succeed())
			return reply.Status
		}
		Eventually(func() model.Resources { return status().Committed }).WithTimeout(30 * time.Second).Should(Equal(r.Spec.Size))
		Expect(status().Shard).To(Equal(home))
		Expect(status().Endpoints).To(Equal(3))
		Expect(status().Reachable).To(Equal(3))
		Expect(status().Teams).To(ContainElement(HaveField("Running", r.Spec.Size)))
	})
})
