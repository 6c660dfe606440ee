// Package client is the callers' side of the HTTP interface of entry instances.
// Client makes single calls; Caller carries one request to its end through any
// of several entry instances, as caller.scxml has it.
package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/model"
)

// ErrNoAnswer means that no answer came that could be read: the call may or may
// not have taken effect.
var ErrNoAnswer = eris.New("no answer from the entry instance")

const (
	// maxReplyBytes bounds what is read of one reply.
	maxReplyBytes = 64 << 20
	// callTimeout bounds a call beyond the time that it was asked to wait.
	callTimeout = 20 * time.Second
)

// Client calls one entry instance with one key.
type Client struct {
	base   string
	secret string
	http   *http.Client
}

// New returns a client of the entry instance at base, a URL without a path.
// secret is the key; empty for open classes.
func New(base, secret string, c *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), secret: secret, http: c}
}

// Submit hands in the request and waits for its answer for as long as wait.
func (c *Client) Submit(ctx context.Context, key model.IdempotencyKey, spec model.Spec, wait time.Duration) (model.Answer, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return model.Answer{}, eris.Wrap(err, "encoding the request")
	}
	var answer model.Answer
	err = c.call(ctx, call{
		method: http.MethodPost, path: "/v1/requests" + waitQuery(wait),
		key: key, body: string(body), wait: wait,
	}, &answer)
	return answer, err
}

// Await asks for the answer to the request for as long as wait.
func (c *Client) Await(ctx context.Context, id model.RequestID, wait time.Duration) (model.Answer, error) {
	var answer model.Answer
	err := c.call(ctx, call{method: http.MethodGet, path: requestPath(id) + waitQuery(wait), wait: wait}, &answer)
	return answer, err
}

// Cancel ends the request.
func (c *Client) Cancel(ctx context.Context, id model.RequestID) (model.Answer, error) {
	var answer model.Answer
	err := c.call(ctx, call{method: http.MethodDelete, path: requestPath(id)}, &answer)
	return answer, err
}

// Explain says where the request stands.
func (c *Client) Explain(ctx context.Context, id model.RequestID) (gate.Account, error) {
	var account gate.Account
	err := c.call(ctx, call{method: http.MethodGet, path: requestPath(id) + "/explain"}, &account)
	return account, err
}

// Status says how the fleet stands. A refusal comes as the answer that is not
// nil.
func (c *Client) Status(ctx context.Context) (gate.Status, *model.Answer, error) {
	var reply struct {
		gate.Status
		model.Answer
	}
	if err := c.call(ctx, call{method: http.MethodGet, path: "/v1/status"}, &reply); err != nil {
		return gate.Status{}, nil, err
	}
	if reply.Code != 0 {
		return gate.Status{}, &reply.Answer, nil
	}
	return reply.Status, nil, nil
}

// call is one HTTP call.
type call struct {
	method, path string
	key          model.IdempotencyKey
	body         string
	wait         time.Duration
}

func (c *Client) call(ctx context.Context, what call, into any) error {
	ctx, cancel := context.WithTimeout(ctx, what.wait+callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, what.method, c.base+what.path, strings.NewReader(what.body))
	if err != nil {
		return eris.Wrap(err, "making the call")
	}
	if c.secret != "" {
		request.Header.Set("Authorization", "Bearer "+c.secret)
	}
	if what.key != "" {
		request.Header.Set("Idempotency-Key", string(what.key))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(ErrNoAnswer, "%s %s: %v", what.method, what.path, err)
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response.Body, into)
}

// decode reads the one JSON value of a reply. A reply of another shape, as a
// balancer may send, is no answer.
func decode(body io.Reader, into any) error {
	raw, err := io.ReadAll(io.LimitReader(body, maxReplyBytes))
	if err != nil {
		return eris.Wrapf(ErrNoAnswer, "reading the reply: %v", err)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return eris.Wrapf(ErrNoAnswer, "the reply is no JSON: %v", err)
	}
	return nil
}

func requestPath(id model.RequestID) string {
	return "/v1/requests/" + url.PathEscape(string(id))
}

func waitQuery(wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	return "?wait=" + url.QueryEscape(wait.String())
}
