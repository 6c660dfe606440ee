package shardjournal

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// Record is what is remembered of one request.
type Record struct {
	// Request is the request.
	Request *model.Request `json:"request"`
	// Intents are the intended starts, for requests that run at most once.
	Intents []Intent `json:"intents,omitempty"`
	// Parts are the answers of the tasks that have succeeded.
	Parts []model.Part `json:"parts,omitempty"`
	// Moved is the shard that runs the request, nil while it is this one.
	Moved *model.ShardID `json:"moved,omitempty"`
	// Answered is the answer, nil while there is none.
	Answered *Answered `json:"answered,omitempty"`
}

// Image is the state that a journal's entries add up to.
type Image struct {
	// Records are the requests by id.
	Records map[model.RequestID]*Record `json:"records"`
	// Members are the endpoints that the shard commands.
	Members []model.EndpointInfo `json:"members,omitempty"`
}

// NewImage returns the image of an empty journal.
func NewImage() *Image { return &Image{Records: map[model.RequestID]*Record{}} }

// Apply adds the entry. Entries of a request that is not known are dropped:
// its answer has been given and forgotten.
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

// Prune forgets the requests that were answered before the given time and whose
// windows had ended by then: until then a home may ask for the answer of a
// request that it has moved here.
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

// answer keeps the first answer; the parts and intents are in it or of no use
// any more.
func (im *Image) answer(answered *Answered) {
	r := im.Records[answered.Answer.ID]
	if r == nil || r.Answered != nil {
		return
	}
	r.Answered = answered
	r.Intents = nil
	r.Parts = nil
}

// copy returns an image with records of its own; requests and answers are
// shared, since nobody changes them.
func (im *Image) copy() *Image {
	fresh := &Image{Records: make(map[model.RequestID]*Record, len(im.Records)), Members: im.Members}
	for id, r := range im.Records {
		record := *r
		record.Intents = slices.Clone(r.Intents)
		fresh.Records[id] = &record
	}
	return fresh
}
