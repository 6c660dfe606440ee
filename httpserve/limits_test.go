package httpserve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/httpserve/limit"
	"github.com/hornbeamworks/hornbeam/logging"
)

// largestBody is the size of the largest legal body.
const largestBody = 256 << 10

var _ = Describe("Limiter", func() {
	var address string

	// start serves a handler that answers with the number of bytes of the body, 503 if it is
	// refused and 400 on any other error.
	start := func(change func(*httpserve.LimitSettings)) {
		settings := httpserve.DefaultLimitSettings()
		change(&settings)
		log := logging.Discard()
		limiter := httpserve.NewLimiter(settings, httpserve.DefaultMemory, log)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		server := httpserve.New(&http.Server{Handler: limiter.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, err := io.Copy(io.Discard, r.Body)
			switch {
			case httpserve.IsRefused(err):
				w.WriteHeader(http.StatusServiceUnavailable)
			case err != nil:
				w.WriteHeader(http.StatusBadRequest)
			}
			fmt.Fprint(w, n)
		}))}, log)
		tracked := server.Listen(limiter.Limit(limit.Callers, listener), nil)
		served := make(chan error, 1)
		go func() { served <- server.Serve(tracked) }()
		DeferCleanup(func() {
			Expect(server.Close()).To(Succeed())
			Eventually(served).WithTimeout(waitTimeout).Should(Receive(BeNil()))
		})
	}
	// post sends the header of a request with a body of the given size.
	post := func(size int) net.Conn {
		connection, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = connection.Close() })
		Expect(connection.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		_, err = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
		Expect(err).NotTo(HaveOccurred())
		return connection
	}
	send := func(connection net.Conn, n int) {
		_, err := io.WriteString(connection, strings.Repeat("x", n))
		Expect(err).NotTo(HaveOccurred())
	}
	status := func(connection net.Conn) int {
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}

	It("serves the largest legal body at a slow steady rate", func() {
		start(func(s *httpserve.LimitSettings) { s.MinRate, s.StallTime = 48<<10, 500*time.Millisecond })
		connection := post(largestBody)
		for range 32 {
			send(connection, largestBody/32)
			time.Sleep(100 * time.Millisecond)
		}
		Expect(status(connection)).To(Equal(http.StatusOK))
	})

	It("ends a body that stalls", func() {
		start(func(s *httpserve.LimitSettings) { s.StallTime = 200 * time.Millisecond })
		connection := post(100)
		send(connection, 1)
		Expect(status(connection)).To(Equal(http.StatusBadRequest))
	})

	It("answers a request whose body was evicted, and serves the one for which it made room", func() {
		start(func(s *httpserve.LimitSettings) { s.Bytes, s.Bodies, s.AddressShare = 1<<20, 8, 1 })
		stalled := post(largestBody)
		send(stalled, largestBody-1)
		time.Sleep(1500 * time.Millisecond)
		fresh := post(largestBody)
		send(fresh, largestBody)
		Expect(status(fresh)).To(Equal(http.StatusOK))
		Expect(status(stalled)).To(Equal(http.StatusServiceUnavailable))
	})

	It("closes connections beyond its number, and accepts one again when others are idle", func() {
		start(func(s *httpserve.LimitSettings) { s.Connections, s.AddressShare = 2, 1 })
		idle := []net.Conn{post(10), post(10)}
		time.Sleep(settle)
		_, err := io.ReadAll(post(10))
		Expect(err == nil || strings.Contains(err.Error(), "reset")).To(BeTrue())
		time.Sleep(1200 * time.Millisecond)
		fresh := post(1)
		send(fresh, 1)
		Expect(status(fresh)).To(Equal(http.StatusOK))
		_, err = io.ReadAll(idle[0])
		Expect(err == nil || strings.Contains(err.Error(), "reset")).To(BeTrue())
	})
})

var _ = DescribeTable("A client's address", func(address, client string) {
	Expect(httpserve.ClientOf(address)).To(Equal(client))
},
	Entry("is a host", "10.0.0.1:80", "10.0.0.1"),
	Entry("is the subnet of a host with IPv6", "[2001:db8:1:2:3:4:5:6]:80", "2001:db8:1:2::/64"),
	Entry("is that of IPv4 mapped to IPv6", "[::ffff:10.0.0.1]:80", "10.0.0.1"),
	Entry("has no zone", "[fe80::1%eth0]:80", "fe80::/64"),
)
