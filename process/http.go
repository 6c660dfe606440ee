package process

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/httpserve/limit"
)

const (
	// headerTimeout bounds the time in which a client sends its request header.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection of a client of the pages is
	// closed, headerBytes bounds its request header.
	idleTimeout = time.Minute
	headerBytes = 16 << 10
)

// ServeHTTP serves on the listener until the process stops. On drain every request
// in progress is answered.
func (p *Process) ServeHTTP(listener net.Listener, server *http.Server) {
	tracked := httpserve.New(server, p.log)
	p.OnDrain(func(ctx context.Context) { tracked.Drain(ctx, func(context.Context) {}) })
	p.ServeUntilStopped(tracked.Listen(listener, nil), tracked)
}

// HTTPServer is a server that ServeUntilStopped runs: Serve returns nil after the
// server has been drained or closed.
type HTTPServer interface {
	Serve(net.Listener) error
	Close() error
}

// ServeAdmin serves the admin pages at the address. They are served until the
// process stops, so that /readyz returns 503 during the drain.
func (p *Process) ServeAdmin(address string) error {
	return eris.Wrap(p.ServePages(address, p.adminPages()), "listening for the admin pages")
}

func (p *Process) listenForPages(address string) (net.Listener, error) {
	if p.limiter == nil {
		return net.Listen("tcp", address)
	}
	return p.limiter.Listen(limit.Pages, address)
}

// ServeUntilStopped serves on the listener until the server is drained or the
// process stops, and then closes it. It registers no drainer: the caller does that
// when the server has to drain.
func (p *Process) ServeUntilStopped(listener net.Listener, server HTTPServer) {
	p.group.Serve(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); err != nil {
			return err
		}
		// Serve returns when a drain closes the listener, before the connections end.
		<-ctx.Done()
		return eris.Wrap(server.Close(), "closing the HTTP server")
	})
}

// pages is the server of pages for machines, which are not drained.
type pages struct{ *http.Server }

// Serve implements HTTPServer.
func (s pages) Serve(listener net.Listener) error {
	return httpserve.ServeUntilClosed(s.Server, listener)
}

// ServePages serves pages for machines, such as the readiness page, at the address until the
// process stops.
func (p *Process) ServePages(address string, handler http.Handler) error {
	listener, err := p.listenForPages(address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
	if p.limiter != nil {
		p.limiter.LimitPages(server)
	}
	p.ServeUntilStopped(listener, pages{server})
	return nil
}

// adminPages returns the admin pages: /readyz for the load
// balancer, /healthz, /debug/vars for metrics, /debug/pprof/profile?seconds= for
// a CPU profile and PUT /debug/level?level= for the log level.
func (p *Process) adminPages() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", p.readyz)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("PUT /debug/level", p.setLevel)
	return mux
}

func (p *Process) readyz(w http.ResponseWriter, _ *http.Request) {
	if !p.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Process) setLevel(w http.ResponseWriter, r *http.Request) {
	if err := p.log.SetLevel(r.URL.Query().Get("level")); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
