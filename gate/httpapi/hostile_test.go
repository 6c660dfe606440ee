package httpapi_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/result"
)

var _ = Describe("Hostile clients", func() {
	var f *front

	BeforeEach(func() {
		limits := httpapi.DefaultLimits()
		limits.HeaderTimeout, limits.BodyTimeout, limits.IdleTimeout = 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond
		f = newFront(gate.DefaultSettings(), limits)
	})

	// dial opens a raw connection and sends what a client begins with.
	dial := func(begin string) net.Conn {
		connection, err := net.Dial("tcp", f.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = connection.Close() })
		Expect(connection.SetDeadline(time.Now().Add(generous))).To(Succeed())
		_, err = io.WriteString(connection, begin)
		Expect(err).NotTo(HaveOccurred())
		return connection
	}
	// ends waits until the server has closed the connection, which is a reset
	// when it has not read all that was sent.
	ends := func(connection net.Conn) string {
		said, err := io.ReadAll(connection)
		if err != nil {
			Expect(err).To(MatchError(syscall.ECONNRESET))
		}
		return string(said)
	}

	It("are cut off when the header does not end", func() {
		ends(dial("POST /v1/requests HTTP/1.1\r\nHost: gate\r\nX-Slow: "))
		Expect(result.Code(f.submit("after").Code)).To(Equal(result.Pending))
	})

	It("are cut off when the body does not come", func() {
		said := ends(dial("POST /v1/requests HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer " + northSecret +
			"\r\nIdempotency-Key: slow\r\nContent-Length: 100\r\n\r\n{"))
		Expect(said).To(ContainSubstring("400 Bad Request"))
		Expect(f.holder.known()).To(BeEmpty())
	})

	It("are cut off when they connect and say nothing", func() { ends(dial("")) })

	It("are refused a header that is too large", func() {
		said := ends(dial("GET /v1/requests/x HTTP/1.1\r\nHost: gate\r\nX-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n"))
		Expect(said).To(ContainSubstring("431"))
	})

	It("do not take away the time of a caller that waits longer than the limits on reading", func() {
		id := f.submit("patient").ID
		waiting := f.background(message{method: "GET", path: "/v1/requests/" + string(id) + "?wait=1s", secret: northSecret})
		var got reply
		Eventually(waiting).WithTimeout(generous).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(result.Code(got.answer.Code)).To(Equal(result.Pending))
	})

	It("free the place of a caller that leaves while it waits", func() {
		settings := gate.DefaultSettings()
		settings.MaxPerTeam = 1
		f = newFront(settings, httpapi.DefaultLimits())
		id := f.submit("half-open").ID
		connection := dial("GET /v1/requests/" + string(id) + "?wait=25s HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer " + northSecret + "\r\n\r\n")
		Eventually(f.holder.awaited).WithTimeout(generous).Should(BeNumerically(">", 0))
		Eventually(func() result.Code { return result.Code(f.submit("next").Code) }).WithTimeout(generous).Should(Equal(result.Busy))
		Expect(connection.Close()).To(Succeed())
		Eventually(func() result.Code { return result.Code(f.submit("next").Code) }).WithTimeout(generous).Should(Equal(result.Pending))
	})
})
