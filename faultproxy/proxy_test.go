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
	seed     = 7
	deadline = 30 * time.Second
	// brief is how long a call waits that is expected to hang.
	brief = 100 * time.Millisecond
)

// site is an HTTP server behind a proxy that counts the calls it has served.
type site struct {
	proxy  *faultproxy.Proxy
	client *http.Client
	calls  atomic.Int64
}

func newSite() *site {
	s := &site{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
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

func (s *site) call(timeout time.Duration, body string) (string, error) {
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
	It("passes everything on without faults", func() {
		s := newSite()
		long := strings.Repeat("hornbeam", 100_000)
		Expect(s.call(deadline, long)).To(Equal(long))
	})

	It("loses replies of calls that took effect", func() {
		s := newSite()
		s.proxy.Set(faultproxy.LoseReplies())
		_, err := s.call(brief, "x")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(s.calls.Load).WithTimeout(deadline).Should(Equal(int64(1)))
		s.proxy.Set(faultproxy.Faults{})
		Expect(s.call(deadline, "y")).To(Equal("y"))
	})

	It("holds back what a cut meets and delivers it late", func() {
		s := newSite()
		s.proxy.Set(faultproxy.Cut())
		late := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			body, err := s.call(deadline, "late")
			Expect(err).NotTo(HaveOccurred())
			late <- body
		}()
		Eventually(func() int { return s.proxy.Stats().Held }).WithTimeout(deadline).Should(Equal(1))
		Expect(s.calls.Load()).To(BeZero())
		s.proxy.Set(faultproxy.Faults{})
		Eventually(late).WithTimeout(deadline).Should(Receive(Equal("late")))
	})

	It("cuts one way only", func() {
		s := newSite()
		s.proxy.Set(faultproxy.Faults{Down: faultproxy.Direction{Cut: true}})
		_, err := s.call(brief, "x")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(s.calls.Load).WithTimeout(deadline).Should(Equal(int64(1)))
	})

	It("delays and drips without changing the bytes", func() {
		s := newSite()
		slow := faultproxy.Delay(time.Millisecond, time.Millisecond)
		slow.Up.DripBytes = 64
		s.proxy.Set(slow)
		long := strings.Repeat("x", 1000)
		Expect(s.call(deadline, long)).To(Equal(long))
	})

	It("resets connections", func() {
		s := newSite()
		s.proxy.Set(faultproxy.Faults{Up: faultproxy.Direction{Reset: 1}})
		_, err := s.call(deadline, "x")
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(context.DeadlineExceeded))
		Expect(s.proxy.Stats().Reset).To(Equal(1))
	})

	It("refuses new connections", func() {
		s := newSite()
		s.proxy.Set(faultproxy.Faults{RefuseNew: true})
		_, err := s.call(deadline, "x")
		Expect(err).To(HaveOccurred())
		Expect(s.calls.Load()).To(BeZero())
	})

	It("ends its connections when it is closed", func() {
		s := newSite()
		connection, err := net.Dial("tcp", s.proxy.Address())
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return s.proxy.Stats().Connections }).WithTimeout(deadline).Should(Equal(1))
		s.proxy.Close()
		Expect(connection.SetReadDeadline(time.Now().Add(deadline))).To(Succeed())
		_, err = connection.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
	})
})
