package httpserve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/logging"
)

const (
	waitTimeout = 20 * time.Second
	// settle is long enough for a request to be read by the server.
	settle = 50 * time.Millisecond
	whole  = "GET /quick HTTP/1.1\r\nHost: x\r\n\r\n"
)

// fixture is a server whose handler answers /quick at once, /slow after release is
// closed, /waiting after its context has ended, /echo with the body, and panics on
// /panic.
type fixture struct {
	server  *httpserve.Server
	address string
	log     *gbytes.Buffer
	// arrived gets an entry for each call of the handler.
	arrived, release chan struct{}
	// linger is closed to end the time in which a drain accepts connections.
	linger chan struct{}
}

func newFixture() *fixture { return newLayeredFixture(nil) }

// newLayeredFixture returns a fixture whose connections are accepted through layers.
func newLayeredFixture(layers func(net.Listener) net.Listener) *fixture {
	f := &fixture{log: gbytes.NewBuffer(), arrived: make(chan struct{}, 256), release: make(chan struct{}), linger: make(chan struct{})}
	log, err := logging.New(f.log, "test", logging.Settings{Level: "info"}, clock.System{})
	Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.address = listener.Addr().String()
	f.server = httpserve.New(&http.Server{Handler: http.HandlerFunc(f.handle), ReadHeaderTimeout: time.Second}, log)
	tracked := f.server.Listen(listener, layers)
	served := make(chan error, 1)
	go func() { served <- f.server.Serve(tracked) }()
	DeferCleanup(func() {
		Expect(f.server.Close()).To(Succeed())
		Eventually(served).WithTimeout(waitTimeout).Should(Receive(BeNil()))
	})
	return f
}

func (f *fixture) handle(w http.ResponseWriter, r *http.Request) {
	f.arrived <- struct{}{}
	switch r.URL.Path {
	case "/slow":
		<-f.release
	case "/waiting":
		select {
		case <-r.Context().Done():
		case <-f.release:
		}
	case "/panic":
		panic(http.ErrAbortHandler)
	case "/echo":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = w.Write(body)
		return
	}
	_, _ = io.WriteString(w, "ok")
}

// caller is one connection to the server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) connect() *caller {
	connection, err := net.Dial("tcp", f.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = connection.Close() })
	Expect(connection.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	return &caller{Conn: connection, reader: bufio.NewReader(connection)}
}

func (c *caller) send(text string) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// answer reads an answer and returns its status, its body and whether the server
// closes the connection after it.
func (c *caller) answer() (status int, body string, closes bool) {
	response, err := http.ReadResponse(c.reader, nil)
	Expect(err).NotTo(HaveOccurred(), "the request got no answer")
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred(), "the answer is incomplete")
	return response.StatusCode, string(raw), response.Close
}

// expectAnswer expects a complete answer 200 with the body.
func (c *caller) expectAnswer(body string) {
	GinkgoHelper()
	status, got, _ := c.answer()
	Expect(fmt.Sprint(status, " ", got)).To(Equal("200 " + body))
}

// expectEnd expects that the server closes the connection without another byte.
func (c *caller) expectEnd() {
	GinkgoHelper()
	_, err := c.reader.ReadByte()
	Expect(err).To(MatchError(io.EOF))
}
