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
	// maxReplyBytes bounds what is read of one reply.
	maxReplyBytes = 64 << 20
	// callTimeout bounds one call.
	callTimeout = 15 * time.Second
)

// ErrNoAnswer means that no entry instance gave an answer that could be read. A
// change may or may not be in force.
var ErrNoAnswer = eris.New("no entry instance answered")

// Client is the operators' side of the interface. It tries the entry instances
// in turn until one serves it.
type Client struct {
	bases  []string
	secret string
	http   *http.Client
}

// NewClient returns a client of the entry instances at the bases, URLs without
// paths. secret is the operator's key.
func NewClient(bases []string, secret string, c *http.Client) *Client {
	return &Client{bases: bases, secret: secret, http: c}
}

// Options say how a change is made.
type Options struct {
	// Base is the version that the operator looked at.
	Base model.ConfigVersion
	// Force accepts a limit below what runs.
	Force bool
}

// Show returns the configuration in force.
func (c *Client) Show(ctx context.Context) (operate.Shown, error) {
	var shown operate.Shown
	err := c.call(ctx, call{method: http.MethodGet, path: "config", again: true}, &shown)
	return shown, err
}

// Audit returns at most limit entries of versions above after.
func (c *Client) Audit(ctx context.Context, after model.ConfigVersion, limit int) (operate.Log, error) {
	query := url.Values{"after": {decimal(after)}, "limit": {strconv.Itoa(limit)}}
	var log operate.Log
	err := c.call(ctx, call{method: http.MethodGet, path: "audit", query: query, again: true}, &log)
	return log, err
}

// InForce returns where the version is in force.
func (c *Client) InForce(ctx context.Context, version model.ConfigVersion) (operate.Force, error) {
	query := url.Values{"version": {decimal(version)}}
	var force operate.Force
	err := c.call(ctx, call{method: http.MethodGet, path: "force", query: query, again: true}, &force)
	return force, err
}

// Limits returns how far each team's limit is in force.
func (c *Client) Limits(ctx context.Context) (operate.Limits, error) {
	var limits operate.Limits
	err := c.call(ctx, call{method: http.MethodGet, path: "limits", again: true}, &limits)
	return limits, err
}

// SetClass sets a class.
func (c *Client) SetClass(ctx context.Context, class model.Class, o Options) (ChangeReply, error) {
	return c.change(ctx, http.MethodPut, "classes/"+url.PathEscape(string(class.Name)), class, o)
}

// DropClass removes a class.
func (c *Client) DropClass(ctx context.Context, name model.ClassName, o Options) (ChangeReply, error) {
	return c.change(ctx, http.MethodDelete, "classes/"+url.PathEscape(string(name)), nil, o)
}

// SetTeam sets a team.
func (c *Client) SetTeam(ctx context.Context, team model.Team, o Options) (ChangeReply, error) {
	return c.change(ctx, http.MethodPut, "teams/"+url.PathEscape(string(team.Name)), team, o)
}

// DropTeam removes a team.
func (c *Client) DropTeam(ctx context.Context, name model.TeamName, o Options) (ChangeReply, error) {
	return c.change(ctx, http.MethodDelete, "teams/"+url.PathEscape(string(name)), nil, o)
}

// GrantKey grants a key. It is tried at one entry instance only, since the
// secret is in the one reply.
func (c *Client) GrantKey(ctx context.Context, id string, grant Grant, o Options) (ChangeReply, error) {
	var reply ChangeReply
	err := c.call(ctx, call{method: http.MethodPost, path: "keys/" + url.PathEscape(id), query: o.query(), body: grant}, &reply)
	return reply, err
}

// WithdrawKey withdraws a key.
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

// change makes a change under a name of its own, so that another entry instance
// may be tried when one gives no answer.
func (c *Client) change(ctx context.Context, method, path string, body any, o Options) (ChangeReply, error) {
	var reply ChangeReply
	err := c.call(ctx, call{
		method: method, path: path, query: o.query(), body: body, name: uuid.NewString(), again: true,
	}, &reply)
	return reply, err
}

func (o Options) query() url.Values {
	query := url.Values{"base": {decimal(o.Base)}}
	if o.Force {
		query.Set("force", "true")
	}
	return query
}

// call is one call of the interface.
type call struct {
	method, path string
	query        url.Values
	body         any
	// name is the change's name.
	name string
	// again says that the call may be made more than once.
	again bool
}

// elsewhere are the codes after which another entry instance may serve.
var elsewhere = map[result.Code]bool{
	result.Busy: true, result.ConfigStale: true, result.NoConfig: true, result.Draining: true,
}

// call tries the entry instances in turn.
func (c *Client) call(ctx context.Context, what call, into any) error {
	var last error
	for _, base := range c.bases {
		raw, err := c.try(ctx, base, what)
		if err != nil {
			last = eris.Wrapf(ErrNoAnswer, "%s: %v", base, err)
			if !what.again {
				return last
			}
			continue
		}
		var refusal operate.Refusal
		last = nil
		if err := json.Unmarshal(raw, into); err != nil {
			return eris.Wrapf(ErrNoAnswer, "%s: %v", base, err)
		}
		if json.Unmarshal(raw, &refusal) != nil || !elsewhere[refusal.Code] {
			return nil
		}
	}
	return last
}

func (c *Client) try(ctx context.Context, base string, what call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body bytes.Buffer
	if what.body != nil {
		if err := json.NewEncoder(&body).Encode(what.body); err != nil {
			return nil, eris.Wrap(err, "encoding the call")
		}
	}
	address := strings.TrimSuffix(base, "/") + Root + what.path + "?" + what.query.Encode()
	request, err := http.NewRequestWithContext(ctx, what.method, address, &body)
	if err != nil {
		return nil, eris.Wrap(err, "making the call")
	}
	request.Header.Set("Authorization", "Bearer "+c.secret)
	if what.name != "" {
		request.Header.Set("Idempotency-Key", what.name)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "calling")
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	return raw, eris.Wrap(err, "reading the reply")
}

func decimal(version model.ConfigVersion) string { return strconv.FormatUint(uint64(version), 10) }
