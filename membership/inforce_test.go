package membership_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
	"github.com/hornbeamworks/hornbeam/storage"
)

// office is some processes with real duties and a real clock that call one
// another directly, and the table that they share.
type office struct {
	table     *standin.Table
	writer    *config.Writer
	processes map[string]*officeProcess
	names     []string
	// reads and bytes count the processes' reads of the table.
	reads, bytes atomic.Int64
}

// officeProcess is one process.
type officeProcess struct {
	office  *office
	view    *config.View
	members *membership.Membership
	// offline cuts the process off from the table; tests set it while duties
	// read it, hence atomic.
	offline atomic.Bool
}

// Call reaches the service of the process at the address.
func (p *officeProcess) Call(_ context.Context, address, method string, args, reply any) error {
	to, ok := p.office.processes[address]
	if !ok {
		return peerrpc.ErrNotSent
	}
	switch method {
	case membership.HeartbeatMethod:
		return to.members.Service().Heartbeat(args.(membership.Heartbeat), reply.(*membership.HeartbeatReply))
	case membership.ProbeMethod:
		return to.members.Service().Probe(args.(membership.ProbeRequest), reply.(*membership.ProbeReply))
	default:
		return to.members.Service().Config(args.(membership.ConfigRequest), reply.(*membership.ConfigReply))
	}
}

// Get reads the shared table and counts it, unless the process is cut off.
func (p *officeProcess) Get(ctx context.Context, key string) (storage.Row, error) {
	if p.offline.Load() {
		return storage.Row{}, storage.ErrUnavailable
	}
	row, err := p.office.table.Client().Get(ctx, key)
	p.office.reads.Add(1)
	p.office.bytes.Add(int64(len(key) + len(row.Value)))
	return row, err
}

// List is not used by a keeper.
func (p *officeProcess) List(context.Context, string, string, int) ([]storage.Row, error) {
	return nil, storage.ErrUnavailable
}

// Commit is not used by a keeper.
func (p *officeProcess) Commit(context.Context, storage.Txn) error { return storage.ErrUnavailable }

// openOffice starts size processes and returns them with what ends them.
func openOffice(size int) (*office, func()) {
	o := &office{
		table:     standin.NewTable(standin.TableOptions{Latency: 2 * time.Millisecond}),
		processes: map[string]*officeProcess{},
	}
	duties := []duty.Runner{o.table.Duty()}
	for i := range size {
		o.names = append(o.names, fmt.Sprintf("p%03d", i))
	}
	for _, name := range o.names {
		p, own := o.newProcess(name)
		o.processes[name] = p
		duties = append(duties, own...)
	}
	o.writer = config.NewWriter(config.WriterOptions{Table: o.table.Client(), Clock: clock.System{}})
	return o, run(append(duties, o.writer.Duties()...))
}

// newProcess returns a process that knows the first one, and its duties.
func (o *office) newProcess(name string) (*officeProcess, []duty.Runner) {
	p := &officeProcess{office: o, view: config.NewView()}
	keeper := config.NewKeeper(p.view, p, clock.System{})
	p.members = membership.New(membership.Options{
		Self:  membership.Member{Instance: model.InstanceID(name), Address: name, Domain: "a"},
		Seeds: o.names[:1], Keeper: keeper, Clock: clock.System{}, Caller: p,
	})
	return p, append(keeper.Duties(), p.members.Duties()...)
}

// run starts the duties and returns what ends them.
func run(duties []duty.Runner) func() {
	group := duty.NewGroup(context.Background())
	group.Start(duties...)
	return func() {
		for i := len(duties) - 1; i >= 0; i-- {
			duties[i].Stop()
		}
		_ = group.Wait()
	}
}

// change makes one change and returns its version.
func (o *office) change(i int) model.ConfigVersion {
	done := make(chan config.Outcome, 1)
	team := model.Team{Name: "north", Share: int64(i % 1000)}
	if !o.writer.Change(config.Change{ID: fmt.Sprintf("c%d", i), Edit: config.SetTeam{Team: team}}, done) {
		return 0
	}
	outcome := <-done
	if outcome.Code != result.OK {
		return 0
	}
	return outcome.Version
}

// until waits until the process acts by the version and returns how long that
// took.
func (p *officeProcess) until(version model.ConfigVersion, since time.Time) time.Duration {
	for p.view.Applied() < version {
		time.Sleep(time.Millisecond)
	}
	return time.Since(since)
}

// BenchmarkInForce measures the time from a change's acceptance until each
// process acts by it, and what the polls read of the table.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("processes=%d", size), func(b *testing.B) {
			o, closeOffice := openOffice(size)
			defer closeOffice()
			first := model.Config{Teams: teams(71), Domains: []model.Domain{{Name: "a", Shards: 1}}}
			if err := config.Initialise(context.Background(), o.table.Client(), first); err != nil {
				b.Fatal(err)
			}
			for _, p := range o.processes {
				p.until(1, time.Now())
			}
			o.reads.Store(0)
			o.bytes.Store(0)
			begun := time.Now()
			var times []time.Duration
			b.ResetTimer()
			for i := range b.N {
				version := o.change(i)
				if version == 0 {
					b.Fatal("the change was not accepted")
				}
				times = append(times, o.spread(version)...)
				// Changes do not keep step with the polls.
				time.Sleep(time.Duration(i*137%1000) * time.Millisecond)
			}
			report(b, times)
			per := time.Since(begun).Seconds() * float64(size)
			b.ReportMetric(float64(o.reads.Load())/per, "reads/s")
			b.ReportMetric(float64(o.bytes.Load())/per, "read-B/s")
		})
	}
}

// spread returns how long each process took to act by the version.
func (o *office) spread(version model.ConfigVersion) []time.Duration {
	since := time.Now()
	times := make([]time.Duration, len(o.names))
	var waiting sync.WaitGroup
	for i, name := range o.names {
		waiting.Go(func() { times[i] = o.processes[name].until(version, since) })
	}
	waiting.Wait()
	return times
}

func report(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	at := func(q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(at(1), "worst-ms")
}

func teams(n int) []model.Team {
	var all []model.Team
	for i := range n {
		all = append(all, model.Team{Name: model.TeamName(fmt.Sprintf("team-%02d", i)), Limit: model.Resources{1000, 1000, 0, 10, 10}})
	}
	return all
}
