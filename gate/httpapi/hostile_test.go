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
	var f *fixture

	BeforeEach(func() {
		limits := httpapi.DefaultLimits()
		limits.HeaderTimeout, limits.BodyTimeout, limits.IdleTimeout = 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond
		f = newFixture(gate.DefaultSettings(), limits)
	})

	// dial opens a TCP connection and sends prefix.
	dial := func(prefix string) net.Conn {
		connection, err := net.Dial("tcp", f.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = connection.Close() })
		Expect(connection.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		_, err = io.WriteString(connection, prefix)
		Expect(err).NotTo(HaveOccurred())
		return connection
	}
	// awaitClose returns the bytes received until the server closes the
	// connection. A reset is accepted: it occurs when the server closes with
	// unread input.
	awaitClose := func(connection net.Conn) string {
		received, err := io.ReadAll(connection)
		if err != nil {
			Expect(err).To(MatchError(syscall.ECONNRESET))
		}
		return string(received)
	}

	It("are disconnected when the header is not completed in time", func() {
		awaitClose(dial("POST /v1/requests HTTP/1.1\r\nHost: gate\r\nX-Slow: "))
		Expect(result.Code(f.submit("after").Code)).To(Equal(result.Pending))
	})

	It("are disconnected when the body is not completed in time", func() {
		received := awaitClose(dial("POST /v1/requests HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer " + northSecret +
			"\r\nIdempotency-Key: slow\r\nContent-Length: 100\r\n\r\n{"))
		Expect(received).To(ContainSubstring("400 Bad Request"))
		Expect(f.holder.requestIDs()).To(BeEmpty())
	})

	It("are disconnected when they connect and send nothing", func() { awaitClose(dial("")) })

	It("get status 431 for a header that is too large", func() {
		received := awaitClose(dial("GET /v1/requests/x HTTP/1.1\r\nHost: gate\r\nX-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n"))
		Expect(received).To(ContainSubstring("431"))
	})

	// Guards against a read deadline that stays set after the request was read,
	// which ends the wait for an answer early.
	It("do not shorten the wait of a caller that waits longer than the read timeouts", func() {
		id := f.submit("patient").ID
		waiting := f.sendAsync(testRequest{method: "GET", path: "/v1/requests/" + string(id) + "?wait=1s", secret: northSecret})
		var got reply
		Eventually(waiting).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(result.Code(got.answer.Code)).To(Equal(result.Pending))
	})

	It("release their place in the team's limit when they disconnect while waiting", func() {
		settings := gate.DefaultSettings()
		settings.MaxPerTeam = 1
		f = newFixture(settings, httpapi.DefaultLimits())
		id := f.submit("half-open").ID
		connection := dial("GET /v1/requests/" + string(id) + "?wait=25s HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer " + northSecret + "\r\n\r\n")
		Eventually(f.holder.awaitCalls).WithTimeout(waitTimeout).Should(BeNumerically(">", 0))
		Eventually(func() result.Code { return result.Code(f.submit("next").Code) }).WithTimeout(waitTimeout).Should(Equal(result.Busy))
		Expect(connection.Close()).To(Succeed())
		Eventually(func() result.Code { return result.Code(f.submit("next").Code) }).WithTimeout(waitTimeout).Should(Equal(result.Pending))
	})
})
