package bench_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// stream is one class of work of a deployment.
type stream struct {
	class model.Class
	// part is the part of the load that the class makes up.
	part float64
	// cores and memory are the declared sizes, in cores and GiB.
	cores, memory int64
	// runTime is the mean of the run times.
	runTime time.Duration
	// gang is the number of tasks of a gang, 0 for single tasks.
	gang int
}

// deployment is one of the two users' cells.
type deployment struct {
	name     string
	workers  int
	rack     int
	capacity model.Resources
	shares   []int64
	streams  []stream
}

// The classes of the deployments, from their targets.
func class(name model.ClassName, maxWait, window time.Duration, shortage model.Treatment, repeatable bool) model.Class {
	return model.Class{Name: name, MaxWait: maxWait, Window: window, Shortage: shortage, Repeatable: repeatable}
}

var consortium = deployment{
	name: "consortium", workers: 48, rack: 8,
	capacity: model.Resources{16000, 65536, 0, 8, 64},
	shares:   []int64{300, 250, 200, 100, 100, 50},
	streams: []stream{
		{class: class("verification", 4*time.Second, time.Minute, model.Wait, true), part: 0.1, cores: 1, memory: 2, runTime: 5 * time.Second},
		{class: class("screen", time.Minute, 15*time.Minute, model.Wait, true), part: 0.2, cores: 2, memory: 6, runTime: 30 * time.Second},
		{class: class("formulation", 10*time.Minute, time.Hour, model.Wait, false), part: 0.3, cores: 2, memory: 8, runTime: 2 * time.Minute},
		{class: class("planning", time.Hour, 4*time.Hour, model.Checkpoint, true), part: 0.3, cores: 3, memory: 12, runTime: 5 * time.Minute},
		{class: class("simulation", time.Hour, 4*time.Hour, model.Rerun, true), part: 0.1, cores: 4, memory: 12, runTime: 3 * time.Minute, gang: 12},
	},
}

var zarqa = deployment{
	name: "zarqa", workers: 48, rack: 6,
	capacity: model.Resources{32000, 131072, 0, 8, 64},
	shares:   []int64{300, 250, 200, 100, 100, 50},
	streams: []stream{
		{class: class("dispatch", 4*time.Second, time.Minute, model.Wait, true), part: 0.1, cores: 2, memory: 4, runTime: 5 * time.Second},
		{class: class("settlement", 5*time.Minute, time.Hour, model.Wait, false), part: 0.4, cores: 4, memory: 16, runTime: 2 * time.Minute},
		{class: class("refit", 2*time.Hour, 8*time.Hour, model.Checkpoint, true), part: 0.4, cores: 6, memory: 24, runTime: 6 * time.Minute},
		{class: class("backtest", time.Hour, 4*time.Hour, model.Rerun, true), part: 0.1, cores: 8, memory: 24, runTime: 3 * time.Minute, gang: 8},
	},
}

// config returns the operators' configuration of the deployment.
func (d *deployment) config() *model.Config {
	total := d.capacity.Scale(int64(d.workers))
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
	for i := range d.workers {
		all = append(all, model.EndpointInfo{
			ID: model.EndpointID(fmt.Sprintf("e%03d", i)), Domain: "west",
			Rack: model.RackName(fmt.Sprintf("r%02d", i/d.rack)), Capacity: d.capacity,
		})
	}
	return all
}

// job is a request with the truth that its declaration hides.
type job struct {
	request *model.Request
	team    int
	// usage is what each task really uses.
	usage model.Resources
	// runTime is how long each task really runs.
	runTime time.Duration
}

// wrongBy is how far declarations are off at most.
const wrongBy = 10

// wrong returns a factor between 1/wrongBy and wrongBy, even in its logarithm.
func wrong(random *rand.Rand) float64 {
	return math.Pow(wrongBy, 2*random.Float64()-1)
}

// arrivals makes the jobs of the time span at the load given, a part of the
// capacity, by what the tasks really need. Each team's sizes are off by one
// factor for each class; run times are off by one for each job.
func (d *deployment) arrivals(load float64, span time.Duration, seed uint64) []*job {
	random := rand.New(rand.NewPCG(seed, seed))
	sum := int64(0)
	for _, share := range d.shares {
		sum += share
	}
	var all []*job
	for team, share := range d.shares {
		for _, s := range d.streams {
			part := load * s.part * float64(share) / float64(sum)
			all = append(all, d.streamArrivals(s, team, part, span, random)...)
		}
	}
	return all
}

func (d *deployment) streamArrivals(s stream, team int, load float64, span time.Duration, random *rand.Rand) []*job {
	off := wrong(random)
	usage := model.Resources{s.cores * 1000, s.memory * 1024, 0, 1, 1}
	spec := model.Spec{Class: s.class.Name, Kind: model.Batch, Tasks: 1, Size: usage}
	if s.gang > 0 {
		spec.Kind, spec.Tasks = model.Gang, s.gang
	}
	spec.Size[model.CPU] = clamp(float64(usage[model.CPU])/off, d.capacity[model.CPU]/2)
	spec.Size[model.Memory] = clamp(float64(usage[model.Memory])/off, d.capacity[model.Memory]/2)
	needed := usage.DominantShare(d.capacity.Scale(int64(d.workers))) * s.runTime.Seconds() * float64(spec.Tasks)
	rate := load / needed
	var all []*job
	for at := random.ExpFloat64() / rate; at < span.Seconds(); at += random.ExpFloat64() / rate {
		runTime := time.Duration(random.ExpFloat64() * float64(s.runTime))
		spec.Estimate = time.Duration(float64(runTime) * wrong(random))
		accepted := start.Add(time.Duration(at * float64(time.Second)))
		all = append(all, &job{
			team: team, usage: spread(usage, random), runTime: runTime + time.Millisecond,
			request: &model.Request{
				ID:   model.RequestID(fmt.Sprintf("0-%s%d%d-west", s.class.Name, team, len(all))),
				Team: teamName(team), Spec: spec, Accepted: accepted, Deadline: accepted.Add(s.class.Window),
			},
		})
	}
	return all
}

// sizeSpread is the logarithm of how far the tasks of a class differ.
const sizeSpread = 0.35

// spread returns the usage of one task of a class whose mean usage is given.
func spread(usage model.Resources, random *rand.Rand) model.Resources {
	factor := math.Exp(sizeSpread * (2*random.Float64() - 1))
	usage[model.CPU] = int64(float64(usage[model.CPU]) * factor)
	usage[model.Memory] = int64(float64(usage[model.Memory]) * factor)
	return usage
}

// clamp returns the amount, at least 1 and at most limit.
func clamp(amount float64, limit int64) int64 {
	return max(1, min(int64(amount), limit))
}
