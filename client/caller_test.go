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

// id is the request's id in all tests.
const id model.RequestID = "0-abc-fd1"

// step is one reply of a scripted entry instance.
type step func(w http.ResponseWriter)

func says(code result.Code) step {
	return func(w http.ResponseWriter) {
		_ = json.NewEncoder(w).Encode(result.Answer(id, code, ""))
	}
}

// refuses is a refusal by the entry instance itself, which names no request.
func refuses(code result.Code) step {
	return func(w http.ResponseWriter) {
		_ = json.NewEncoder(w).Encode(result.Answer("", code, ""))
	}
}

// hangUp closes the connection without a reply.
func hangUp(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// raw replies with the text.
func raw(text string) step {
	return func(w http.ResponseWriter) { _, _ = w.Write([]byte(text)) }
}

// entry is an entry instance that replies by its script, and with the last step
// for ever.
type entry struct {
	// mu guards the rest: the server calls from its own goroutines.
	mu      sync.Mutex
	script  []step
	methods []string
	keys    []string
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// seen returns the methods and idempotency keys of the calls so far.
func (e *entry) seen() (methods, keys []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.methods), slices.Clone(e.keys)
}

// do carries a request through an entry instance with the script.
func do(timeout time.Duration, script ...step) (client.Conclusion, *entry) {
	e := &entry{script: script}
	server := httptest.NewServer(e)
	DeferCleanup(server.Close)
	entries := []*client.Client{client.New(server.URL, "secret", server.Client())}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return client.NewCaller(entries, time.Second).Do(ctx, "lot-7", model.Spec{Class: "screen"}), e
}

const (
	// generous is reached only by a failure, short by callers that give up.
	generous = 30 * time.Second
	short    = 300 * time.Millisecond
)

var _ = DescribeTable("A caller", func(timeout time.Duration, want client.Conclusion, methods []string, script ...step) {
	conclusion, e := do(timeout, script...)
	Expect(conclusion.Answer.Code).To(Equal(want.Answer.Code))
	Expect(conclusion.Accepted).To(Equal(want.Accepted))
	Expect(conclusion.Answered).To(Equal(want.Answered))
	Expect(conclusion.ID).To(Equal(want.ID))
	called, keys := e.seen()
	Expect(called[:len(methods)]).To(Equal(methods))
	Expect(keys).To(HaveEach("lot-7"))
},
	Entry("waits for the answer once it is accepted", generous,
		client.Conclusion{ID: id, Accepted: true, Answered: true, Answer: model.Answer{Code: int(result.OK)}},
		[]string{"POST", "GET", "GET"}, says(result.Pending), says(result.Pending), says(result.OK)),
	Entry("hands in again with the same key when no reply came", generous,
		client.Conclusion{ID: id, Accepted: true, Answered: true, Answer: model.Answer{Code: int(result.OK)}},
		[]string{"POST", "POST"}, hangUp, says(result.OK)),
	Entry("goes elsewhere when an entry instance can't serve it now", generous,
		client.Conclusion{ID: id, Accepted: true, Answered: true, Answer: model.Answer{Code: int(result.OK)}},
		[]string{"POST", "POST", "POST", "GET"}, refuses(result.Draining), says(result.HomeNotReached), says(result.Pending), says(result.OK)),
	Entry("takes a refusal for final when nothing was accepted before", generous,
		client.Conclusion{Answered: true, Answer: model.Answer{Code: int(result.BadKey)}},
		[]string{"POST"}, refuses(result.BadKey)),
	Entry("does not take a wrong key for not run after a submission without a reply", short,
		client.Conclusion{Answer: model.Answer{Code: int(result.BadKey)}},
		[]string{"POST", "POST"}, hangUp, refuses(result.BadKey)),
	Entry("goes on asking for an accepted request that is said to be unknown", generous,
		client.Conclusion{ID: id, Accepted: true, Answered: true, Answer: model.Answer{Code: int(result.OK)}},
		[]string{"POST", "GET", "GET"}, says(result.Pending), says(result.UnknownRequest), says(result.OK)),
	Entry("does not believe a reply that no entry instance wrote", generous,
		client.Conclusion{ID: id, Accepted: true, Answered: true, Answer: model.Answer{Code: int(result.OK)}},
		[]string{"POST", "POST", "POST"}, raw("{}"), raw("<html>"), says(result.OK)),
	Entry("gives up at the end of its time", short,
		client.Conclusion{ID: id, Accepted: true, Answer: model.Answer{Code: int(result.HomeUnreachable)}},
		[]string{"POST", "GET"}, says(result.Pending), says(result.HomeUnreachable)),
)

// FuzzAnswer checks that no reply makes the client fail or believe in an answer
// without a known code.
func FuzzAnswer(f *testing.F) {
	f.Add(`{"id":"0-abc-fd1","code":100,"ran":"ran","parts":[{"index":0,"output":"x"}]}`)
	f.Add(`{"code":1e9}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, reply string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { raw(reply)(w) }))
		defer server.Close()
		c := client.New(server.URL, "", server.Client())
		answer, err := c.Await(context.Background(), id, 0)
		if err == nil && !json.Valid([]byte(reply)) {
			t.Fatalf("%q was read as %+v", reply, answer)
		}
	})
}
