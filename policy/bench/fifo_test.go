package bench_test

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/result"
)

// fifoMaxAttempts is the maximum number of failed attempts per task.
const fifoMaxAttempts = 4

// fifo is a scheduler for comparison. It starts requests in the order of their
// acceptance, each task on the first endpoint with enough free capacity for the
// declared size.
type fifo struct {
	nodes     []model.EndpointInfo
	free      map[model.EndpointID]model.Resources
	queue     []fifoItem
	live      map[model.AttemptID]policy.Start
	remaining map[model.RequestID]int
	ended     map[model.RequestID]bool
	endings   []policy.Ending
}

// fifoItem is an entry of the queue: a request whose remaining tasks start
// together.
type fifoItem struct {
	request *model.Request
	number  int
}

func newFIFO(d *deployment) *fifo {
	f := &fifo{
		nodes: d.endpoints(), free: map[model.EndpointID]model.Resources{},
		live: map[model.AttemptID]policy.Start{}, remaining: map[model.RequestID]int{}, ended: map[model.RequestID]bool{},
	}
	for _, info := range f.nodes {
		f.free[info.ID] = info.Capacity
	}
	return f
}

func (f *fifo) Submit(_ time.Time, request *model.Request) error {
	f.remaining[request.ID] = request.Spec.Tasks
	f.queue = append(f.queue, fifoItem{request: request, number: 1})
	return nil
}

func (f *fifo) Decide(now time.Time, plan *policy.Plan) {
	for len(f.queue) > 0 {
		head := f.queue[0]
		if !head.request.Deadline.After(now) {
			f.end(head.request.ID, result.WindowPassed)
			f.queue = f.queue[1:]
			continue
		}
		if f.ended[head.request.ID] {
			f.queue = f.queue[1:]
			continue
		}
		if !f.start(head, plan) {
			break
		}
		f.queue = f.queue[1:]
	}
	plan.Endings = append(plan.Endings, f.endings...)
	f.endings = f.endings[:0]
}

func (f *fifo) end(id model.RequestID, code result.Code) {
	if !f.ended[id] {
		f.ended[id] = true
		f.endings = append(f.endings, policy.Ending{Request: id, Code: code})
	}
}

func (f *fifo) start(item fifoItem, plan *policy.Plan) bool {
	size, before := item.request.Spec.Size, len(plan.Starts)
	for index := range f.remaining[item.request.ID] {
		id, found := f.firstFit(size)
		if !found {
			for _, s := range plan.Starts[before:] {
				f.free[s.Endpoint] = f.free[s.Endpoint].Add(size)
				delete(f.live, s.Attempt)
			}
			plan.Starts = plan.Starts[:before]
			return false
		}
		s := policy.Start{
			Attempt:  model.AttemptID{Task: model.TaskID{Request: item.request.ID, Index: index}, Number: item.number},
			Endpoint: id, Size: size, Request: item.request,
		}
		f.free[id] = f.free[id].Sub(size)
		f.live[s.Attempt] = s
		plan.Starts = append(plan.Starts, s)
	}
	return true
}

func (f *fifo) firstFit(size model.Resources) (model.EndpointID, bool) {
	for _, info := range f.nodes {
		if size.Fits(f.free[info.ID]) {
			return info.ID, true
		}
	}
	return "", false
}

func (f *fifo) Confirm(time.Time, model.AttemptID) {}

func (f *fifo) ReportUsage(time.Time, model.EndpointID, []model.Running) {}

func (f *fifo) Finish(_ time.Time, finished policy.Finish) {
	s := f.live[finished.Attempt]
	delete(f.live, finished.Attempt)
	f.free[s.Endpoint] = f.free[s.Endpoint].Add(s.Size)
	id := s.Request.ID
	if finished.Outcome == model.Succeeded {
		f.remaining[id]--
		if f.remaining[id] == 0 {
			f.end(id, result.OK)
		}
		return
	}
	if s.Request.Spec.Tasks > 1 || finished.Attempt.Number >= fifoMaxAttempts || s.Request.Spec.NotRepeatable {
		f.end(id, result.TaskFailed)
		return
	}
	f.queue = append(f.queue, fifoItem{request: s.Request, number: finished.Attempt.Number + 1})
}
