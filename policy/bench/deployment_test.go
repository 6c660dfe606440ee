package bench_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// stream is the load of one class in a deployment.
type stream struct {
	class model.Class
	// loadFraction is the class's fraction of the deployment's load.
	loadFraction float64
	// cores and memory are the median usage of a task, in cores and GiB. The
	// declared size differs from it by an error factor.
	cores, memory int64
	// runTime is the mean run time of a task.
	runTime time.Duration
	// gang is the number of tasks of a gang, 0 for single tasks.
	gang int
}

// deployment describes the cell of one of the two users.
type deployment struct {
	name             string
	endpointCount    int
	endpointsPerRack int
	capacity         model.Resources
	shares           []int64
	streams          []stream
}

// newClass returns a class of a deployment; its values are the deployment's
// targets.
func newClass(name model.ClassName, maxWait, window time.Duration, shortage model.Treatment, repeatable bool) model.Class {
	return model.Class{Name: name, MaxWait: maxWait, Window: window, Shortage: shortage, Repeatable: repeatable}
}

var consortium = deployment{
	name: "consortium", endpointCount: 48, endpointsPerRack: 8,
	capacity: model.Resources{16000, 65536, 0, 8, 64},
	shares:   []int64{300, 250, 200, 100, 100, 50},
	streams: []stream{
		{class: newClass("verification", 4*time.Second, time.Minute, model.Wait, true), loadFraction: 0.1, cores: 1, memory: 2, runTime: 5 * time.Second},
		{class: newClass("screen", time.Minute, 15*time.Minute, model.Wait, true), loadFraction: 0.2, cores: 2, memory: 6, runTime: 30 * time.Second},
		{class: newClass("formulation", 10*time.Minute, time.Hour, model.Wait, false), loadFraction: 0.3, cores: 2, memory: 8, runTime: 2 * time.Minute},
		{class: newClass("planning", time.Hour, 4*time.Hour, model.Checkpoint, true), loadFraction: 0.3, cores: 3, memory: 12, runTime: 5 * time.Minute},
		{class: newClass("simulation", time.Hour, 4*time.Hour, model.Rerun, true), loadFraction: 0.1, cores: 4, memory: 12, runTime: 3 * time.Minute, gang: 12},
	},
}

var zarqa = deployment{
	name: "zarqa", endpointCount: 48, endpointsPerRack: 6,
	capacity: model.Resources{32000, 131072, 0, 8, 64},
	shares:   []int64{300, 250, 200, 100, 100, 50},
	streams: []stream{
		{class: newClass("dispatch", 4*time.Second, time.Minute, model.Wait, true), loadFraction: 0.1, cores: 2, memory: 4, runTime: 5 * time.Second},
		{class: newClass("settlement", 5*time.Minute, time.Hour, model.Wait, false), loadFraction: 0.4, cores: 4, memory: 16, runTime: 2 * time.Minute},
		{class: newClass("refit", 2*time.Hour, 8*time.Hour, model.Checkpoint, true), loadFraction: 0.4, cores: 6, memory: 24, runTime: 6 * time.Minute},
		{class: newClass("backtest", time.Hour, 4*time.Hour, model.Rerun, true), loadFraction: 0.1, cores: 8, memory: 24, runTime: 3 * time.Minute, gang: 8},
	},
}

// config returns the configuration of the deployment.
func (d *deployment) config() *model.Config {
	total := d.capacity.Scale(int64(d.endpointCount))
	config := &model.Config{Version: 1, Domains: []model.Domain{{Name: "west", Shards: 1}}}
	for i, share := range d.shares {
		config.Teams = append(config.Teams, model.Team{Name: teamName(i), Share: share, Limit: total})
	}
	for _, s := range d.streams {
		config.Classes = append(config.Classes, s.class)
	}
	return config
}

func teamName(i int) model.TeamName { return model.TeamName(fmt.Sprintf("team%d", i)) }

func (d *deployment) endpoints() []model.EndpointInfo {
	var all []model.EndpointInfo
	for i := range d.endpointCount {
		all = append(all, model.EndpointInfo{
			ID: model.EndpointID(fmt.Sprintf("e%03d", i)), Domain: "west",
			Rack: model.RackName(fmt.Sprintf("r%02d", i/d.endpointsPerRack)), Capacity: d.capacity,
		})
	}
	return all
}

// job is a request with its actual usage and run time, which differ from the
// declared ones.
type job struct {
	request *model.Request
	team    int
	// usage is the actual usage of each task.
	usage model.Resources
	// runTime is the actual run time of each task.
	runTime time.Duration
}

// maxErrorFactor is the maximum factor between actual and declared amounts.
const maxErrorFactor = 10

// errorFactor returns a random factor between 1/maxErrorFactor and
// maxErrorFactor, uniform in its logarithm.
func errorFactor(random *rand.Rand) float64 {
	return math.Pow(maxErrorFactor, 2*random.Float64()-1)
}

// arrivals returns the jobs that arrive within duration. load is the tasks'
// actual demand as a fraction of the capacity. The declared sizes of a team
// differ from the usage by one factor per class, the declared run times from the
// actual ones by one factor per job.
func (d *deployment) arrivals(load float64, duration time.Duration, seed uint64) []*job {
	random := rand.New(rand.NewPCG(seed, seed))
	totalShares := int64(0)
	for _, share := range d.shares {
		totalShares += share
	}
	var all []*job
	for team, share := range d.shares {
		for _, s := range d.streams {
			streamLoad := load * s.loadFraction * float64(share) / float64(totalShares)
			all = append(all, d.streamArrivals(s, team, streamLoad, duration, random)...)
		}
	}
	return all
}

func (d *deployment) streamArrivals(s stream, team int, load float64, duration time.Duration, random *rand.Rand) []*job {
	sizeError := errorFactor(random)
	usage := model.Resources{s.cores * 1000, s.memory * 1024, 0, 1, 1}
	spec := model.Spec{Class: s.class.Name, Kind: model.Batch, Tasks: 1, Size: usage}
	if s.gang > 0 {
		spec.Kind, spec.Tasks = model.Gang, s.gang
	}
	spec.Size[model.CPU] = clamp(float64(usage[model.CPU])/sizeError, d.capacity[model.CPU]/2)
	spec.Size[model.Memory] = clamp(float64(usage[model.Memory])/sizeError, d.capacity[model.Memory]/2)
	requestWork := usage.DominantShare(d.capacity.Scale(int64(d.endpointCount))) * s.runTime.Seconds() * float64(spec.Tasks)
	rate := load / requestWork
	var all []*job
	for at := random.ExpFloat64() / rate; at < duration.Seconds(); at += random.ExpFloat64() / rate {
		runTime := time.Duration(random.ExpFloat64() * float64(s.runTime))
		spec.Estimate = time.Duration(float64(runTime) * errorFactor(random))
		accepted := startTime.Add(time.Duration(at * float64(time.Second)))
		all = append(all, &job{
			team: team, usage: randomUsage(usage, random), runTime: runTime + time.Millisecond,
			request: &model.Request{
				ID:   model.RequestID(fmt.Sprintf("0-%s%d%d-west", s.class.Name, team, len(all))),
				Team: teamName(team), Spec: spec, Accepted: accepted, Deadline: accepted.Add(s.class.Window),
			},
		})
	}
	return all
}

// maxLogSizeFactor is the logarithm of the maximum factor between the usage of a
// task and the median usage of its class.
const maxLogSizeFactor = 0.35

// randomUsage returns a random usage of one task of a class with the given
// median usage.
func randomUsage(usage model.Resources, random *rand.Rand) model.Resources {
	factor := math.Exp(maxLogSizeFactor * (2*random.Float64() - 1))
	usage[model.CPU] = int64(float64(usage[model.CPU]) * factor)
	usage[model.Memory] = int64(float64(usage[model.Memory]) * factor)
	return usage
}

// clamp returns the amount, limited to the range from 1 to limit.
func clamp(amount float64, limit int64) int64 {
	return max(1, min(int64(amount), limit))
}
