package limit

// Kind is the kind of the clients of a listener. It is used in logs and metrics.
type Kind string

// The kinds of clients: callers, operators, other instances, and clients of the readiness
// and the admin pages, which have a listener each.
const (
	Callers   Kind = "connection"
	Operators Kind = "operator"
	Peers     Kind = "peer"
	Pages     Kind = "page"
)

// Instance is what a process has of its entry instance. Its methods divide it among what
// clients can make the process hold, so that all limits together stay below it: an eighth
// of the memory is for open bodies, an eighth for messages of peers and three eighths for
// connections. The rest is the process's own.
type Instance struct {
	// Memory is in bytes.
	Memory int64
	// Sockets is the number of descriptors for sockets.
	Sockets int
	// Unread is the number of bytes that the kernel accepts for a connection before the
	// process reads them. They are part of the instance's memory.
	Unread int64
}

const (
	// bodiesDivisor and messagesDivisor are the divisors of the memory for bodies and for
	// messages of peers, connectionEighths the number of eighths for connections.
	bodiesDivisor, messagesDivisor, connectionEighths = 8, 8, 3
	// connectionBytes is what a process needs for a connection: a header of 16 KiB, two
	// buffers of 4 KiB, and the stack of its goroutine.
	connectionBytes = 32 << 10
	// queueDivisor is the divisor of a listener's connections for those that wait to be
	// accepted, minQueue their smallest number.
	queueDivisor, minQueue = 2, 16
)

// share is the part of the connections of a process that one listener may have, in
// sixteenths: of the memory for connections, and of the descriptors, of which an eighth is
// left for the connections that the process itself opens.
type share struct{ memory, sockets int64 }

const sixteenths = 16

var shares = map[Kind]share{
	Callers:   {memory: 8, sockets: 8},
	Operators: {memory: 1, sockets: 2},
	Peers:     {memory: 5, sockets: 2},
	Pages:     {memory: 1, sockets: 1},
}

// HeapBytes returns the size from which the heap is collected more often. What clients can
// make a process hold on the heap, and the process's own state, stay below it on usual days.
func (i Instance) HeapBytes() int64 { return i.Memory / 2 }

// BodyBytes returns the bytes that the open bodies of callers and operators may hold.
func (i Instance) BodyBytes() int64 { return i.Memory / bodiesDivisor }

// MessageBytes returns the bytes that the messages of peers may hold.
func (i Instance) MessageBytes() int64 { return i.Memory / messagesDivisor }

// Connections returns the number of connections that a listener of the kind may have.
func (i Instance) Connections(kind Kind) int {
	s := shares[kind]
	// Connections that wait to be accepted have unread bytes only.
	each := connectionBytes + i.Unread + i.Unread/queueDivisor
	byMemory := i.Memory * connectionEighths / 8 / each * s.memory / sixteenths
	bySockets := int64(i.Sockets) * s.sockets / sixteenths
	return int(max(1, min(byMemory, bySockets)))
}

// Queue returns the number of connections that may wait to be accepted at a listener with
// the given number of connections.
func Queue(connections int) int { return max(minQueue, connections/queueDivisor) }
