// Package httpapi is the HTTP front end of package gate: JSON over net/http.
//
//	POST   /v1/requests?wait=10s       submits a request (a model.Spec)
//	GET    /v1/requests/{id}?wait=10s  returns its answer (a model.Answer)
//	DELETE /v1/requests/{id}           cancels it
//	GET    /v1/requests/{id}/explain   explains why it waits (a gate.Account)
//	GET    /v1/status                  returns the state of the fleet (a gate.Status)
//
// The key is sent as "Authorization: Bearer KEY", the idempotency key as
// "Idempotency-Key". The HTTP status is derived from the result code; the code in
// the answer is authoritative. The handlers run on the server's goroutines and
// are stateless.
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

// Limits are the limits on connections, sizes and times of the HTTP server.
type Limits struct {
	// MaxConnections is the maximum number of open connections; further ones
	// wait to be accepted.
	MaxConnections int
	// MaxHeaderBytes and MaxBodyBytes bound the size of an HTTP request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout, BodyTimeout, IdleTimeout and WriteTimeout bound the time of
	// reading a header, reading a body, waiting for the next request on a
	// connection, and writing an answer.
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

// retryAfterSeconds is the Retry-After of answers with status 429 or 503.
const retryAfterSeconds = 1

// Server returns an HTTP server for the gate, with the limits' timeouts.
func Server(g *gate.Gate, limits Limits) *http.Server {
	return &http.Server{
		Handler:           Handler(g, limits),
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.HeaderTimeout + limits.BodyTimeout,
		WriteTimeout:      limits.HeaderTimeout + limits.BodyTimeout + g.MaxCallDuration() + limits.WriteTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
}

// Listen returns the listener limited to MaxConnections open connections.
func Listen(listener net.Listener, limits Limits) net.Listener {
	return netutil.LimitListener(listener, limits.MaxConnections)
}

// Handler returns the gate's HTTP handler.
func Handler(g *gate.Gate, limits Limits) http.Handler {
	api := &api{gate: g, limits: limits}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", api.serve(gate.VerbSubmit, api.submit))
	mux.HandleFunc("GET /v1/requests/{id}", api.serve(gate.VerbRead, api.await))
	mux.HandleFunc("DELETE /v1/requests/{id}", api.serve(gate.VerbCancel, api.cancel))
	mux.HandleFunc("GET /v1/requests/{id}/explain", api.explain)
	mux.HandleFunc("GET /v1/status", api.status)
	return mux
}

// api holds the dependencies of the handlers. It is read-only.
type api struct {
	gate   *gate.Gate
	limits Limits
}

// operation is the part of a handler that runs after admission.
type operation func(call *gate.Call, w http.ResponseWriter, r *http.Request) model.Answer

// serve returns a handler that admits the caller, runs op and writes the answer.
func (a *api) serve(verb gate.Verb, op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, a.limits.MaxBodyBytes)
		answer := a.answer(w, r, verb, op)
		a.write(w, result.Code(answer.Code), answer)
	}
}

func (a *api) answer(w http.ResponseWriter, r *http.Request, verb gate.Verb, op operation) model.Answer {
	call, problem := a.admit(r, verb)
	if problem != nil {
		return refusal(verb, problem)
	}
	defer call.End()
	answer := op(call, w, r)
	if call.KeyWithdrawn() {
		w.Header().Set("Connection", "close")
	}
	return answer
}

// admit admits the caller with the key in the request's header.
func (a *api) admit(r *http.Request, verb gate.Verb) (*gate.Call, *result.Error) {
	secret, problem := DecodeSecret(r.Header)
	if problem != nil {
		return nil, problem
	}
	return a.gate.Admit(r.Context(), secret, verb)
}

func (a *api) submit(call *gate.Call, w http.ResponseWriter, r *http.Request) model.Answer {
	wait, problem := DecodeWait(r.URL.Query().Get("wait"))
	if problem != nil {
		return refusal(gate.VerbSubmit, problem)
	}
	spec, problem := DecodeSpec(r.Body)
	if problem != nil {
		return refusal(gate.VerbSubmit, problem)
	}
	clearReadDeadline(w)
	keys := r.Header.Values("Idempotency-Key")
	if len(keys) != 1 {
		return refusal(gate.VerbSubmit, &result.Error{Code: result.Malformed, Reason: "there is not exactly one Idempotency-Key"})
	}
	return call.Submit(model.IdempotencyKey(keys[0]), spec, wait)
}

func (a *api) await(call *gate.Call, w http.ResponseWriter, r *http.Request) model.Answer {
	wait, problem := DecodeWait(r.URL.Query().Get("wait"))
	if problem != nil {
		return refusal(gate.VerbRead, problem)
	}
	clearReadDeadline(w)
	return call.Await(model.RequestID(r.PathValue("id")), wait)
}

func (a *api) cancel(call *gate.Call, w http.ResponseWriter, r *http.Request) model.Answer {
	clearReadDeadline(w)
	return call.Cancel(model.RequestID(r.PathValue("id")))
}

// clearReadDeadline removes the read deadline after the request has been read.
// Otherwise the server would treat the deadline's expiry as a disconnect of the
// client.
func clearReadDeadline(w http.ResponseWriter) {
	// The error is ignored: a test's recorder does not support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// write sends the body as JSON with the HTTP status of the code.
func (a *api) write(w http.ResponseWriter, code result.Code, body any) {
	// The error is ignored: a test's recorder does not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(a.limits.WriteTimeout))
	status := Status(code)
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(status)
	// A failed write is ignored: the client can read the answer again by its id.
	_ = json.NewEncoder(w).Encode(body)
}

// refusal returns the answer to a call that was not admitted or could not be
// decoded. Ran is Unknown unless the call was a submission, since a refused read
// or cancel says nothing about the work.
func refusal(verb gate.Verb, problem *result.Error) model.Answer {
	answer := result.Answer("", problem.Code, problem.Reason)
	if verb != gate.VerbSubmit {
		answer.Ran = model.Unknown
	}
	return answer
}

// Drain refuses new calls with a result code for at least linger and waits for those
// in flight to end. It returns when that is done or ctx ends.
func Drain(ctx context.Context, g *gate.Gate, linger time.Duration) {
	lingerCtx, cancel := context.WithTimeout(ctx, linger)
	defer cancel()
	g.Drain(ctx)
	<-lingerCtx.Done()
}
