// Package client is the client of the entry instances' HTTP interface. Client
// makes single calls; Caller retries a request across several entry instances
// until it is answered, as defined by the chart caller.scxml.
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

// ErrNoAnswer is returned when no valid answer was received. The outcome of the
// call is then unknown: it may or may not have taken effect.
var ErrNoAnswer = eris.New("no answer from the entry instance")

const (
	// maxReplyBytes is the maximum size of a response body.
	maxReplyBytes = 64 << 20
	// callTimeout bounds a call, in addition to the requested wait.
	callTimeout = 20 * time.Second
)

// Client calls one entry instance with one key.
type Client struct {
	base   string
	secret string
	http   *http.Client
}

// New returns a client of the entry instance at base, a URL without a path.
// secret is the secret of the caller's key; it may be empty for open classes.
func New(base, secret string, c *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), secret: secret, http: c}
}

// Submit submits the request and waits up to wait for its answer.
func (c *Client) Submit(ctx context.Context, key model.IdempotencyKey, spec model.Spec, wait time.Duration) (model.Answer, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return model.Answer{}, eris.Wrap(err, "encoding the request")
	}
	var answer model.Answer
	err = c.call(ctx, httpCall{
		method: http.MethodPost, path: "/v1/requests" + waitQuery(wait),
		key: key, body: string(body), wait: wait,
	}, &answer)
	return answer, err
}

// Await waits up to wait for the answer to the request.
func (c *Client) Await(ctx context.Context, id model.RequestID, wait time.Duration) (model.Answer, error) {
	var answer model.Answer
	err := c.call(ctx, httpCall{method: http.MethodGet, path: requestPath(id) + waitQuery(wait), wait: wait}, &answer)
	return answer, err
}

// Cancel cancels the request.
func (c *Client) Cancel(ctx context.Context, id model.RequestID) (model.Answer, error) {
	var answer model.Answer
	err := c.call(ctx, httpCall{method: http.MethodDelete, path: requestPath(id)}, &answer)
	return answer, err
}

// Explain returns the answer to the request, or why it waits.
func (c *Client) Explain(ctx context.Context, id model.RequestID) (gate.RequestReport, error) {
	var report gate.RequestReport
	err := c.call(ctx, httpCall{method: http.MethodGet, path: requestPath(id) + "/explain"}, &report)
	return report, err
}

// Status returns the state of the fleet. When the call is refused, the returned
// answer is not nil and has the reason.
func (c *Client) Status(ctx context.Context) (gate.Status, *model.Answer, error) {
	var reply struct {
		gate.Status
		model.Answer
	}
	if err := c.call(ctx, httpCall{method: http.MethodGet, path: "/v1/status"}, &reply); err != nil {
		return gate.Status{}, nil, err
	}
	if reply.Code != 0 {
		return gate.Status{}, &reply.Answer, nil
	}
	return reply.Status, nil, nil
}

// httpCall holds the parameters of one HTTP call.
type httpCall struct {
	method, path string
	key          model.IdempotencyKey
	body         string
	wait         time.Duration
}

func (c *Client) call(ctx context.Context, call httpCall, out any) error {
	ctx, cancel := context.WithTimeout(ctx, call.wait+callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, strings.NewReader(call.body))
	if err != nil {
		return eris.Wrap(err, "building the HTTP request")
	}
	if c.secret != "" {
		request.Header.Set("Authorization", "Bearer "+c.secret)
	}
	if call.key != "" {
		request.Header.Set("Idempotency-Key", string(call.key))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(ErrNoAnswer, "%s %s: %v", call.method, call.path, err)
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response.Body, out)
}

// decode decodes the JSON body of a response. A body that does not decode, such
// as an error page of a load balancer, is ErrNoAnswer.
func decode(body io.Reader, out any) error {
	raw, err := io.ReadAll(io.LimitReader(body, maxReplyBytes))
	if err != nil {
		return eris.Wrapf(ErrNoAnswer, "reading the response body: %v", err)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return eris.Wrapf(ErrNoAnswer, "response body is not valid JSON: %v", err)
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
