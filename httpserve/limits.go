package httpserve

import (
	"context"
	"errors"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"github.com/hornbeamworks/hornbeam/httpserve/limit"
	"github.com/hornbeamworks/hornbeam/logging"
)

// LimitSettings are the limits on open requests and connections of a process, section
// [requests] of its settings. A limit of 0 is derived from the process's memory and
// descriptors.
type LimitSettings struct {
	// Bytes bounds what open request bodies hold, Bodies their number.
	Bytes  int64 `ini:"bytes" validate:"min=0,max=1099511627776"`
	Bodies int   `ini:"bodies" validate:"min=0,max=1000000"`
	// Connections bounds the open connections of clients.
	Connections int `ini:"connections" validate:"min=0,max=1000000"`
	// AddressShare is the fraction of each limit that one client address may use.
	AddressShare float64 `ini:"address_share" validate:"gt=0,max=1"`
	// MinRate is the minimum average rate of a body in bytes per second, StallTime the
	// longest time without a byte of it, and BodyTime its longest time.
	MinRate   int64         `ini:"min_rate" validate:"min=1,max=1048576"`
	StallTime time.Duration `ini:"stall_time" validate:"min=100ms,max=5m"`
	BodyTime  time.Duration `ini:"body_time" validate:"min=100ms,max=1h"`
}

// RuntimeSettings are the resources of a process, section [runtime] of its settings.
type RuntimeSettings struct {
	// Memory is the memory of the instance in MiB.
	Memory int64 `ini:"memory" validate:"min=32"`
}

const (
	// DefaultMemory is the memory in MiB of the smallest entry instance.
	DefaultMemory = 184
	// bytesPerBody is the average size of an open body by which their number is derived
	// from the budget of bytes.
	bytesPerBody = 64 << 10
	// bodyFactor is the number of bytes held for each byte of a body: the buffer grows by
	// doubling, and the decoded request is kept beside it.
	bodyFactor = 2
	// fileDescriptors is the number of descriptors that are left for files.
	fileDescriptors = 200
	// defaultMinRate and defaultStallTime let the largest legal body, 262,144 bytes, take
	// 4 min 31 s; the stall time is the time for which a client may be idle.
	defaultMinRate   = 1 << 10
	defaultStallTime = 15 * time.Second
	defaultBodyTime  = 5 * time.Minute
	// defaultAddressShare leaves a quarter to other clients. Callers may all come from one
	// address, that of a balancer.
	defaultAddressShare = 0.75
	// idleGrace is the time without bytes after which a connection may make room for
	// another one. Callers send a header and a usual body in one round trip.
	idleGrace = time.Second
	// discardTime is the time in which a refused client may send the rest of its body, so
	// that it receives the answer.
	discardTime = 500 * time.Millisecond
	// RetryAfter is the time after which a refused client should retry: by then stalled
	// clients have been evicted.
	RetryAfter = time.Second
	// linesPerSecond and lineBurst bound the log lines about refused clients: a flood refuses
	// thousands of them per second.
	linesPerSecond, lineBurst = 5, 20
)

// DefaultLimitSettings returns settings whose limits no client reaches that keeps to the
// limits on headers, bodies and idle time.
func DefaultLimitSettings() LimitSettings {
	return LimitSettings{
		AddressShare: defaultAddressShare, MinRate: defaultMinRate, StallTime: defaultStallTime, BodyTime: defaultBodyTime,
	}
}

// refusals is the expvar map "open_requests_refused": clients that were refused or
// evicted, by "KIND_CAUSE".
var refusals = expvar.NewMap("open_requests_refused")

// Refused is the error of a read from the body of a request that is refused since a limit
// on open requests is reached. The request has not run.
type Refused struct{ Cause limit.Cause }

// Error implements error.
func (r *Refused) Error() string { return "too many open requests: " + string(r.Cause) }

// IsRefused reports whether the body was not read because a limit on open requests is
// reached.
func IsRefused(err error) bool {
	var refused *Refused
	return errors.As(err, &refused)
}

// Limiter holds the limits of a process on open requests.
type Limiter struct {
	settings LimitSettings
	log      *logging.Logger
	budget   *limit.Budget
	instance limit.Instance
	// lines limits the log lines, refused counts the refusals.
	lines   *rate.Limiter
	refused atomic.Int64
}

// NewLimiter returns the limits of a process with the memory in MiB.
func NewLimiter(s LimitSettings, memory int64, log *logging.Logger) *Limiter {
	l := &Limiter{
		settings: s, log: log,
		instance: limit.Instance{Memory: memory << 20, Sockets: socketDescriptors(), Unread: unreadBytes()},
		lines:    rate.NewLimiter(linesPerSecond, lineBurst),
	}
	if l.settings.Bytes == 0 {
		l.settings.Bytes = l.instance.BodyBytes()
	}
	if l.settings.Bodies == 0 {
		l.settings.Bodies = int(l.settings.Bytes / bytesPerBody)
	}
	if l.settings.Connections == 0 {
		l.settings.Connections = l.instance.Connections(limit.Callers)
	}
	l.budget = limit.NewBudget(l.bodySettings(l.settings.Bytes, l.settings.Bodies, bodyFactor))
	return l
}

func (l *Limiter) bodySettings(bytes int64, count int, factor int64) limit.BodySettings {
	return limit.BodySettings{
		Bytes: bytes, Count: count, AddressShare: l.settings.AddressShare, Factor: factor,
		MinRate: l.settings.MinRate, StallTime: l.settings.StallTime, BodyTime: l.settings.BodyTime,
	}
}

// HeapBytes returns the memory limit of the Go runtime.
func (l *Limiter) HeapBytes() int64 { return l.instance.HeapBytes() }

// PeerBudget returns a budget for the messages of peers, which callers can't use up. The
// decoder of package gob allocates the announced size of a message before it arrives.
func (l *Limiter) PeerBudget() *limit.Budget {
	bytes := l.instance.MessageBytes()
	settings := l.bodySettings(bytes, int(bytes/bytesPerBody), 1)
	settings.Reserve = true
	return limit.NewBudget(settings)
}

// socketDescriptors returns the number of descriptors for sockets.
func socketDescriptors() int {
	var most syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &most); err != nil {
		return fileDescriptors
	}
	files := min(fileDescriptors, most.Cur/2)
	return int(min(most.Cur-files, 1<<20))
}

// Record counts a refusal and logs it, with the number of all refusals so far.
func (l *Limiter) Record(kind limit.Kind, cause limit.Cause, address string) {
	refusals.Add(string(kind)+"_"+string(cause), 1)
	refused := l.refused.Add(1)
	if !l.lines.Allow() {
		return
	}
	bodies, bytes := l.budget.Used()
	l.log.Warn("open_request_refused", slog.String("kind", string(kind)), slog.String("cause", string(cause)),
		slog.String("address", address), slog.Int("bodies", bodies), slog.Int64("bytes", bytes), slog.Int64("refused", refused))
}

// Limit returns a listener for clients of the kind with a bounded number of connections. A
// connection beyond it is closed, or another one that is idle.
func (l *Limiter) Limit(kind limit.Kind, socket net.Listener) net.Listener {
	return &limitedListener{Listener: socket, limiter: l, kind: kind, table: limit.NewTable(l.connections(kind), l.settings.AddressShare)}
}

// connections returns the number of connections that a listener of the kind may have.
func (l *Limiter) connections(kind limit.Kind) int {
	switch kind {
	case limit.Callers:
		return l.settings.Connections
	case limit.Peers:
		return l.instance.Connections(kind)
	default:
		return max(1, min(l.instance.Connections(kind), l.settings.Connections))
	}
}

// LimitPages applies the limits on bodies to a server of pages.
func (l *Limiter) LimitPages(server *http.Server) {
	server.Handler = l.Handler(server.Handler)
	server.ConnContext = withConn
}

// Handler returns a handler whose requests' bodies are read within the limits. A read from
// a body beyond them returns a Refused error.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection := limitedConn(r.Context())
		if connection != nil {
			defer func() { connection.entry.SetBusy(time.Now(), false) }()
		}
		if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
			connection.setBusy()
			next.ServeHTTP(w, r)
			return
		}
		b := &limitedBody{
			ReadCloser: r.Body, limiter: l, address: ClientOf(r.RemoteAddr), declared: r.ContentLength,
			connection: connection, writer: w, control: http.NewResponseController(w),
		}
		// Also a body that is not read has to end, before the answer is written.
		b.setReadDeadline(time.Now().Add(l.settings.StallTime))
		defer b.end()
		limited := r.WithContext(context.WithValue(r.Context(), bodyKey{}, b))
		limited.Body = b
		next.ServeHTTP(w, limited)
	})
}
