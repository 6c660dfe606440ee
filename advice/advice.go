// Package advice sends requests to the advice service, which accepts one call at a
// time from each instance. The cell's holder also sends requests through other
// instances, over net/rpc. The package does not interpret the advice.
package advice

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
)

const (
	// serviceName is the net/rpc name of the service.
	serviceName = "Advice"
	askMethod   = serviceName + ".Ask"
	// ringSize is the number of requests that may wait. The holder sends one at a
	// time; a holder that is being replaced may send another.
	ringSize = 8
	// requestTimeout bounds a request; the holder stops waiting sooner.
	requestTimeout = 4 * time.Second
)

// Service is the advice service.
type Service interface {
	// Ask returns the endpoints that may run the step, with their tickets.
	Ask(ctx context.Context, step jobs.StepID, endpoints []model.EndpointID) (map[model.EndpointID]string, error)
}

// Request is the argument of the net/rpc method.
type Request struct {
	Step      jobs.StepID
	Endpoints []model.EndpointID
}

// Reply is the result of a Request.
type Reply struct {
	// Tickets has a ticket for each endpoint that may run the step.
	Tickets map[model.EndpointID]string
}

// call is a request in the ring, with the channel for its result.
type call struct {
	request Request
	reply   chan callResult
}

type callResult struct {
	reply Reply
	err   error
}

// Client is the duty that sends advice requests: those of this instance, and those
// that the holder sends from another one.
type Client struct {
	*duty.Duty[call]
	ctx     context.Context
	service Service
	peers   *peerrpc.Client
}

// New returns a Client that has not been started. Cancelling ctx ends its calls.
func New(ctx context.Context, service Service, peers *peerrpc.Client) *Client {
	a := &Client{ctx: ctx, service: service, peers: peers}
	a.Duty = duty.NewCalling("asker", ringSize, duty.HandlerFunc[call](a.handle))
	return a
}

func (a *Client) handle(batch []call) time.Duration {
	for _, c := range batch {
		ctx, cancel := context.WithTimeout(a.ctx, requestTimeout)
		tickets, err := a.service.Ask(ctx, c.request.Step, c.request.Endpoints)
		cancel()
		c.reply <- callResult{Reply{Tickets: tickets}, err}
	}
	return duty.Never
}

// Ask sends an advice request from the instance at the peer address, or from this
// one if the address is empty.
func (a *Client) Ask(ctx context.Context, instance string, step jobs.StepID, endpoints []model.EndpointID) (map[model.EndpointID]string, error) {
	request := Request{Step: step, Endpoints: endpoints}
	var reply Reply
	var err error
	if instance == "" {
		reply, err = a.requestLocally(ctx, request)
	} else {
		err = a.peers.Call(ctx, instance, askMethod, request, &reply)
	}
	return reply.Tickets, err
}

func (a *Client) requestLocally(ctx context.Context, request Request) (Reply, error) {
	c := call{request: request, reply: make(chan callResult, 1)}
	if !a.Offer(c) {
		return Reply{}, eris.New("too many questions wait at this instance")
	}
	select {
	case r := <-c.reply:
		return r.reply, r.err
	case <-ctx.Done():
		return Reply{}, eris.Wrap(ctx.Err(), "waiting for advice")
	}
}

// Register makes the Client callable by peers through server.
func (a *Client) Register(server *peerrpc.Server) error {
	return server.Register(serviceName, &rpcService{a})
}

// rpcService exposes a Client through net/rpc.
type rpcService struct{ local *Client }

// Ask sends the advice request of a peer.
func (r *rpcService) Ask(request Request, reply *Reply) error {
	ctx, cancel := context.WithTimeout(r.local.ctx, requestTimeout)
	defer cancel()
	var err error
	*reply, err = r.local.requestLocally(ctx, request)
	return err
}
