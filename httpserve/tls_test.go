package httpserve_test

import (
	"bufio"
	"crypto/tls"
	"net"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

// connectTLS opens a connection with TLS to the fixture.
func (f *fixture) connectTLS() *caller {
	plain := f.connect()
	secured := tls.Client(plain.Conn, &tls.Config{InsecureSkipVerify: true}) // the certificate is a test's own
	Expect(secured.Handshake()).To(Succeed())
	return &caller{Conn: secured, reader: bufio.NewReader(secured)}
}

var _ = Describe("A drain of connections with TLS", func() {
	It("answers requests on connections that were accepted before and ends the others", func() {
		pair := httptest.NewUnstartedServer(nil)
		pair.StartTLS()
		certificates := pair.TLS.Certificates
		pair.Close()
		f := newLayeredFixture(func(l net.Listener) net.Listener {
			return tls.NewListener(l, &tls.Config{Certificates: certificates})
		})
		idle, other, half := f.connectTLS(), f.connectTLS(), f.connectTLS()
		for _, c := range []*caller{idle, other, half} {
			c.send(whole)
			c.expectAnswer("ok")
		}
		half.send(whole[:20])
		time.Sleep(settle)
		done := f.drain(waitTimeout)
		idle.send(whole)
		_, _, closes := idle.answer()
		Expect(closes).To(BeTrue())
		close(f.linger)
		time.Sleep(settle)
		half.send(whole[20:])
		half.expectAnswer("ok")
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
		_, err := other.reader.ReadByte()
		Expect(err).To(HaveOccurred())
		Expect(f.log).NotTo(gbytes.Say("request_cut"))
	})
})
