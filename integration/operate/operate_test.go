package operate_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
	operateapi "github.com/hornbeamworks/hornbeam/operate/httpapi"
	"github.com/hornbeamworks/hornbeam/result"
)

var _ = Describe("Operators", func() {
	ctx := context.Background()

	It("who change a team through two entry instances at once get one success and one conflict that shows both changes", func() {
		c := harness.StartCluster(harness.Pair)
		first, err := c.Operator(0).Show(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Code).To(Equal(result.OK), first.Reason)
		team, _ := first.Config.Team(harness.OtherTeam)
		replies := make(chan operateapi.ChangeReply, 2)
		for at := range 2 {
			go func() {
				defer GinkgoRecover()
				wanted := team
				wanted.Share = int64(100 + at)
				reply, err := c.Operator(at).SetTeam(ctx, wanted, operateapi.Options{Base: first.Config.Version})
				Expect(err).NotTo(HaveOccurred())
				replies <- reply
			}()
		}
		codes := map[result.Code]operateapi.ChangeReply{}
		for range 2 {
			var reply operateapi.ChangeReply
			Eventually(replies).WithTimeout(harness.WaitTimeout).Should(Receive(&reply))
			codes[reply.Code] = reply
		}
		Expect(codes).To(HaveKey(result.OK))
		Expect(codes).To(HaveKey(result.ChangeConflict))
		conflict := codes[result.ChangeConflict]
		Expect(conflict.Theirs).To(HaveLen(1))
		Expect(conflict.Theirs[0].Version).To(Equal(codes[result.OK].Version))
		Expect(conflict.Ours.Summary).NotTo(Equal(conflict.Theirs[0].Summary))
	})
})
