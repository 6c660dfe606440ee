// Package httpendpoint implements endpoint.Endpoint over HTTP and JSON.
//
// A Sync is a POST to /endpoints/ID/sync at the endpoint's address. Status 412
// means that the command was fenced, 422 that it was rejected. After any other
// failure the outcome of the command is unknown.
package httpendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
)

// HTTP statuses of commands that had no effect.
const (
	StatusFenced   = http.StatusPreconditionFailed
	StatusRejected = http.StatusUnprocessableEntity
)

// maxReplyBytes limits the size of a response body.
const maxReplyBytes = 16 << 20

// maxReasonBytes limits the length of an endpoint's error text in an error.
const maxReasonBytes = 200

// Client implements endpoint.Endpoint over HTTP.
type Client struct{ http *http.Client }

// New returns a Client that sends its requests with c.
func New(c *http.Client) *Client { return &Client{http: c} }

// Path returns the URL path for a Sync with the endpoint.
func Path(id model.EndpointID) string {
	return "/endpoints/" + url.PathEscape(string(id)) + "/sync"
}

// Sync implements endpoint.Endpoint.
func (c *Client) Sync(ctx context.Context, info model.EndpointInfo, request endpoint.SyncRequest) (endpoint.SyncReply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return endpoint.SyncReply{}, eris.Wrapf(err, "encoding Sync request for endpoint %s", info.ID)
	}
	raw, status, err := c.post(ctx, "http://"+info.Address+Path(info.ID), body)
	if err != nil {
		return endpoint.SyncReply{}, eris.Wrapf(endpoint.ErrUnavailable, "%s: %v", info.ID, err)
	}
	if err := statusError(status, info.ID, raw); err != nil {
		return endpoint.SyncReply{}, err
	}
	var reply endpoint.SyncReply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return endpoint.SyncReply{}, eris.Wrapf(endpoint.ErrUnavailable, "%s: unreadable reply: %v", info.ID, err)
	}
	return reply, nil
}

func (c *Client) post(ctx context.Context, target string, body []byte) (raw []byte, status int, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	raw, err = io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	return raw, response.StatusCode, err
}

// Status returns the HTTP status with which an endpoint reports err.
func Status(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case eris.Is(err, endpoint.ErrFenced):
		return StatusFenced
	case eris.Is(err, endpoint.ErrRejected):
		return StatusRejected
	default:
		return http.StatusServiceUnavailable
	}
}

func statusError(status int, id model.EndpointID, raw []byte) error {
	reason := string(raw[:min(len(raw), maxReasonBytes)])
	switch status {
	case http.StatusOK:
		return nil
	case StatusFenced:
		return eris.Wrapf(endpoint.ErrFenced, "%s: %s", id, reason)
	case StatusRejected:
		return eris.Wrapf(endpoint.ErrRejected, "%s: %s", id, reason)
	default:
		return eris.Wrapf(endpoint.ErrUnavailable, "%s: status %d", id, status)
	}
}
