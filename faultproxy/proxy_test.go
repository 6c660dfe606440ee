package faultproxy_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/faultproxy"
)

const (
	seed        = 7
	testTimeout = 30 * time.Second
	// hangTimeout is the timeout of a call that is expected to hang.
	hangTimeout = 100 * time.Millisecond
)

// fixture is an HTTP server behind a proxy; calls counts the requests it served.
type fixture struct {
	proxy  *faultproxy.Proxy
	client *http.Client
	calls  atomic.Int64
}

func newFixture() *fixture {
	s := &fixture{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		_, _ = io.Copy(w, r.Body)
	}))
	group := duty.NewGroup(context.Background())
	var err error
	s.proxy, err = faultproxy.Listen(group, "127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"), seed)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		s.proxy.Close()
		Expect(group.Wait()).To(Succeed())
		server.Close()
	})
	return s
}

func (s *fixture) call(timeout time.Duration, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.proxy.Address(), strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := s.client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return string(raw), err
}

var _ = Describe("Proxy", func() {
	It("forwards all bytes unchanged without faults", func() {
		s := newFixture()
		body := strings.Repeat("hornbeam", 100_000)
		Expect(s.call(testTimeout, body)).To(Equal(body))
	})

	It("loses the replies of calls that the server has processed", func() {
		s := newFixture()
		s.proxy.Set(faultproxy.LoseReplies())
		_, err := s.call(hangTimeout, "x")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(s.calls.Load).WithTimeout(testTimeout).Should(Equal(int64(1)))
		s.proxy.Set(faultproxy.Faults{})
		Expect(s.call(testTimeout, "y")).To(Equal("y"))
	})

	It("holds bytes back during a partition and delivers them afterwards", func() {
		s := newFixture()
		s.proxy.Set(faultproxy.Partition())
		reply := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			body, err := s.call(testTimeout, "late")
			Expect(err).NotTo(HaveOccurred())
			reply <- body
		}()
		Eventually(func() int { return s.proxy.Stats().Held }).WithTimeout(testTimeout).Should(Equal(1))
		Expect(s.calls.Load()).To(BeZero())
		s.proxy.Set(faultproxy.Faults{})
		Eventually(reply).WithTimeout(testTimeout).Should(Receive(Equal("late")))
	})

	// A kernel delivers what was written before the connection was closed.
	It("delivers the bytes that it has held back though the client has closed the connection", func() {
		s := newFixture()
		s.proxy.Set(faultproxy.Faults{Up: faultproxy.DirectionFaults{HoldContaining: "late"}})
		_, err := s.call(hangTimeout, "late")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(s.call(testTimeout, "other")).To(Equal("other"))
		Expect(s.calls.Load()).To(Equal(int64(1)))
		s.proxy.Set(faultproxy.Faults{})
		Eventually(s.calls.Load).WithTimeout(testTimeout).Should(Equal(int64(2)))
	})

	DescribeTable("delivers what was written before the sender has closed the connection",
		func(faults faultproxy.Faults) {
			s := newFixture()
			s.proxy.Set(faults)
			_, err := s.call(hangTimeout, "late")
			Expect(err).To(MatchError(context.DeadlineExceeded))
			Expect(s.calls.Load()).To(BeZero())
			time.Sleep(hangTimeout)
			s.proxy.Set(faultproxy.Faults{})
			Eventually(s.calls.Load).WithTimeout(testTimeout).Should(Equal(int64(1)))
		},
		Entry("after a delay", faultproxy.Faults{Up: faultproxy.DirectionFaults{Delay: time.Second}}),
		Entry("at the end of a partition", faultproxy.Partition()),
	)

	It("partitions one direction only", func() {
		s := newFixture()
		s.proxy.Set(faultproxy.Faults{Down: faultproxy.DirectionFaults{Partitioned: true}})
		_, err := s.call(hangTimeout, "x")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(s.calls.Load).WithTimeout(testTimeout).Should(Equal(int64(1)))
	})

	It("delays and rate-limits without changing the bytes", func() {
		s := newFixture()
		faults := faultproxy.Delay(time.Millisecond, time.Millisecond)
		faults.Up.DripBytes = 64
		s.proxy.Set(faults)
		body := strings.Repeat("x", 1000)
		Expect(s.call(testTimeout, body)).To(Equal(body))
	})

	It("resets connections", func() {
		s := newFixture()
		s.proxy.Set(faultproxy.Faults{Up: faultproxy.DirectionFaults{ResetProbability: 1}})
		_, err := s.call(testTimeout, "x")
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(context.DeadlineExceeded))
		Expect(s.proxy.Stats().Reset).To(Equal(1))
	})

	It("refuses new connections", func() {
		s := newFixture()
		s.proxy.Set(faultproxy.Faults{RefuseNew: true})
		_, err := s.call(testTimeout, "x")
		Expect(err).To(HaveOccurred())
		Expect(s.calls.Load()).To(BeZero())
	})

	It("closes its connections when it is closed", func() {
		s := newFixture()
		connection, err := net.Dial("tcp", s.proxy.Address())
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return s.proxy.Stats().Connections }).WithTimeout(testTimeout).Should(Equal(1))
		s.proxy.Close()
		Expect(connection.SetReadDeadline(time.Now().Add(testTimeout))).To(Succeed())
		_, err = connection.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
	})
})
