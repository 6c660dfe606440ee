package logging_test

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/logging"
)

// blockingWriter blocks every write until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *blockingWriter) lines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Count(w.text.String(), "\n")
}

var _ = Describe("The asynchronous writer", func() {
	It("never blocks a logging thread when the reader of the log has stopped", func() {
		out := &blockingWriter{release: make(chan struct{})}
		w := logging.NewAsyncWriter(out)
		group := duty.NewGroup(context.Background())
		group.Start(w)
		log, err := logging.New(w, "test", logging.Settings{Level: "info", Burst: 100_000}, clock.System{})
		Expect(err).NotTo(HaveOccurred())
		startedAt := time.Now()
		const lines = 20_000
		for i := range lines {
			log.Info("event", slog.Int("number", i))
		}
		Expect(time.Since(startedAt)).To(BeNumerically("<", 10*time.Second))
		close(out.release)
		w.Stop()
		Expect(group.Wait()).To(Succeed())
		Expect(out.lines()).To(BeNumerically(">", 4000))
		Expect(out.lines()).To(BeNumerically("<", lines), "lines are dropped while the ring is full")
	})

	It("limits a burst of one event and reports the number of suppressed lines", func() {
		now := clock.NewManual(time.Unix(1000, 0))
		out := &strings.Builder{}
		log, err := logging.New(out, "test", logging.Settings{Level: "info", Burst: 50}, now)
		Expect(err).NotTo(HaveOccurred())
		for range 5000 {
			log.Info("event")
		}
		Expect(strings.Count(out.String(), "\n")).To(Equal(50))
		now.Advance(time.Second)
		log.Info("event")
		Expect(out.String()).To(ContainSubstring("suppressed=4950"))
	})
})
