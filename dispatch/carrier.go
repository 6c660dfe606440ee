package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/fleet"
)

// maxLanes bounds the calls of an instance under way: a listing for each of 700
// endpoints, and the orders of 1,000 starts a second of which a tenth get no
// answer.
const maxLanes = 768

// lane is a duty that makes one call at a time.
type lane struct{ *duty.Duty[Command] }

// Done is a command that has ended.
type Done struct {
	Outcome
	lane *lane
}

// Carrier makes the calls of commands. It belongs to one duty, which is told of
// each command's end and passes it to Settle.
type Carrier struct {
	ctx     context.Context
	command fleet.Commander
	start   func(duty.Runner)
	done    func(Done)
	lanes   int
	idle    []*lane
}

// NewCarrier returns a carrier whose calls end with ctx. start runs a duty; done
// is called on the threads of the calls.
func NewCarrier(ctx context.Context, command fleet.Commander, start func(duty.Runner), done func(Done)) *Carrier {
	return &Carrier{ctx: ctx, command: command, start: start, done: done}
}

// Carry makes the command's call, or reports false when too many are under way.
func (c *Carrier) Carry(e Command) bool {
	if len(c.idle) == 0 && !c.addLane() {
		return false
	}
	l := c.idle[len(c.idle)-1]
	if !l.Offer(e) {
		return false
	}
	c.idle = c.idle[:len(c.idle)-1]
	return true
}

// Settle takes back what a command has used.
func (c *Carrier) Settle(d Done) { c.idle = append(c.idle, d.lane) }

func (c *Carrier) addLane() bool {
	if c.lanes >= maxLanes {
		return false
	}
	l := &lane{}
	l.Duty = duty.NewCalling("carrier"+strconv.Itoa(c.lanes), 1, duty.HandlerFunc[Command](func(batch []Command) time.Duration {
		for _, e := range batch {
			c.done(Done{Outcome: c.call(e), lane: l})
		}
		return duty.Never
	}))
	c.lanes++
	c.idle = append(c.idle, l)
	c.start(l)
	return true
}

// call makes one call on a lane's thread.
func (c *Carrier) call(e Command) Outcome {
	ctx, cancel := context.WithTimeout(c.ctx, e.Timeout())
	defer cancel()
	switch {
	case e.Start != nil:
		return outcomeOf(e.ID, fleet.Listing{}, c.command.Start(ctx, *e.Start))
	case e.Stop != nil:
		return outcomeOf(e.ID, fleet.Listing{}, c.command.Stop(ctx, *e.Stop))
	default:
		listing, err := c.command.Renew(ctx, *e.Renew)
		return outcomeOf(e.ID, listing, err)
	}
}
