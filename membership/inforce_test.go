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

// cluster is a set of processes with real duties and a real clock, which call each
// other directly, and the table that they share.
type cluster struct {
	table     *standin.Table
	writer    *config.Writer
	processes map[string]*clusterProcess
	names     []string
	// reads and bytes count the reads of the table by all processes.
	reads, bytes atomic.Int64
}

// clusterProcess is one process of a cluster.
type clusterProcess struct {
	cluster *cluster
	view    *config.View
	members *membership.Membership
	// offline isolates the process from the table. It is atomic since tests set it
	// while duties read it.
	offline atomic.Bool
}

// Call calls the service of the process at the address directly.
func (p *clusterProcess) Call(_ context.Context, address, method string, args, reply any) error {
	to, ok := p.cluster.processes[address]
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

// Get reads the shared table and counts the read, unless the process is isolated
// from the table.
func (p *clusterProcess) Get(ctx context.Context, key string) (storage.Row, error) {
	if p.offline.Load() {
		return storage.Row{}, storage.ErrUnavailable
	}
	row, err := p.cluster.table.Client().Get(ctx, key)
	p.cluster.reads.Add(1)
	p.cluster.bytes.Add(int64(len(key) + len(row.Value)))
	return row, err
}

// List is not used for reading the configuration.
func (p *clusterProcess) List(context.Context, string, string, int) ([]storage.Row, error) {
	return nil, storage.ErrUnavailable
}

// Commit is not used for reading the configuration.
func (p *clusterProcess) Commit(context.Context, storage.Txn) error { return storage.ErrUnavailable }

// startCluster starts a cluster of size processes and returns it with a function
// that stops it.
func startCluster(size int) (*cluster, func()) {
	c := &cluster{
		table:     standin.NewTable(standin.TableOptions{Latency: 2 * time.Millisecond}),
		processes: map[string]*clusterProcess{},
	}
	duties := []duty.Runner{c.table.Duty()}
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("p%03d", i))
	}
	for _, name := range c.names {
		p, own := c.newProcess(name)
		c.processes[name] = p
		duties = append(duties, own...)
	}
	c.writer = config.NewWriter(config.WriterOptions{Table: c.table.Client(), Clock: clock.System{}})
	return c, startDuties(append(duties, c.writer.Duties()...))
}

// newProcess returns a process that has the first one as its seed, and its duties.
func (c *cluster) newProcess(name string) (*clusterProcess, []duty.Runner) {
	p := &clusterProcess{cluster: c, view: config.NewView()}
	configStore := config.NewStore(p.view, p, clock.System{})
	p.members = membership.New(membership.Options{
		Self:  membership.Member{Instance: model.InstanceID(name), Address: name, Domain: "a"},
		Seeds: c.names[:1], Store: configStore, Clock: clock.System{}, Caller: p,
	})
	return p, append(configStore.Duties(), p.members.Duties()...)
}

// startDuties starts the duties and returns a function that stops them.
func startDuties(duties []duty.Runner) func() {
	group := duty.NewGroup(context.Background())
	group.Start(duties...)
	return func() {
		for i := len(duties) - 1; i >= 0; i-- {
			duties[i].Stop()
		}
		_ = group.Wait()
	}
}

// commitChange makes one change of the configuration and returns its version; 0
// when it was not accepted.
func (c *cluster) commitChange(i int) model.ConfigVersion {
	done := make(chan config.Outcome, 1)
	team := model.Team{Name: "north", Share: int64(i % 1000)}
	if !c.writer.Change(config.Change{ID: fmt.Sprintf("c%d", i), Edit: config.SetTeam{Team: team}}, done) {
		return 0
	}
	outcome := <-done
	if outcome.Code != result.OK {
		return 0
	}
	return outcome.Version
}

// awaitVersion waits until the process acts by the version and returns the time
// passed since the given one.
func (p *clusterProcess) awaitVersion(version model.ConfigVersion, since time.Time) time.Duration {
	for p.view.Applied() < version {
		time.Sleep(time.Millisecond)
	}
	return time.Since(since)
}

// BenchmarkInForce measures the time from the acceptance of a change until each
// process acts by it, and the load of the polls on the table.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("processes=%d", size), func(b *testing.B) {
			c, stopCluster := startCluster(size)
			defer stopCluster()
			first := model.Config{Teams: teams(71), Domains: []model.Domain{{Name: "a", Shards: 1}}}
			if err := config.Initialise(context.Background(), c.table.Client(), first); err != nil {
				b.Fatal(err)
			}
			for _, p := range c.processes {
				p.awaitVersion(1, time.Now())
			}
			c.reads.Store(0)
			c.bytes.Store(0)
			started := time.Now()
			var times []time.Duration
			b.ResetTimer()
			for i := range b.N {
				version := c.commitChange(i)
				if version == 0 {
					b.Fatal("the change was not accepted")
				}
				times = append(times, c.propagationTimes(version)...)
				// The varying wait keeps the changes from being in phase with the polls.
				time.Sleep(time.Duration(i*137%1000) * time.Millisecond)
			}
			report(b, times)
			per := time.Since(started).Seconds() * float64(size)
			b.ReportMetric(float64(c.reads.Load())/per, "reads/s")
			b.ReportMetric(float64(c.bytes.Load())/per, "read-B/s")
		})
	}
}

// propagationTimes returns the time that each process took to act by the version.
func (c *cluster) propagationTimes(version model.ConfigVersion) []time.Duration {
	since := time.Now()
	times := make([]time.Duration, len(c.names))
	var waiting sync.WaitGroup
	for i, name := range c.names {
		waiting.Go(func() { times[i] = c.processes[name].awaitVersion(version, since) })
	}
	waiting.Wait()
	return times
}

func report(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	percentile := func(q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(percentile(0.5), "p50-ms")
	b.ReportMetric(percentile(0.99), "p99-ms")
	b.ReportMetric(percentile(1), "worst-ms")
}

func teams(n int) []model.Team {
	var all []model.Team
	for i := range n {
		all = append(all, model.Team{Name: model.TeamName(fmt.Sprintf("team-%02d", i)), Limit: model.Resources{1000, 1000, 0, 10, 10}})
	}
	return all
}
