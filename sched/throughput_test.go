package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/cell"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// rig drives a Shard without threads: it answers Syncs and the journal itself.
type rig struct {
	shard   *Shard
	clock   *clock.Manual
	entries []shardjournal.Message
	jobs    []syncJob
	stamp   int64
	running map[model.EndpointID][]endpoint.Start
	stood   int
	silent  map[model.EndpointID]bool
}

func benchConfig() *model.Config {
	return &model.Config{
		Version: 1,
		Classes: []model.Class{{Name: "c", MaxWait: time.Hour, Window: 24 * time.Hour, Shortage: model.Wait, Repeatable: true}},
		Teams:   []model.Team{{Name: "t", Share: 1000, Limit: unbounded()}},
		Domains: []model.Domain{{Name: "a", Shards: 1}},
	}
}

func unbounded() model.Resources {
	return model.Resources{1 << 40, 1 << 40, 1 << 40, 1 << 40, 1 << 40}
}

// newRig returns a rig whose shard serves.
func newRig(endpoints int, image *shardjournal.Image) *rig {
	r := takingOver(endpoints, endpoints, image)
	for !r.shard.serving() {
		r.turn()
	}
	r.shard.Handle([]Message{parted{1, "t", unbounded()}})
	return r
}

// takingOver returns a rig whose shard has read its shardjournal. The instance list
// names the first endpoints only, and the others give no answer.
func takingOver(endpoints, answering int, image *shardjournal.Image) *rig {
	r := &rig{silent: map[model.EndpointID]bool{}, clock: clock.NewManual(time.Unix(1000, 0)), running: map[model.EndpointID][]endpoint.Start{}}
	settings := DefaultSettings()
	settings.MaxOpen, settings.MaxUnrecorded, settings.MaxWaiters = 1<<30, 1<<30, 1<<30
	ports := Ports{
		Journal: func(m shardjournal.Message) bool { r.entries = append(r.entries, m); return true },
		Resign:  func() bool { return true },
		Parts:   func(partsMessage) bool { r.stood++; return true },
	}
	for range 64 {
		ports.Sync = append(ports.Sync, func(job syncJob) bool { r.jobs = append(r.jobs, job); return true })
	}
	newScheduler := func() policy.Scheduler { return cell.New(policy.Settings{QueueLimit: 1 << 20}) }
	r.shard = NewShard(model.ShardID{Domain: "a"}, "i", settings, r.clock, logging.Discard(), newScheduler, ports)
	var infos []model.EndpointInfo
	for i := range endpoints {
		infos = append(infos, model.EndpointInfo{
			ID: model.EndpointID(fmt.Sprintf("a%03d", i)), Domain: "a", Rack: model.RackName(fmt.Sprint(i / 16)),
			Capacity: model.Resources{32000, 131072, 0, 64, 64},
		})
	}
	image.Members = infos
	for _, info := range infos[answering:] {
		r.silent[info.ID] = true
	}
	r.shard.Handle([]Message{
		configured{config: benchConfig()}, listed{infos[:answering]}, fleet{infos},
		held{epoch: 1, until: r.clock.Now().Add(24 * time.Hour)},
	})
	r.shard.Handle([]Message{replayed{epoch: 1, image: image}})
	return r
}

// turn answers what the shard has sent and lets a millisecond pass.
func (r *rig) turn(more ...Message) {
	r.clock.Advance(time.Millisecond)
	batch := append(more, r.durable())
	for _, job := range r.jobs {
		batch = append(batch, r.answer(job))
	}
	r.jobs = r.jobs[:0]
	r.shard.Handle(batch)
}

func (r *rig) durable() Message {
	r.entries = r.entries[:0]
	return durable{epoch: 1, number: r.shard.appended}
}

// answer ends every task with the Sync after its start.
func (r *rig) answer(job syncJob) Message {
	r.stamp++
	reply := endpoint.SyncReply{Stamp: r.stamp}
	for _, start := range r.running[job.info.ID] {
		reply.Finished = append(reply.Finished, model.Finished{Attempt: start.Attempt, Outcome: model.Succeeded, Output: "x"})
	}
	r.running[job.info.ID] = nil
	for _, start := range job.request.Starts {
		reply.Results = append(reply.Results, endpoint.StartResult{Attempt: start.Attempt, Started: true})
		r.running[job.info.ID] = append(r.running[job.info.ID], start)
	}
	now := r.clock.Now()
	if r.silent[job.info.ID] {
		return synced{epoch: 1, id: job.info.ID, worker: job.worker, request: job.request, err: endpoint.ErrUnavailable, sentAt: now, endedAt: now}
	}
	return synced{epoch: 1, id: job.info.ID, worker: job.worker, request: job.request, reply: reply, sentAt: now, endedAt: now}
}

func benchSubmit(clock clock.Clock, i int) submit {
	return submit{
		request: peer.SubmitRequest{
			ID: model.RequestID(fmt.Sprintf("0-%d-a", i)), Team: "t", Key: model.IdempotencyKey(fmt.Sprint(i)), ConfigVersion: 1,
			Spec: model.Spec{Class: "c", Tasks: 1, Size: model.Resources{500, 256, 0, 1, 1}, Estimate: time.Second},
		},
		caller: caller{reply: make(chan peer.Reply, 1), until: clock.Now().Add(time.Hour)},
	}
}

// BenchmarkShard is the whole way of a request through the shard duty: submit,
// plan, start, finish, answer.
func BenchmarkShard(b *testing.B) {
	const endpoints, eachTurn = 64, 16
	r := newRig(endpoints, shardjournal.NewImage())
	b.ReportAllocs()
	b.ResetTimer()
	done := answersGiven.Value()
	for i := 0; i < b.N; i += eachTurn {
		var batch []Message
		for j := range eachTurn {
			batch = append(batch, benchSubmit(r.clock, i+j))
		}
		r.turn(batch...)
	}
	for turns := 0; answersGiven.Value()-done < int64(b.N); turns++ {
		if turns > 1_000_000 {
			b.Fatal("requests are left without an answer")
		}
		r.turn()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkTakeover is the shard duty's part of a take-over, from the journal's
// image to the first plan, against the number of open requests.
func BenchmarkTakeover(b *testing.B) {
	for _, open := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				image := openImage(open)
				b.StartTimer()
				newRig(64, image)
			}
		})
	}
}

// openImage is the image of a journal with the number of open requests.
func openImage(open int) *shardjournal.Image {
	image := shardjournal.NewImage()
	for i := range open {
		id := model.RequestID(fmt.Sprintf("0-%d-a", i))
		image.Apply(shardjournal.Entry{Accepted: &model.Request{
			ID: id, Team: "t", Accepted: time.Unix(1000, 0), Deadline: time.Unix(1_000_000, 0),
			Spec: model.Spec{Class: "c", Kind: model.Batch, Tasks: 1, Size: model.Resources{500, 256, 0, 1, 1}, Estimate: time.Second},
		}})
	}
	return image
}
