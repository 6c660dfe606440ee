package httpserve_test

import (
	"expvar"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

// cuts returns the counter of the requests that ended so.
func cuts(name string) int64 {
	counter, _ := expvar.Get("requests_cut").(*expvar.Map).Get(name).(*expvar.Int)
	if counter == nil {
		return 0
	}
	return counter.Value()
}

var _ = Describe("A request that gets no complete answer", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("is reported when the caller resets the connection", func() {
		before := cuts("serving_by_caller")
		c := f.connect()
		c.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		Eventually(f.arrived).WithTimeout(waitTimeout).Should(Receive())
		Expect(c.Conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
		Expect(c.Close()).To(Succeed())
		time.Sleep(settle)
		close(f.release)
		Eventually(f.log).WithTimeout(waitTimeout).Should(gbytes.Say(`age=\S+ by=caller bytes=31 drain=serving error=.* event=request_cut handled=true`))
		Expect(cuts("serving_by_caller")).To(Equal(before + 1))
	})

	It("is reported when the server closes the connection", func() {
		before := cuts("serving_by_server")
		c := f.connect()
		c.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		Eventually(f.arrived).WithTimeout(waitTimeout).Should(Receive())
		Expect(f.server.Close()).To(Succeed())
		Eventually(f.log).WithTimeout(waitTimeout).Should(gbytes.Say(`by=server bytes=31 drain=serving.*event=request_cut handled=true`))
		close(f.release)
		Expect(cuts("serving_by_server")).To(Equal(before + 1))
	})

	It("is reported when its handler panics", func() {
		c := f.connect()
		c.send("GET /panic HTTP/1.1\r\nHost: x\r\n\r\n")
		c.expectEnd()
		Eventually(f.log).WithTimeout(waitTimeout).Should(gbytes.Say(`by=server.*event=request_cut handled=true`))
	})

	It("is not reported for answered, malformed and unused connections", func() {
		c := f.connect()
		for range 3 {
			c.send(whole)
			c.expectAnswer("ok")
		}
		Expect(c.Close()).To(Succeed())
		malformed := f.connect()
		malformed.send("nonsense\r\n\r\n")
		status, _, _ := malformed.answer()
		Expect(status).To(Equal(http.StatusBadRequest))
		halfHeader := f.connect()
		halfHeader.send(whole[:20])
		status, _, _ = halfHeader.answer()
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(f.connect().Close()).To(Succeed())
		Consistently(f.log).WithTimeout(2 * settle).ShouldNot(gbytes.Say("request_cut"))
	})
})
