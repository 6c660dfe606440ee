package sched

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// journalEvents posts what becomes of the journal to the shard duty.
type journalEvents struct{ post func(Message) }

// Replayed implements shardjournal.Listener.
func (e journalEvents) Replayed(epoch model.Epoch, image *shardjournal.Image) {
	e.post(replayed{epoch, image})
}

// Durable implements shardjournal.Listener.
func (e journalEvents) Durable(epoch model.Epoch, number uint64) { e.post(durable{epoch, number}) }

// Store implements shardjournal.Listener.
func (e journalEvents) Store(epoch model.Epoch, up bool) { e.post(store{epoch, up}) }

// Fenced implements shardjournal.Listener.
func (e journalEvents) Fenced(epoch model.Epoch) { e.post(fenced{epoch}) }
