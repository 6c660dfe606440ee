package cell_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
)

const (
	// signalTime is long enough for a node to begin its drain, lingerTime for it to
	// reach the end of its linger time.
	signalTime = 100 * time.Millisecond
	lingerTime = 500 * time.Millisecond
	// query is a caller's request; it gets some answer without a key.
	query = "GET /none/0000000000000001 HTTP/1.1\r\nHost: none\r\n\r\n"
)

// connect opens a connection to the node.
func connect(n *harness.Node) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", n.Address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(harness.WaitTimeout))).To(Succeed())
	return c, bufio.NewReader(c)
}

func send(c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// answered reads a whole answer.
func answered(reader *bufio.Reader) {
	GinkgoHelper()
	response, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred(), "the request got no answer")
	_, err = io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
}

// These requests got no answer while the drain was that of net/http.
var _ = Describe("A SIGTERM cuts no request", func() {
	It("that comes on connections opened before", func() {
		node := harness.StartSite(1, 1, work).Nodes[0]
		unused, unusedReader := connect(node)
		idle, idleReader := connect(node)
		send(idle, query)
		answered(idleReader)
		half, halfReader := connect(node)
		send(half, query[:20])
		time.Sleep(signalTime)
		node.Signal(syscall.SIGTERM)
		time.Sleep(signalTime)
		send(unused, query)
		answered(unusedReader)
		send(idle, query)
		answered(idleReader)
		time.Sleep(lingerTime)
		send(half, query[20:])
		answered(halfReader)
		Expect(node.Ended()).To(Succeed())
		Expect(node.Log()).NotTo(ContainSubstring("request_cut"))
	})
})
