package process_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/process"
)

var _ = Describe("A call that outlasts the drain", func() {
	// The server was not closed once its listener was, so that the connection ended
	// with the process and without a line in the log.
	It("is reported before Run returns", func() {
		output := gbytes.NewBuffer()
		log, err := logging.New(output, "test", logging.Settings{Level: "info"}, clock.System{})
		Expect(err).NotTo(HaveOccurred())
		p := process.New(log, clock.System{}, time.Second)
		arrived, release := make(chan struct{}), make(chan struct{})
		DeferCleanup(func() { close(release) })
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		p.ServeHTTP(listener, &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			close(arrived)
			<-release
		})})
		done := start(p)
		p.Configured()
		connection, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = connection.Close() })
		_, err = connection.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(arrived).WithTimeout(waitTimeout).Should(BeClosed())
		p.Terminate()
		Eventually(done).WithTimeout(waitTimeout).Should(Receive())
		Expect(string(output.Contents())).To(MatchRegexp(`by=server.*drain=finishing.*event=request_cut`))
	})
})
