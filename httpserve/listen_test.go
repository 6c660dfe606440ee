package httpserve_test

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/httpserve/limit"
	"github.com/hornbeamworks/hornbeam/logging"
)

var _ = Describe("A listener for clients", func() {
	var limiter *httpserve.Limiter
	var listener net.Listener

	BeforeEach(func() {
		settings := httpserve.DefaultLimitSettings()
		settings.Connections, settings.AddressShare = 1, 1
		limiter = httpserve.NewLimiter(settings, httpserve.DefaultMemory, logging.Discard())
		var err error
		listener, err = limiter.Listen(limit.Callers, "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		// A server may have closed it.
		DeferCleanup(func() { _ = listener.Close() })
	})
	// connect returns a connection of a client that sends and receives little at a time.
	connect := func() *net.TCPConn {
		connection, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(connection.Close)
		client := connection.(*net.TCPConn)
		Expect(client.SetWriteBuffer(4 << 10)).To(Succeed())
		Expect(client.SetReadBuffer(4 << 10)).To(Succeed())
		return client
	}
	// fill writes until the connection takes no more.
	fill := func(w net.Conn) (written int) {
		Expect(w.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
		for {
			n, err := w.Write(make([]byte, 4<<10))
			written += n
			if err != nil {
				return written
			}
		}
	}

	// 128 KiB for each connection exceeded the memory of an instance that was paused.
	It("receives little of a client before its connection is accepted, or is read", func() {
		waiting := connect()
		Expect(fill(waiting)).To(BeNumerically("<=", 64<<10))
		accepted, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(accepted.Close)
		Expect(fill(waiting)).To(BeNumerically("<=", 64<<10))
	})

	It("receives more while a large body is read, and little again after it", func() {
		client := connect()
		accepted, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(accepted.Close)
		before := fill(client)
		connection := accepted.(*httpserve.LimitedConn)
		budget := limit.NewBudget(limit.BodySettings{Bytes: 8 << 20, Count: 8, AddressShare: 1, Factor: 1})
		body, _, _ := budget.Open(time.Now(), "a", largestBody, func() {})
		connection.EnlargeBuffer(budget, body)
		_, err = io.CopyN(io.Discard, accepted, int64(before))
		Expect(err).NotTo(HaveOccurred())
		Expect(fill(client)).To(BeNumerically(">=", 2*before))
		connection.RestoreBuffer()
	})

	// A client that read no answer kept its connection in use for any time.
	It("gives the place of a client that receives no answer to another one", func() {
		answer := make([]byte, 16<<20)
		server := httpserve.New(&http.Server{Handler: limiter.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/large" {
				_, _ = w.Write(answer)
			}
		}))}, logging.Discard())
		tracked := server.Listen(listener, nil)
		served := make(chan error, 1)
		go func() { served <- server.Serve(tracked) }()
		DeferCleanup(func() {
			Expect(server.Close()).To(Succeed())
			Eventually(served).WithTimeout(waitTimeout).Should(Receive(BeNil()))
		})
		_, err := io.WriteString(connect(), "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(settle)
		Eventually(func() error {
			response, err := http.Get("http://" + listener.Addr().String())
			if err != nil {
				return err
			}
			return response.Body.Close()
		}).WithTimeout(waitTimeout).Should(Succeed())
	})
})
