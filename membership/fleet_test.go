package membership_test

import (
	"context"
	"encoding/gob"
	"fmt"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
)

// fleet is a set of stepped memberships that call each other directly.
type fleet struct {
	clock          *clock.Manual
	members        []*membership.Stepped
	addresses      []string
	indexByAddress map[string]int
	stopped        map[string]bool
	partitioned    map[[2]string]bool
	// messages and bytes count the messages and bytes that each process sent,
	// requests and replies.
	messages map[string]int
	bytes    map[string]*byteCounter
	encoders map[string]*gob.Encoder
}

// byteCounter counts the bytes written to it.
type byteCounter struct{ n int }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}

// newFleet returns size schedulers in domains a, b and c. The first one is the
// seed of all.
func newFleet(size int) *fleet {
	f := &fleet{
		clock:          clock.NewManual(time.Unix(1000, 0)),
		indexByAddress: map[string]int{}, stopped: map[string]bool{}, partitioned: map[[2]string]bool{},
		messages: map[string]int{}, bytes: map[string]*byteCounter{}, encoders: map[string]*gob.Encoder{},
	}
	for i := range size {
		f.add(fmt.Sprintf("i%03d", i), fmt.Sprintf("10.0.0.%d:1", i))
	}
	return f
}

// add adds a process. It replaces a process that was at the same address.
func (f *fleet) add(instance, address string) {
	view := config.NewView()
	configStore := config.NewStore(view, nil, f.clock)
	domain := string(rune('a' + len(f.members)%3))
	self := membership.Member{
		Instance: model.InstanceID(instance), Role: membership.Scheduler,
		Domain: model.DomainName(domain), Address: address,
	}
	o := membership.Options{Self: self, Seeds: []string{"10.0.0.0:1"}, Store: configStore, Clock: f.clock}
	f.indexByAddress[address] = len(f.members)
	f.addresses = append(f.addresses, address)
	f.members = append(f.members, membership.NewStepped(o))
	f.bytes[address] = &byteCounter{}
}

// advance advances the clock by d and steps all running members at each tick.
func (f *fleet) advance(d time.Duration) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.Advance(membership.Tick) {
		for i, m := range f.members {
			if address := f.addresses[i]; !f.stopped[address] && f.indexByAddress[address] == i {
				m.Step(caller{fleet: f, from: address})
			}
		}
	}
}

// state returns the state of the instance in the directory of member i; empty when
// it has no entry there.
func (f *fleet) state(i int, instance string) membership.State {
	for _, s := range f.members[i].Directory().Members() {
		if string(s.Member.Instance) == instance {
			return s.State
		}
	}
	return ""
}

// converged reports whether all running members have the instance in the given
// state.
func (f *fleet) converged(instance string, state membership.State) bool {
	for i, address := range f.addresses {
		if !f.stopped[address] && f.indexByAddress[address] == i && f.state(i, instance) != state {
			return false
		}
	}
	return true
}

// caller delivers the calls of one process to the others.
type caller struct {
	fleet *fleet
	from  string
}

func (c caller) Call(_ context.Context, address, method string, args, reply any) error {
	f := c.fleet
	i, ok := f.indexByAddress[address]
	if !ok || f.stopped[address] || f.stopped[c.from] || f.partitioned[[2]string{c.from, address}] {
		return peerrpc.ErrNotSent
	}
	f.count(c.from, address, args)
	if err := f.serve(i, address, method, args, reply); err != nil {
		return err
	}
	f.count(address, c.from, reply)
	return nil
}

func (f *fleet) serve(i int, address, method string, args, reply any) error {
	switch method {
	case membership.HeartbeatMethod:
		*reply.(*membership.HeartbeatReply) = f.members[i].Heartbeat(args.(membership.Heartbeat))
	case membership.ProbeMethod:
		probeReply, ok := f.members[i].Probe(caller{fleet: f, from: address}, args.(membership.ProbeRequest))
		if !ok {
			return peerrpc.ErrNoReply
		}
		*reply.(*membership.ProbeReply) = probeReply
	}
	return nil
}

// count encodes the message as net/rpc does, with one encoder per connection and
// type, and adds it to the counters of the sender.
func (f *fleet) count(from, to string, message any) {
	f.messages[from]++
	key := fmt.Sprintf("%s>%s %T", from, to, message)
	if f.encoders[key] == nil {
		f.encoders[key] = gob.NewEncoder(f.bytes[from])
	}
	if err := f.encoders[key].Encode(message); err != nil {
		panic(err)
	}
}

// reset sets the counters to zero.
func (f *fleet) reset() {
	clear(f.messages)
	for _, c := range f.bytes {
		c.n = 0
	}
}
