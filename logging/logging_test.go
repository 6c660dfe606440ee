package logging_test

import (
	"bytes"
	"log/slog"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/logging"
)

var _ = Describe("Logger", func() {
	var out *bytes.Buffer
	var now *clock.Manual
	var log *logging.Logger

	BeforeEach(func() {
		out = &bytes.Buffer{}
		now = clock.NewManual(time.Unix(0, 0))
		var err error
		log, err = logging.New(out, "hornbeam-test", logging.Settings{Level: "info"}, now)
		Expect(err).NotTo(HaveOccurred())
	})

	It("writes one line of key=value pairs for an event", func() {
		log.Info("shard_taken", slog.String("shard", "fd1/0"), slog.Uint64("epoch", 7))
		Expect(out.String()).To(ContainSubstring("event=shard_taken"))
		Expect(out.String()).To(ContainSubstring("shard=fd1/0"))
		Expect(out.String()).To(ContainSubstring("epoch=7"))
		Expect(strings.Count(out.String(), "\n")).To(Equal(1))
	})

	It("suppresses a burst of one event and reports the number of suppressed lines", func() {
		for range 100 {
			log.Warn("endpoint_unavailable")
		}
		Expect(strings.Count(out.String(), "\n")).To(Equal(20))
		now.Advance(time.Second)
		log.Warn("endpoint_unavailable")
		Expect(out.String()).To(ContainSubstring("suppressed=80"))
	})

	It("changes its level at run time", func() {
		log.Debug("detail")
		Expect(out.String()).To(BeEmpty())
		Expect(log.SetLevel("debug")).To(Succeed())
		log.Debug("detail")
		Expect(out.String()).To(ContainSubstring("event=detail"))
		Expect(log.SetLevel("loud")).NotTo(Succeed())
	})
})
