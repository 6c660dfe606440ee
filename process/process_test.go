package process_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/process"
)

const waitTimeout = 30 * time.Second

// start runs p and returns the channel of Run's result.
func start(p *process.Process) chan error {
	done := make(chan error, 1)
	go func() { done <- p.Run() }()
	return done
}

var _ = Describe("Process", func() {
	It("is ready once configured and finishes a request in flight after Terminate", func() {
		p := process.New(logging.Discard(), clock.System{}, waitTimeout)
		arrived, release := make(chan struct{}), make(chan struct{})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		p.ServeHTTP(listener, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(arrived)
			<-release
			_, _ = io.WriteString(w, "complete")
		})})
		done := start(p)
		Expect(p.Ready()).To(BeFalse())
		p.Configured()
		Eventually(p.Ready).WithTimeout(waitTimeout).Should(BeTrue())

		body := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			reply, err := http.Get("http://" + listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(reply.Body)
			Expect(err).NotTo(HaveOccurred())
			body <- string(text)
		}()
		Eventually(arrived).WithTimeout(waitTimeout).Should(BeClosed())
		p.Terminate()
		Eventually(p.Ready).WithTimeout(waitTimeout).Should(BeFalse())
		close(release)
		Eventually(body).WithTimeout(waitTimeout).Should(Receive(Equal("complete")))
		Eventually(done).WithTimeout(waitTimeout).Should(Receive(BeNil()))
	})

	It("stops at the drain timeout when a drainer hangs and returns ErrDrainTimeout", func() {
		p := process.New(logging.Discard(), clock.System{}, time.Millisecond)
		p.OnDrain(func(ctx context.Context) { <-ctx.Done(); <-p.Group().Context().Done() })
		done := start(p)
		p.Configured()
		p.Terminate()
		Eventually(done).WithTimeout(waitTimeout).Should(Receive(MatchError(process.ErrDrainTimeout)))
	})
})
