package shardjournal

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// Record is the journaled state of one request.
type Record struct {
	Request *model.Request `json:"request"`
	// Intents are the recorded intents to start, for requests that run at most
	// once.
	Intents []Intent `json:"intents,omitempty"`
	// Parts are the answer parts of the tasks that succeeded.
	Parts []model.Part `json:"parts,omitempty"`
	// Moved is the shard that the request was transferred to; nil when it was not.
	Moved *model.ShardID `json:"moved,omitempty"`
	// Answered is the answer; nil while there is none.
	Answered *Answered `json:"answered,omitempty"`
}

// Image is the state that results from applying a journal's entries in order.
type Image struct {
	// Records are the requests by id.
	Records map[model.RequestID]*Record `json:"records"`
	// Members are the endpoints that belong to the shard.
	Members []model.EndpointInfo `json:"members,omitempty"`
}

// NewImage returns the image of an empty journal.
func NewImage() *Image { return &Image{Records: map[model.RequestID]*Record{}} }

// Apply applies the entry. Entries of a request without a record are dropped: it
// has been answered and pruned.
func (im *Image) Apply(e Entry) {
	if e.Accepted != nil {
		im.accept(e.Accepted)
	}
	if e.Intent != nil {
		im.intend(*e.Intent)
	}
	if e.Withdrawn != nil {
		im.withdraw(*e.Withdrawn)
	}
	if e.Done != nil {
		im.finish(*e.Done)
	}
	if e.Moved != nil {
		im.move(*e.Moved)
	}
	if e.Answered != nil {
		im.answer(e.Answered)
	}
	if e.Members != nil {
		im.Members = e.Members.Endpoints
	}
}

// Prune removes the requests that were answered before the given time and whose
// windows had ended by then. Within its window, the home of a request that was
// transferred here may still request the answer.
func (im *Image) Prune(before time.Time) {
	for id, r := range im.Records {
		if r.Answered != nil && r.Answered.At.Before(before) && r.Request.Deadline.Before(before) {
			delete(im.Records, id)
		}
	}
}

func (im *Image) accept(request *model.Request) {
	if im.Records[request.ID] == nil {
		im.Records[request.ID] = &Record{Request: request}
	}
}

func (im *Image) intend(intent Intent) {
	if r := im.Records[intent.Attempt.Task.Request]; r != nil {
		r.Intents = append(r.Intents, intent)
	}
}

func (im *Image) withdraw(attempt model.AttemptID) {
	if r := im.Records[attempt.Task.Request]; r != nil {
		r.Intents = slices.DeleteFunc(r.Intents, func(i Intent) bool { return i.Attempt == attempt })
	}
}

func (im *Image) move(moved Moved) {
	if r := im.Records[moved.Request]; r != nil {
		r.Moved = &moved.To
	}
}

func (im *Image) finish(done Done) {
	if r := im.Records[done.Request]; r != nil {
		r.Parts = append(r.Parts, done.Part)
	}
}

// answer records the first answer and removes parts and intents: the answer
// contains the parts, and the intents are no longer needed.
func (im *Image) answer(answered *Answered) {
	r := im.Records[answered.Answer.ID]
	if r == nil || r.Answered != nil {
		return
	}
	r.Answered = answered
	r.Intents = nil
	r.Parts = nil
}

// copy returns an image with its own records. Requests and answers are shared
// because they are immutable.
func (im *Image) copy() *Image {
	copied := &Image{Records: make(map[model.RequestID]*Record, len(im.Records)), Members: im.Members}
	for id, r := range im.Records {
		record := *r
		record.Intents = slices.Clone(r.Intents)
		copied.Records[id] = &record
	}
	return copied
}
