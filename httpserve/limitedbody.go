package httpserve

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamworks/hornbeam/httpserve/limit"
)

// bodyKey is the key of a request's limited body in its context.
type bodyKey struct{}

// Hold charges the request for further bytes, which it holds until its handler returns:
// what has been decoded from a body may be larger than the body. It returns a Refused
// error if the budget does not suffice.
func Hold(r *http.Request, bytes int64) error {
	b, _ := r.Context().Value(bodyKey{}).(*limitedBody)
	if b == nil || b.entry == nil {
		return nil
	}
	cause, evicted := b.limiter.budget.Hold(time.Now(), b.entry, bytes)
	limit.AbortAll(evicted)
	if cause != limit.None {
		return b.refuse(cause)
	}
	return nil
}

// limitedBody is the body of a request.
type limitedBody struct {
	io.ReadCloser
	limiter    *Limiter
	address    string
	declared   int64
	connection *LimitedConn
	writer     http.ResponseWriter
	control    *http.ResponseController

	// entry is nil until the first read. received is the number of bytes read, and failure
	// the error of all further reads. They are used by the handler only.
	entry    *limit.Body
	received int64
	failure  error

	// mu guards aborted: another request's goroutine aborts the read.
	mu      sync.Mutex
	aborted bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.failure != nil {
		return 0, b.failure
	}
	if err := b.open(); err != nil {
		return 0, err
	}
	b.setReadDeadline(b.limiter.budget.Deadline(b.entry))
	n, err := b.ReadCloser.Read(p)
	if b.isAborted() {
		return 0, b.refuse(limit.Evicted)
	}
	if n > 0 {
		cause, evicted := b.limiter.budget.Received(time.Now(), b.entry, n)
		limit.AbortAll(evicted)
		if cause != limit.None {
			return 0, b.refuse(cause)
		}
		b.received += int64(n)
		if b.received > limit.SmallBytes {
			b.connection.EnlargeBuffer(b.limiter.budget, b.entry)
		}
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		if !b.limiter.budget.Whole(b.entry) {
			return 0, b.refuse(limit.Evicted)
		}
		// A read deadline that is set later would end the wait for a disconnect.
		b.failure = io.EOF
		b.connection.setBusy()
	case isTimeout(err):
		b.failure = err
		b.limiter.Record("body", limit.BodyTime, b.address)
	}
	return n, err
}

// open admits the body before its first read.
func (b *limitedBody) open() error {
	if b.entry != nil {
		return nil
	}
	entry, cause, evicted := b.limiter.budget.Open(time.Now(), b.address, b.declared, b.abort)
	limit.AbortAll(evicted)
	if cause != limit.None {
		return b.refuse(cause)
	}
	b.entry = entry
	return nil
}

// refuse returns the error of this and all further reads. The connection is closed after
// the answer, so that the rest of the body is not read.
func (b *limitedBody) refuse(cause limit.Cause) error {
	b.limiter.Record("body", cause, b.address)
	b.failure = &Refused{Cause: cause}
	b.writer.Header().Set("Connection", "close")
	return b.failure
}

// abort ends the read of the body from another goroutine.
func (b *limitedBody) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.aborted = true
	_ = b.control.SetReadDeadline(time.Now())
}

func (b *limitedBody) isAborted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.aborted
}

// setReadDeadline sets the deadline unless the body has been aborted. The error is
// ignored: a test's recorder does not support deadlines.
func (b *limitedBody) setReadDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.aborted {
		_ = b.control.SetReadDeadline(t)
	}
}

// end releases what the body holds. The rest of a refused one is discarded for a short
// time, so that the client receives the answer.
func (b *limitedBody) end() {
	if IsRefused(b.failure) {
		b.mu.Lock()
		_ = b.control.SetReadDeadline(time.Now().Add(discardTime))
		b.aborted = true
		b.mu.Unlock()
	}
	if b.entry != nil {
		b.connection.RestoreBuffer()
		b.limiter.budget.Close(b.entry)
	}
}
