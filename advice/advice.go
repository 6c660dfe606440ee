// Package advice asks the advice service, which takes one call at a time from
// each instance. The holder of the cell has other instances ask for it, by
// net/rpc.
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
	// askMethod is its method.
	askMethod = serviceName + ".Ask"
	// ringSize is the number of questions that may wait: the holder sends one
	// at a time, a holder that is being replaced another.
	ringSize = 8
	// askTimeout bounds a question; the holder gives up sooner.
	askTimeout = 4 * time.Second
)

// Service is the advice service.
type Service interface {
	// Ask returns the endpoints that may run the step, with their tickets.
	Ask(ctx context.Context, step jobs.StepID, endpoints []model.EndpointID) (map[model.EndpointID]string, error)
}

// Question is what one instance asks another.
type Question struct {
	Step      jobs.StepID
	Endpoints []model.EndpointID
}

// Answer is the reply.
type Answer struct {
	// Tickets are the tickets by endpoint.
	Tickets map[model.EndpointID]string
}

// call is a question that waits for its answer.
type call struct {
	question Question
	reply    chan reply
}

type reply struct {
	answer Answer
	err    error
}

// Asker asks for this instance and, through peers, for the holder.
type Asker struct {
	*duty.Duty[call]
	ctx     context.Context
	service Service
	peers   *peerrpc.Client
}

// New returns an asker that has not started.
func New(ctx context.Context, service Service, peers *peerrpc.Client) *Asker {
	a := &Asker{ctx: ctx, service: service, peers: peers}
	a.Duty = duty.NewCalling("asker", ringSize, duty.HandlerFunc[call](a.handle))
	return a
}

func (a *Asker) handle(batch []call) time.Duration {
	for _, c := range batch {
		ctx, cancel := context.WithTimeout(a.ctx, askTimeout)
		tickets, err := a.service.Ask(ctx, c.question.Step, c.question.Endpoints)
		cancel()
		c.reply <- reply{Answer{Tickets: tickets}, err}
	}
	return duty.Never
}

// Ask has the instance at the peer address ask, or this one if it is empty.
func (a *Asker) Ask(ctx context.Context, instance string, step jobs.StepID, endpoints []model.EndpointID) (map[model.EndpointID]string, error) {
	question := Question{Step: step, Endpoints: endpoints}
	var answer Answer
	var err error
	if instance == "" {
		answer, err = a.askHere(ctx, question)
	} else {
		err = a.peers.Call(ctx, instance, askMethod, question, &answer)
	}
	return answer.Tickets, err
}

func (a *Asker) askHere(ctx context.Context, question Question) (Answer, error) {
	c := call{question: question, reply: make(chan reply, 1)}
	if !a.Offer(c) {
		return Answer{}, eris.New("too many questions wait at this instance")
	}
	select {
	case r := <-c.reply:
		return r.answer, r.err
	case <-ctx.Done():
		return Answer{}, eris.Wrap(ctx.Err(), "waiting for advice")
	}
}

// Register offers the asker to peers.
func (a *Asker) Register(server *peerrpc.Server) error {
	return server.Register(serviceName, &remote{a})
}

// remote is the net/rpc service.
type remote struct{ asker *Asker }

// Ask answers a peer's question.
func (r *remote) Ask(question Question, answer *Answer) error {
	ctx, cancel := context.WithTimeout(r.asker.ctx, askTimeout)
	defer cancel()
	var err error
	*answer, err = r.asker.askHere(ctx, question)
	return err
}
