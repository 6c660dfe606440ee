// Package openrequests_test checks that a process of the product survives clients that
// hold many unfinished requests: it stays within the memory and the descriptors of its
// instance and still answers ordinary callers. The tests check no times and no fraction
// of served requests.
package openrequests_test

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/hornbeamworks/hornbeam/platform/platformtest"
)

// crowd is the number of connections of a flood: more than the instance has descriptors
// for, and with bodies that need more than its memory.
var crowd = fromEnvironment("HORNBEAM_CROWD", 900)

const (
	// bodyBytes is the size of each body, below the limit of 262,144 bytes that clients
	// observe. shortBytes is missing at its end.
	bodyBytes, shortBytes = 250_000, 200
	// sources is the number of client addresses of the crowd.
	sources = 9
	// waves is the number of crowds that follow each other where the memory of one is used
	// again for the next.
	waves = 3
	// receiveBuffer is the size of each client's receive buffer.
	receiveBuffer = 4 << 10
	// sendTimeout bounds the time in which a client sends.
	sendTimeout = 10 * time.Second
	// settleTime is the time in which a process reads what the crowd has sent.
	settleTime = time.Second
)

// shape is how a client sends its body: its header, and the pieces that it sends until it
// stops.
type shape struct {
	length string
	pieces []string
	// pause is the time between two pieces.
	pause time.Duration
}

// text is the body without its end: a string that a decoder has to keep.
var text = `{"spec": "` + strings.Repeat("x", bodyBytes-shortBytes-10)

func cut(s string, size int) []string {
	var pieces []string
	for len(s) > size {
		pieces, s = append(pieces, s[:size]), s[size:]
	}
	return append(pieces, s)
}

func chunked(size int) string { return chunkedText(text, size) }

func chunkedText(text string, size int) string {
	var b strings.Builder
	for _, piece := range cut(text, size) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
	}
	return b.String()
}

var (
	lengthKnown = fmt.Sprintf("Content-Length: %d", bodyBytes)
	inChunks    = "Transfer-Encoding: chunked"

	whole       = shape{length: lengthKnown, pieces: []string{text}}
	pieceByPart = shape{length: lengthKnown, pieces: cut(text, 8<<10), pause: 5 * time.Millisecond}
	largeChunks = shape{length: inChunks, pieces: cut(chunked(32<<10), 32<<10)}
	smallChunks = shape{length: inChunks, pieces: cut(chunked(16), 8<<10)}
	// headerOnly stops within its header, silent sends nothing.
	headerOnly = shape{length: "X-Long: " + strings.Repeat("x", 12<<10)}
	silent     = shape{}

	// job is an ordinary job, padded to the size of a large body; tinySteps and nested are
	// bodies that need many times their size when they are decoded. They are sent whole.
	job       = ended(strings.Replace(ordinaryJob, `"steps"`, strings.Repeat(" ", bodyBytes-len(ordinaryJob))+`"steps"`, 1))
	tinySteps = ended(`{"spec": "x", "steps": [` + strings.Repeat("{},", bodyBytes/3-10) + `{}]}`)
	nested    = ended(`{"spec": "x", "steps": ` + strings.Repeat("[", bodyBytes-30) + `]}`)
	// payload is a request to the gate with a payload that is too large.
	payload = ended(`{"class": "screen", "tasks": 1, "payload": "` + strings.Repeat("QUFB", bodyBytes/4-20) + `"}`)
	// steps is a body in chunks that needs many times its size when it is decoded.
	steps = shape{length: inChunks, pieces: append(cut(chunkedText(tinySteps.pieces[0], 1<<10), 8<<10), "0\r\n\r\n")}
	// pipelined sends many requests on a connection and reads no answer.
	pipelined = shape{length: "Content-Length: 0\r\n\r\n" + strings.Repeat("GET /debug/vars HTTP/1.1\r\nHost: page\r\n\r\n", 20_000)}
	// manySteps is a legal job below the size of a large body that needs many times its size
	// when it is decoded, and largeRow one whose row the table does not accept.
	manySteps = ended(`{"spec": "x", "steps": [` + strings.Repeat(`{"count":1},`, 1200) + `{"count":1}]}`)
	largeRow  = ended(`{"spec": "x", "steps": [` + strings.Repeat(`{"count":1,"est-ms":1000},`, 9000) + `{"count":1}]}`)
	// announced stops after the length of a message, 9 MB, and its first bytes.
	announced = shape{length: "-", pieces: []string{"\xfd\x89\x54\x40" + strings.Repeat("x", 100)}}
)

// ended is a request whose whole body is sent.
func ended(body string) shape {
	return shape{length: fmt.Sprintf("Content-Length: %d", len(body)), pieces: []string{body}}
}

// target is where a client sends: an address and the beginning of the header. secured is
// set where the listener has TLS.
type target struct {
	address, head string
	secured       bool
}

func (n *node) target() target {
	return target{address: n.front, head: "POST /cook/%016x HTTP/1.1\r\nHost: kitchen.example\r\nApi-Key: key\r\n"}
}

func (g *gate) target(address string) target {
	return target{address: address, secured: g.scheme == "https",
		head: "POST /v1/requests HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer " + teamSecret + "\r\nIdempotency-Key: flood-%d\r\n"}
}

// page is a target on a port for pages.
func page(address string) target {
	return target{address: address, head: "POST /readyz?%d HTTP/1.1\r\nHost: page\r\n"}
}

// rpc is a target on a port for peers: the length of a message of net/rpc, 250,000 bytes.
func rpc(address string) target { return target{address: address, head: "\xfd\x03\xd0\x90"} }

// flood opens the connections of a crowd, spread over the targets and the shapes, and
// returns when all have sent what they send. They stay open until the test ends.
func flood(targets []target, shapes ...shape) {
	var sent sync.WaitGroup
	connections := make([]net.Conn, crowd)
	for i := range crowd {
		sent.Add(1)
		go func() {
			defer sent.Done()
			connections[i] = send(i, targets[i%len(targets)], shapes[i/len(targets)%len(shapes)])
		}()
	}
	sent.Wait()
	DeferCleanup(func() {
		for _, connection := range connections {
			if connection != nil {
				_ = connection.Close()
			}
		}
	})
	time.Sleep(settleTime)
}

// send sends one request without its end and returns its connection; nil if there is none.
// An error means that the server refuses the client, which it may.
func send(i int, to target, s shape) net.Conn {
	dialer := net.Dialer{Timeout: sendTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i%sources))}}
	connection, err := dialer.Dial("tcp", to.address)
	if err != nil {
		return nil
	}
	// Answers are not read; a small buffer makes that felt at once.
	_ = connection.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	if to.secured {
		connection = tls.Client(connection, &tls.Config{InsecureSkipVerify: true})
	}
	_ = connection.SetWriteDeadline(time.Now().Add(sendTimeout))
	if s.length == "" {
		return connection
	}
	pieces := s.pieces
	switch {
	case s.length == announced.length:
	case !strings.Contains(to.head, "HTTP"):
		pieces = append([]string{to.head}, pieces...)
	case len(pieces) == 0:
		pieces = []string{fmt.Sprintf(to.head, i) + s.length}
	default:
		pieces = append([]string{fmt.Sprintf(to.head, i) + s.length + "\r\n\r\n"}, pieces...)
	}
	for _, piece := range pieces {
		if _, err := connection.Write([]byte(piece)); err != nil {
			return connection
		}
		time.Sleep(s.pause)
	}
	return connection
}

// OPEN REQUESTS: 1,500 such connections made a process of 17 MB grow to 511 to 773 MB, and
// the process kept them without a limit of time.
var _ = Describe("A process whose clients hold many unfinished requests", Serial, func() {
	shapes := []struct {
		name string
		shape
	}{
		{"(a) whole large bodies that stop short", whole},
		{"(b) large bodies that stop short, piece by piece", pieceByPart},
		{"(c) bodies in large chunks that stop short", largeChunks},
		{"(d) bodies in very small chunks that stop short", smallChunks},
	}
	// calm checks that a large legal request alone is served.
	calm := func(n *node) {
		GinkgoHelper()
		answered(func() int {
			return call(http.MethodPost, "http://"+n.front+"/cook/00000000000000ff", queueHost, queueHeader, job.pieces[0])
		}, http.StatusOK)
	}
	for _, s := range shapes {
		It(s.name+": hornbeam-node survives and answers", func() {
			n := startNode(entry, platformtest.Serving)
			answered(n.submit, http.StatusOK)
			flood([]target{n.target()}, s.shape)
			answered(n.submit, http.StatusOK)
			n.check()
		})

		It(s.name+": hornbeam-gate survives and answers", func() {
			g := startGate(entry, false)
			answered(g.submit, http.StatusOK, http.StatusAccepted)
			flood([]target{g.target(g.callers)}, s.shape)
			answered(g.submit, http.StatusOK, http.StatusAccepted)
			g.check()
		})

		It(s.name+": hornbeam-node that is paused survives and runs jobs", func() {
			n := startNode(lowered, platformtest.Serving)
			n.completes()
			calm(n)
			n.whilePaused(func() { flood([]target{n.target()}, s.shape) })
			n.completes()
			n.check()
		})

		It(s.name+": hornbeam-gate that is paused survives and answers", func() {
			g := startGate(lowered, false)
			answered(g.submit, http.StatusOK, http.StatusAccepted)
			g.whilePaused(func() { flood([]target{g.target(g.callers)}, s.shape) })
			answered(g.submit, http.StatusOK, http.StatusAccepted)
			g.check()
		})
	}

	It("(e) before the process knows its limits, while the table is unavailable: hornbeam-node survives and answers", func() {
		n := startNode(entry, platformtest.Refusing)
		answered(n.submit, http.StatusServiceUnavailable)
		flood([]target{n.target()}, whole, pieceByPart, largeChunks, smallChunks)
		answered(n.submit, http.StatusServiceUnavailable)
		n.table.SetFaultMode(platformtest.Serving)
		answered(n.submit, http.StatusOK)
		n.check()
	})

	It("(f) at the process's own ports: hornbeam-node survives and answers", func() {
		n := startNode(entry, platformtest.Serving)
		answered(n.submit, http.StatusOK)
		flood([]target{page(n.ready), page(n.metrics), rpc(n.peers)}, whole, headerOnly, smallChunks, silent)
		answered(n.submit, http.StatusOK)
		answered(n.readiness, http.StatusOK)
		n.check()
	})

	It("(f) at the operators' listener and the process's own ports: hornbeam-gate survives and answers", func() {
		g := startGate(entry, false)
		answered(g.show, http.StatusOK)
		flood([]target{g.target(g.operators), g.target(g.operators), page(g.admin), rpc(g.peers)}, whole, headerOnly, smallChunks, silent)
		answered(g.submit, http.StatusOK, http.StatusAccepted)
		answered(g.show, http.StatusOK)
		answered(g.readiness, http.StatusOK)
		g.check()
	})

	It("(g) at the process's own ports: hornbeam-node that is paused survives and runs jobs", func() {
		n := startNode(lowered, platformtest.Serving)
		n.completes()
		n.whilePaused(func() {
			flood([]target{page(n.ready), page(n.metrics), rpc(n.peers)}, whole, smallChunks)
		})
		n.completes()
		answered(n.readiness, http.StatusOK)
		n.check()
	})

	It("(g) at the operators' listener and the process's own ports: hornbeam-gate that is paused survives and answers", func() {
		g := startGate(lowered, false)
		answered(g.show, http.StatusOK)
		g.whilePaused(func() {
			flood([]target{g.target(g.operators), g.target(g.operators), page(g.admin), rpc(g.peers)}, whole, smallChunks)
		})
		answered(g.submit, http.StatusOK, http.StatusAccepted)
		answered(g.show, http.StatusOK)
		answered(g.readiness, http.StatusOK)
		g.check()
	})

	It("(g) at the process's own ports: hornbeam-sched that is paused survives and serves requests", func() {
		g := startGate(lowered, false)
		answered(g.submit, http.StatusOK, http.StatusAccepted)
		g.sched.whilePaused(func() {
			flood([]target{rpc(g.sched.peers), page(g.sched.admin), rpc(g.sched.peers)}, whole, smallChunks)
		})
		answered(g.submit, http.StatusOK, http.StatusAccepted)
		answered(g.sched.readiness, http.StatusOK)
		g.sched.check()
	})

	It("(h) messages of peers that are announced and do not arrive: hornbeam-node survives and runs jobs", func() {
		n := startNode(lowered, platformtest.Serving)
		n.completes()
		for range waves {
			flood([]target{rpc(n.peers)}, announced)
		}
		n.completes()
		n.check()
	})

	It("(h) messages of peers that are announced and do not arrive: hornbeam-sched survives and serves requests", func() {
		g := startGate(lowered, false)
		answered(g.submit, http.StatusOK, http.StatusAccepted)
		for range waves {
			flood([]target{rpc(g.sched.peers)}, announced)
		}
		answered(g.submit, http.StatusOK, http.StatusAccepted)
		g.sched.check()
	})

	It("(i) whole large bodies: hornbeam-node survives and runs jobs", func() {
		n := startNode(lowered, platformtest.Serving)
		n.completes()
		flood([]target{n.target()}, job, tinySteps, nested, steps)
		n.completes()
		n.check()
	})

	It("(i) whole large bodies: hornbeam-node that is slow survives and runs jobs", func() {
		n := startNode(lowered, platformtest.Serving)
		n.completes()
		n.whileSlow(func() { flood([]target{n.target()}, job, tinySteps, nested, steps) })
		n.completes()
		n.check()
	})

	It("(i) whole bodies of many steps, while the table does not answer: hornbeam-node survives and runs jobs", func() {
		n := startNode(instance{memoryMiB: lowered.memoryMiB, descriptors: max(lowered.descriptors, 1200)}, platformtest.Serving)
		n.completes()
		n.table.SetFaultMode(platformtest.Silent)
		hurried := n.target()
		hurried.head += "Deadline-Ms: 2000\r\n"
		flood([]target{hurried}, manySteps)
		time.Sleep(2 * time.Second)
		n.table.SetFaultMode(platformtest.Serving)
		n.completes()
		n.check()
	})

	It("(i) whole bodies whose rows the table does not accept: hornbeam-node survives and accepts ordinary jobs meanwhile", func() {
		n := startNode(lowered, platformtest.Serving)
		n.table.SetMaxRow(64 << 10)
		n.completes()
		flood([]target{n.target()}, largeRow)
		n.completes()
		n.check()
	})

	It("(i) whole large bodies: hornbeam-gate survives and answers", func() {
		g := startGate(lowered, false)
		answered(g.submit, http.StatusOK, http.StatusAccepted)
		flood([]target{g.target(g.callers), g.target(g.operators)}, payload, nested, tinySteps)
		answered(g.submit, http.StatusOK, http.StatusAccepted)
		g.check()
	})

	It("(j) with TLS: hornbeam-gate survives and answers", func() {
		g := startGate(lowered, true)
		answered(g.submit, http.StatusOK, http.StatusAccepted)
		flood([]target{g.target(g.callers)}, whole, pieceByPart, largeChunks, smallChunks)
		answered(g.submit, http.StatusOK, http.StatusAccepted)
		g.check()
	})

	It("(l) a large legal request alone, over a slow link: hornbeam-node serves it", func() {
		n := startNode(lowered, platformtest.Serving)
		n.completes()
		link, stop := slowLink(n.front)
		DeferCleanup(stop)
		answered(func() int {
			return call(http.MethodPost, "http://"+link+"/cook/00000000000000fe", queueHost, queueHeader, job.pieces[0])
		}, http.StatusOK)
		n.check()
	})

	It("(k) answers that are not read: hornbeam-node survives and answers", func() {
		n := startNode(lowered, platformtest.Serving)
		n.completes()
		flood([]target{n.target(), page(n.ready), page(n.metrics)}, pipelined)
		n.completes()
		answered(n.readiness, http.StatusOK)
		n.check()
	})
})
