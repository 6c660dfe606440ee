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

// fleet is some stepped memberships that call one another directly.
type fleet struct {
	clock   *clock.Manual
	members []*membership.Stepped
	names   []string
	at      map[string]int
	dead    map[string]bool
	cut     map[[2]string]bool
	// calls and bytes count what each process sent as caller or answerer.
	calls map[string]int
	bytes map[string]*counter
	codec map[string]*gob.Encoder
}

// counter counts what is written to it.
type counter struct{ n int }

func (c *counter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}

// newFleet returns size schedulers in domains a, b and c; each knows the first.
func newFleet(size int) *fleet {
	f := &fleet{
		clock: clock.NewManual(time.Unix(1000, 0)),
		at:    map[string]int{}, dead: map[string]bool{}, cut: map[[2]string]bool{},
		calls: map[string]int{}, bytes: map[string]*counter{}, codec: map[string]*gob.Encoder{},
	}
	for i := range size {
		f.add(fmt.Sprintf("i%03d", i), fmt.Sprintf("10.0.0.%d:1", i))
	}
	return f
}

// add adds a process; a process that was at the address is gone.
func (f *fleet) add(instance, address string) {
	view := config.NewView()
	keeper := config.NewKeeper(view, nil, f.clock)
	domain := string(rune('a' + len(f.members)%3))
	self := membership.Member{
		Instance: model.InstanceID(instance), Role: membership.Scheduler,
		Domain: model.DomainName(domain), Address: address,
	}
	o := membership.Options{Self: self, Seeds: []string{"10.0.0.0:1"}, Keeper: keeper, Clock: f.clock}
	f.at[address] = len(f.members)
	f.names = append(f.names, address)
	f.members = append(f.members, membership.NewStepped(o))
	f.bytes[address] = &counter{}
}

// run lets the given time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.Advance(membership.Tick) {
		for i, m := range f.members {
			if address := f.names[i]; !f.dead[address] && f.at[address] == i {
				m.Step(caller{fleet: f, from: address})
			}
		}
	}
}

// state returns what member i holds of the instance; empty when nothing.
func (f *fleet) state(i int, instance string) membership.State {
	for _, s := range f.members[i].Directory().Members() {
		if string(s.Member.Instance) == instance {
			return s.State
		}
	}
	return ""
}

// agree reports whether all living members hold the state of the instance.
func (f *fleet) agree(instance string, state membership.State) bool {
	for i, address := range f.names {
		if !f.dead[address] && f.at[address] == i && f.state(i, instance) != state {
			return false
		}
	}
	return true
}

// caller is one process's way to the others.
type caller struct {
	fleet *fleet
	from  string
}

func (c caller) Call(_ context.Context, address, method string, args, reply any) error {
	f := c.fleet
	i, ok := f.at[address]
	if !ok || f.dead[address] || f.dead[c.from] || f.cut[[2]string{c.from, address}] {
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
		answer, ok := f.members[i].Probe(caller{fleet: f, from: address}, args.(membership.ProbeRequest))
		if !ok {
			return peerrpc.ErrNoReply
		}
		*reply.(*membership.ProbeReply) = answer
	}
	return nil
}

// count encodes the message as net/rpc does, one encoder for each connection.
func (f *fleet) count(from, to string, message any) {
	f.calls[from]++
	key := fmt.Sprintf("%s>%s %T", from, to, message)
	if f.codec[key] == nil {
		f.codec[key] = gob.NewEncoder(f.bytes[from])
	}
	if err := f.codec[key].Encode(message); err != nil {
		panic(err)
	}
}

// reset forgets what was counted.
func (f *fleet) reset() {
	clear(f.calls)
	for _, c := range f.bytes {
		c.n = 0
	}
}
