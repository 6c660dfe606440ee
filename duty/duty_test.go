package duty_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
)

var _ = Describe("Duty", func() {
	It("handles messages in order on one thread and ends after Stop", func() {
		var seen []int
		d := duty.New("adder", 16, duty.HandlerFunc[int](func(batch []int) time.Duration {
			seen = append(seen, batch...)
			return duty.Never
		}))
		group := duty.NewGroup(context.Background())
		group.Start(d)
		for i := range 100 {
			Expect(d.Put(context.Background(), i)).To(Succeed())
		}
		d.Stop()
		Expect(group.Wait()).To(Succeed())
		Expect(seen).To(HaveLen(100))
		Expect(seen[99]).To(Equal(99))
	})

	It("calls the handler with an empty batch after the wait that it returned", func() {
		woken := make(chan struct{}, 1)
		d := duty.New("waker", 1, duty.HandlerFunc[int](func(batch []int) time.Duration {
			select {
			case woken <- struct{}{}:
			default:
			}
			return time.Millisecond
		}))
		group := duty.NewGroup(context.Background())
		group.Start(d)
		for range 3 {
			Eventually(woken).WithTimeout(30 * time.Second).Should(Receive())
		}
		d.Stop()
		Expect(group.Wait()).To(Succeed())
	})

	It("ends the group's context with the first error of a served call", func() {
		group := duty.NewGroup(context.Background())
		broken := eris.New("cannot listen")
		group.Serve(func(context.Context) error { return broken })
		Eventually(group.Context().Done()).WithTimeout(30 * time.Second).Should(BeClosed())
		Expect(group.Wait()).To(MatchError(broken))
	})
})
