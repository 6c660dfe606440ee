package standin

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/storage"
)

// ObjectFaults are the faults that an object store simulates.
type ObjectFaults struct {
	// Outage makes every call fail without effect.
	Outage bool `json:"outage,omitempty"`
	// DelayMS is added to every call, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// ObjectStore is an in-memory object store.
type ObjectStore struct{ duty *duty.Duty[objectMessage] }

// objectMessage is a request to the store's duty.
type objectMessage interface{ apply(*objectState) }

type objectReply struct {
	content []byte
	err     error
	delay   time.Duration
}

// objectState is owned by the store's duty.
type objectState struct {
	faults  ObjectFaults
	objects map[string][]byte
}

type (
	objectGet struct {
		name  string
		reply chan<- objectReply
	}
	objectPut struct {
		name    string
		content []byte
		reply   chan<- objectReply
	}
	objectDelete struct {
		name  string
		reply chan<- objectReply
	}
	objectFaults struct {
		faults ObjectFaults
		reply  chan<- objectReply
	}
)

// NewObjectStore returns an empty store. Its duty has to be started.
func NewObjectStore() *ObjectStore {
	state := &objectState{objects: map[string][]byte{}}
	handle := func(batch []objectMessage) time.Duration {
		for _, m := range batch {
			m.apply(state)
		}
		return duty.Never
	}
	return &ObjectStore{duty: duty.New("objects", ringCapacity, duty.HandlerFunc[objectMessage](handle))}
}

// Duty returns the store's duty, for a Group.
func (s *ObjectStore) Duty() duty.Runner { return s.duty }

// Client returns a client of the store, subject to its faults.
func (s *ObjectStore) Client() storage.ObjectStore { return objectClient{s} }

// SetFaults replaces the simulated faults.
func (s *ObjectStore) SetFaults(ctx context.Context, faults ObjectFaults) error {
	reply := make(chan objectReply, 1)
	_, ok := postAndWait[objectMessage](ctx, s.duty, objectFaults{faults, reply}, reply)
	return replyError(ok)
}

func (m objectGet) apply(s *objectState) {
	content, found := s.objects[m.name]
	r := s.admit()
	if r.err == nil && !found {
		r.err = eris.Wrap(storage.ErrNotFound, m.name)
	}
	if r.err == nil {
		r.content = content
	}
	m.reply <- r
}

func (m objectPut) apply(s *objectState) {
	r := s.admit()
	if r.err == nil {
		s.objects[m.name] = m.content
	}
	m.reply <- r
}

func (m objectDelete) apply(s *objectState) {
	r := s.admit()
	if r.err == nil {
		delete(s.objects, m.name)
	}
	m.reply <- r
}

func (m objectFaults) apply(s *objectState) {
	s.faults = m.faults
	m.reply <- objectReply{}
}

func (s *objectState) admit() objectReply {
	r := objectReply{delay: millis(s.faults.DelayMS)}
	if s.faults.Outage {
		r.err = eris.Wrap(storage.ErrUnavailable, "outage")
	}
	return r
}

// objectClient is the client of the store, faults included.
type objectClient struct{ store *ObjectStore }

// Put implements storage.ObjectStore.
func (c objectClient) Put(ctx context.Context, name string, content []byte) error {
	reply := make(chan objectReply, 1)
	_, err := c.call(ctx, objectPut{name, slices.Clone(content), reply}, reply)
	return err
}

// Get implements storage.ObjectStore.
func (c objectClient) Get(ctx context.Context, name string) ([]byte, error) {
	reply := make(chan objectReply, 1)
	r, err := c.call(ctx, objectGet{name, reply}, reply)
	return slices.Clone(r.content), err
}

// Delete implements storage.ObjectStore.
func (c objectClient) Delete(ctx context.Context, name string) error {
	reply := make(chan objectReply, 1)
	_, err := c.call(ctx, objectDelete{name, reply}, reply)
	return err
}

func (c objectClient) call(ctx context.Context, m objectMessage, reply chan objectReply) (objectReply, error) {
	r, ok := postAndWait(ctx, c.store.duty, m, reply)
	if !ok || !sleep(ctx, r.delay) {
		return objectReply{}, replyError(false)
	}
	return r, r.err
}
