package sched

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// journalEvents posts the journal's events to the shard duty.
type journalEvents struct{ post func(Message) }

// Replayed implements shardjournal.Listener.
func (e journalEvents) Replayed(epoch model.Epoch, image *shardjournal.Image) {
	e.post(journalReplayed{epoch, image})
}

// Durable implements shardjournal.Listener.
func (e journalEvents) Durable(epoch model.Epoch, number uint64) {
	e.post(entriesDurable{epoch, number})
}

// StoreStateChanged implements shardjournal.Listener.
func (e journalEvents) StoreStateChanged(epoch model.Epoch, up bool) { e.post(storeChanged{epoch, up}) }

// Fenced implements shardjournal.Listener.
func (e journalEvents) Fenced(epoch model.Epoch) { e.post(journalFenced{epoch}) }
