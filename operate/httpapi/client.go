package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/operate"
	"github.com/hornbeamworks/hornbeam/result"
)

const (
	// maxReplyBytes limits the size of one reply.
	maxReplyBytes = 64 << 20
	// callTimeout limits one call to one entry instance.
	callTimeout = 15 * time.Second
)

// ErrNoAnswer is returned when no entry instance gave an answer that could be
// decoded. The outcome of a change is then unknown.
var ErrNoAnswer = eris.New("no entry instance answered")

// Client calls the operators' interface. It tries the entry instances in order
// until one serves the call.
type Client struct {
	baseURLs []string
	secret   string
	http     *http.Client
}

// NewClient returns a client for the entry instances at baseURLs, which have no
// path. secret is the secret of the operator's key.
func NewClient(baseURLs []string, secret string, c *http.Client) *Client {
	return &Client{baseURLs: baseURLs, secret: secret, http: c}
}

// Options are the parameters of a change.
type Options struct {
	// Base is the version that the change is based on; 0 stands for the newest.
	Base model.ConfigVersion
	// Force allows a limit below the current usage.
	Force bool
}

// Show returns the configuration in force.
func (c *Client) Show(ctx context.Context) (operate.ConfigReply, error) {
	var shown operate.ConfigReply
	err := c.call(ctx, apiCall{method: http.MethodGet, path: "config", idempotent: true}, &shown)
	return shown, err
}

// Audit returns at most limit entries of the audit log with a version above
// after.
func (c *Client) Audit(ctx context.Context, after model.ConfigVersion, limit int) (operate.AuditReply, error) {
	query := url.Values{"after": {formatVersion(after)}, "limit": {strconv.Itoa(limit)}}
	var log operate.AuditReply
	err := c.call(ctx, apiCall{method: http.MethodGet, path: "audit", query: query, idempotent: true}, &log)
	return log, err
}

// InForce returns in which failure domains the version is in force; 0 stands for
// the newest.
func (c *Client) InForce(ctx context.Context, version model.ConfigVersion) (operate.RolloutReply, error) {
	query := url.Values{"version": {formatVersion(version)}}
	var force operate.RolloutReply
	err := c.call(ctx, apiCall{method: http.MethodGet, path: "force", query: query, idempotent: true}, &force)
	return force, err
}

// Limits returns the configured and the enforced limit of each team, and its
// usage.
func (c *Client) Limits(ctx context.Context) (operate.Limits, error) {
	var limits operate.Limits
	err := c.call(ctx, apiCall{method: http.MethodGet, path: "limits", idempotent: true}, &limits)
	return limits, err
}

// SetClass adds a class or replaces the class with the same name.
func (c *Client) SetClass(ctx context.Context, class model.Class, o Options) (ChangeReply, error) {
	return c.change(ctx, http.MethodPut, "classes/"+url.PathEscape(string(class.Name)), class, o)
}

func (c *Client) DropClass(ctx context.Context, name model.ClassName, o Options) (ChangeReply, error) {
	return c.change(ctx, http.MethodDelete, "classes/"+url.PathEscape(string(name)), nil, o)
}

// SetTeam adds a team or replaces the team with the same name.
func (c *Client) SetTeam(ctx context.Context, team model.Team, o Options) (ChangeReply, error) {
	return c.change(ctx, http.MethodPut, "teams/"+url.PathEscape(string(team.Name)), team, o)
}

func (c *Client) DropTeam(ctx context.Context, name model.TeamName, o Options) (ChangeReply, error) {
	return c.change(ctx, http.MethodDelete, "teams/"+url.PathEscape(string(name)), nil, o)
}

// GrantKey grants a key. A call without an answer is not retried, since only the
// reply of the accepted call contains the secret.
func (c *Client) GrantKey(ctx context.Context, id string, grant Grant, o Options) (ChangeReply, error) {
	var reply ChangeReply
	err := c.call(ctx, apiCall{method: http.MethodPost, path: "keys/" + url.PathEscape(id), query: o.query(), body: grant}, &reply)
	return reply, err
}

func (c *Client) WithdrawKey(ctx context.Context, id string, o Options) (ChangeReply, error) {
	return c.change(ctx, http.MethodDelete, "keys/"+url.PathEscape(id), nil, o)
}

// ServeDomain takes a failure domain out of service or brings it back.
func (c *Client) ServeDomain(ctx context.Context, name model.DomainName, out bool, o Options) (ChangeReply, error) {
	return c.change(ctx, http.MethodPut, "domains/"+url.PathEscape(string(name))+"/service", Service{Out: out}, o)
}

// ServeRack takes a rack out of service or brings it back.
func (c *Client) ServeRack(ctx context.Context, rack model.RackRef, out bool, o Options) (ChangeReply, error) {
	path := "racks/" + url.PathEscape(string(rack.Domain)) + "/" + url.PathEscape(string(rack.Rack)) + "/service"
	return c.change(ctx, http.MethodPut, path, Service{Out: out}, o)
}

// ServeEndpoint takes an endpoint out of service or brings it back.
func (c *Client) ServeEndpoint(ctx context.Context, id model.EndpointID, out bool, o Options) (ChangeReply, error) {
	return c.change(ctx, http.MethodPut, "endpoints/"+url.PathEscape(string(id))+"/service", Service{Out: out}, o)
}

// change sends a change with a new idempotency key, so that it can be retried at
// another entry instance when one gives no answer.
func (c *Client) change(ctx context.Context, method, path string, body any, o Options) (ChangeReply, error) {
	var reply ChangeReply
	err := c.call(ctx, apiCall{
		method: method, path: path, query: o.query(), body: body, idempotencyKey: uuid.NewString(), idempotent: true,
	}, &reply)
	return reply, err
}

func (o Options) query() url.Values {
	query := url.Values{"base": {formatVersion(o.Base)}}
	if o.Force {
		query.Set("force", "true")
	}
	return query
}

// apiCall describes one HTTP call of the interface.
type apiCall struct {
	method, path string
	query        url.Values
	body         any
	// idempotencyKey identifies a change; empty for calls that need none.
	idempotencyKey string
	// idempotent is set when the call may be retried after no answer.
	idempotent bool
}

// retryableCodes are the codes after which another entry instance is tried.
var retryableCodes = map[result.Code]bool{
	result.Busy: true, result.ConfigStale: true, result.NoConfig: true, result.Draining: true,
}

// call tries the entry instances in order and decodes the answer into into.
func (c *Client) call(ctx context.Context, call apiCall, into any) error {
	var last error
	for _, base := range c.baseURLs {
		raw, err := c.send(ctx, base, call)
		if err != nil {
			last = eris.Wrapf(ErrNoAnswer, "%s: %v", base, err)
			if !call.idempotent {
				return last
			}
			continue
		}
		var refusal operate.Refusal
		last = nil
		if err := json.Unmarshal(raw, into); err != nil {
			return eris.Wrapf(ErrNoAnswer, "%s: %v", base, err)
		}
		if json.Unmarshal(raw, &refusal) != nil || !retryableCodes[refusal.Code] {
			return nil
		}
	}
	return last
}

func (c *Client) send(ctx context.Context, base string, call apiCall) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body bytes.Buffer
	if call.body != nil {
		if err := json.NewEncoder(&body).Encode(call.body); err != nil {
			return nil, eris.Wrap(err, "encoding the request")
		}
	}
	address := strings.TrimSuffix(base, "/") + Root + call.path + "?" + call.query.Encode()
	request, err := http.NewRequestWithContext(ctx, call.method, address, &body)
	if err != nil {
		return nil, eris.Wrap(err, "creating the request")
	}
	request.Header.Set("Authorization", "Bearer "+c.secret)
	if call.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.idempotencyKey)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "calling")
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	return raw, eris.Wrap(err, "reading the reply")
}

func formatVersion(version model.ConfigVersion) string {
	return strconv.FormatUint(uint64(version), 10)
}
