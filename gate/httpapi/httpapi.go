// Package httpapi is the HTTP front of package gate: JSON over net/http.
//
//	POST   /v1/requests?wait=10s       hands in a request (a model.Spec)
//	GET    /v1/requests/{id}?wait=10s  asks for its answer (a model.Answer)
//	DELETE /v1/requests/{id}           cancels it
//	GET    /v1/requests/{id}/explain   says why it waits (a gate.Account)
//	GET    /v1/status                  says how the fleet stands (a gate.Status)
//
// The key comes as "Authorization: Bearer KEY", the caller's name for the
// request as "Idempotency-Key". The status is the result code's; the answer's
// code is what counts. The handlers run on the server's goroutines and keep no
// state.
package httpapi

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/net/netutil"

	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// Limits bound what a client may use of the server.
type Limits struct {
	// MaxConnections is the most connections at once; more wait to be
	// accepted.
	MaxConnections int
	// MaxHeaderBytes and MaxBodyBytes bound a request's size.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout, BodyTimeout, IdleTimeout and WriteTimeout bound the time
	// that a connection spends on reading a header, on reading a body, between
	// requests, and on writing an answer.
	HeaderTimeout, BodyTimeout, IdleTimeout, WriteTimeout time.Duration
}

// DefaultLimits returns the limits of an entry instance.
func DefaultLimits() Limits {
	return Limits{
		MaxConnections: 20000,
		MaxHeaderBytes: 16 << 10,
		MaxBodyBytes:   256 << 10,
		HeaderTimeout:  5 * time.Second,
		BodyTimeout:    10 * time.Second,
		IdleTimeout:    time.Minute,
		WriteTimeout:   10 * time.Second,
	}
}

// retryAfterSeconds is what a client is told that may come again.
const retryAfterSeconds = 1

// Server returns the HTTP server of the gate.
func Server(g *gate.Gate, limits Limits) *http.Server {
	return &http.Server{
		Handler:           Handler(g, limits),
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.HeaderTimeout + limits.BodyTimeout,
		WriteTimeout:      limits.HeaderTimeout + limits.BodyTimeout + g.LongestVisit() + limits.WriteTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
}

// Listen bounds the connections that are accepted from the listener.
func Listen(listener net.Listener, limits Limits) net.Listener {
	return netutil.LimitListener(listener, limits.MaxConnections)
}

// Handler returns the HTTP interface of the gate.
func Handler(g *gate.Gate, limits Limits) http.Handler {
	api := &api{gate: g, limits: limits}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", api.serve(gate.Submitting, api.submit))
	mux.HandleFunc("GET /v1/requests/{id}", api.serve(gate.Reading, api.await))
	mux.HandleFunc("DELETE /v1/requests/{id}", api.serve(gate.Cancelling, api.cancel))
	mux.HandleFunc("GET /v1/requests/{id}/explain", api.explain)
	mux.HandleFunc("GET /v1/status", api.status)
	return mux
}

// api holds what handlers need; it is read-only.
type api struct {
	gate   *gate.Gate
	limits Limits
}

// work is what one handler does with an admitted caller.
type work func(v *gate.Visit, w http.ResponseWriter, r *http.Request) model.Answer

// serve admits the caller, does the work and writes the answer.
func (a *api) serve(verb gate.Verb, do work) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, a.limits.MaxBodyBytes)
		answer := a.answer(w, r, verb, do)
		a.write(w, result.Code(answer.Code), answer)
	}
}

func (a *api) answer(w http.ResponseWriter, r *http.Request, verb gate.Verb, do work) model.Answer {
	visit, problem := a.enter(r, verb)
	if problem != nil {
		return refusal(verb, problem)
	}
	defer visit.Leave()
	answer := do(visit, w, r)
	if visit.Withdrawn() {
		w.Header().Set("Connection", "close")
	}
	return answer
}

// enter admits the caller with the key of the request.
func (a *api) enter(r *http.Request, verb gate.Verb) (*gate.Visit, *result.Error) {
	secret, problem := DecodeSecret(r.Header)
	if problem != nil {
		return nil, problem
	}
	return a.gate.Enter(r.Context(), secret, verb)
}

func (a *api) submit(v *gate.Visit, w http.ResponseWriter, r *http.Request) model.Answer {
	wait, problem := DecodeWait(r.URL.Query().Get("wait"))
	if problem != nil {
		return refusal(gate.Submitting, problem)
	}
	spec, problem := DecodeSpec(r.Body)
	if problem != nil {
		return refusal(gate.Submitting, problem)
	}
	endReading(w)
	keys := r.Header.Values("Idempotency-Key")
	if len(keys) != 1 {
		return refusal(gate.Submitting, &result.Error{Code: result.Malformed, Reason: "there is not exactly one Idempotency-Key"})
	}
	return v.Submit(model.IdempotencyKey(keys[0]), spec, wait)
}

func (a *api) await(v *gate.Visit, w http.ResponseWriter, r *http.Request) model.Answer {
	wait, problem := DecodeWait(r.URL.Query().Get("wait"))
	if problem != nil {
		return refusal(gate.Reading, problem)
	}
	endReading(w)
	return v.Await(model.RequestID(r.PathValue("id")), wait)
}

func (a *api) cancel(v *gate.Visit, w http.ResponseWriter, r *http.Request) model.Answer {
	endReading(w)
	return v.Cancel(model.RequestID(r.PathValue("id")))
}

// endReading lifts the time limit on reading the request once it has been read:
// the server would otherwise take its end for the client's leaving.
func endReading(w http.ResponseWriter) {
	// A server without deadlines (a test's recorder) has none to lift.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// write sends the body with the code's status.
func (a *api) write(w http.ResponseWriter, code result.Code, body any) {
	// A server without deadlines (a test's recorder) leaves them out.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(a.limits.WriteTimeout))
	status := Status(code)
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(status)
	// An answer that the client does not take is asked for again by its id.
	_ = json.NewEncoder(w).Encode(body)
}

// refusal is the answer to a caller who was not admitted or not understood. To
// one who did not hand in work it says nothing about the work.
func refusal(verb gate.Verb, problem *result.Error) model.Answer {
	answer := result.Answer("", problem.Code, problem.Reason)
	if verb != gate.Submitting {
		answer.Ran = model.Unknown
	}
	return answer
}

// Drain refuses new requests with a code for as long as linger, lets the waiting
// ones finish and closes the server. It returns when that is done or ctx ends.
func Drain(ctx context.Context, g *gate.Gate, server *http.Server, linger time.Duration) {
	lingering, cancel := context.WithTimeout(ctx, linger)
	defer cancel()
	g.Drain(ctx)
	<-lingering.Done()
	_ = server.Shutdown(ctx)
}
