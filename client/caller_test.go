package client_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/client"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// id is the id of the request in all tests.
const id model.RequestID = "0-abc-fd1"

// response writes one response of a scriptedEntry.
type response func(w http.ResponseWriter)

// answers writes an answer with the code and the id of the request.
func answers(code result.Code) response {
	return func(w http.ResponseWriter) {
		_ = json.NewEncoder(w).Encode(result.Answer(id, code, ""))
	}
}

// refuses writes an answer with the code and without an id, as an entry instance
// does when it refuses a call itself.
func refuses(code result.Code) response {
	return func(w http.ResponseWriter) {
		_ = json.NewEncoder(w).Encode(result.Answer("", code, ""))
	}
}

// dropConnection closes the connection without a response.
func dropConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// replyRaw writes the text as the response body.
func replyRaw(text string) response {
	return func(w http.ResponseWriter) { _, _ = w.Write([]byte(text)) }
}

// scriptedEntry is a fake entry instance that writes the responses of its script
// in order and repeats the last one.
type scriptedEntry struct {
	// mu guards the other fields: the server calls from its own goroutines.
	mu      sync.Mutex
	script  []response
	methods []string
	keys    []string
}

func (e *scriptedEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	next := e.script[0]
	if len(e.script) > 1 {
		e.script = e.script[1:]
	}
	e.methods = append(e.methods, r.Method)
	if r.Method == http.MethodPost {
		e.keys = append(e.keys, r.Header.Get("Idempotency-Key"))
	}
	e.mu.Unlock()
	next(w)
}

// calls returns the HTTP methods and idempotency keys of the calls so far.
func (e *scriptedEntry) calls() (methods, keys []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.methods), slices.Clone(e.keys)
}

// runScript submits a request through a Caller to an entry instance with the
// script.
func runScript(timeout time.Duration, script ...response) (client.Conclusion, *scriptedEntry) {
	e := &scriptedEntry{script: script}
	server := httptest.NewServer(e)
	DeferCleanup(server.Close)
	entries := []*client.Client{client.New(server.URL, "secret", server.Client())}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return client.NewCaller(entries, time.Second).Do(ctx, "lot-7", model.Spec{Class: "screen"}), e
}

const (
	// waitTimeout is reached only on failure, shortTimeout in the cases where the
	// caller gives up.
	waitTimeout  = 30 * time.Second
	shortTimeout = 300 * time.Millisecond
)

var _ = DescribeTable("A caller", func(timeout time.Duration, want client.Conclusion, methods []string, script ...response) {
	conclusion, e := runScript(timeout, script...)
	Expect(conclusion.Answer.Code).To(Equal(want.Answer.Code))
	Expect(conclusion.Accepted).To(Equal(want.Accepted))
	Expect(conclusion.Answered).To(Equal(want.Answered))
	Expect(conclusion.ID).To(Equal(want.ID))
	called, keys := e.calls()
	Expect(called[:len(methods)]).To(Equal(methods))
	Expect(keys).To(HaveEach("lot-7"))
},
	Entry("polls for the answer after the request is accepted", waitTimeout,
		client.Conclusion{ID: id, Accepted: true, Answered: true, Answer: model.Answer{Code: int(result.OK)}},
		[]string{"POST", "GET", "GET"}, answers(result.Pending), answers(result.Pending), answers(result.OK)),
	Entry("retries the submission with the same key when it got no response", waitTimeout,
		client.Conclusion{ID: id, Accepted: true, Answered: true, Answer: model.Answer{Code: int(result.OK)}},
		[]string{"POST", "POST"}, dropConnection, answers(result.OK)),
	Entry("retries when an entry instance temporarily can't serve it", waitTimeout,
		client.Conclusion{ID: id, Accepted: true, Answered: true, Answer: model.Answer{Code: int(result.OK)}},
		[]string{"POST", "POST", "POST", "GET"}, refuses(result.Draining), answers(result.HomeNotReached), answers(result.Pending), answers(result.OK)),
	Entry("treats a refusal as final when no earlier submission may have been accepted", waitTimeout,
		client.Conclusion{Answered: true, Answer: model.Answer{Code: int(result.BadKey)}},
		[]string{"POST"}, refuses(result.BadKey)),
	Entry("does not treat a refused key as final after a submission without a response", shortTimeout,
		client.Conclusion{Answer: model.Answer{Code: int(result.BadKey)}},
		[]string{"POST", "POST"}, dropConnection, refuses(result.BadKey)),
	Entry("continues to poll for an accepted request that is reported as unknown", waitTimeout,
		client.Conclusion{ID: id, Accepted: true, Answered: true, Answer: model.Answer{Code: int(result.OK)}},
		[]string{"POST", "GET", "GET"}, answers(result.Pending), answers(result.UnknownRequest), answers(result.OK)),
	Entry("ignores a response that is not from an entry instance", waitTimeout,
		client.Conclusion{ID: id, Accepted: true, Answered: true, Answer: model.Answer{Code: int(result.OK)}},
		[]string{"POST", "POST", "POST"}, replyRaw("{}"), replyRaw("<html>"), answers(result.OK)),
	Entry("gives up when its context ends", shortTimeout,
		client.Conclusion{ID: id, Accepted: true, Answer: model.Answer{Code: int(result.HomeUnreachable)}},
		[]string{"POST", "GET"}, answers(result.Pending), answers(result.HomeUnreachable)),
)

// FuzzAnswer checks that no response body crashes the client and that a body
// which is not valid JSON is never returned as an answer.
func FuzzAnswer(f *testing.F) {
	f.Add(`{"id":"0-abc-fd1","code":100,"ran":"ran","parts":[{"index":0,"output":"x"}]}`)
	f.Add(`{"code":1e9}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, reply string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { replyRaw(reply)(w) }))
		defer server.Close()
		c := client.New(server.URL, "", server.Client())
		answer, err := c.Await(context.Background(), id, 0)
		if err == nil && !json.Valid([]byte(reply)) {
			t.Fatalf("%q was decoded as %+v", reply, answer)
		}
	})
}
