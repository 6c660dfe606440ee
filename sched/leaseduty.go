package sched

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shard"
)

// resign asks the lease duty to hand the shard back.
type resign struct{}

// leaseDuty is the handler of the lease duty.
type leaseDuty struct {
	lease     *shard.Lease
	resigning bool
}

// Handle does what is due at the lease row.
func (l *leaseDuty) Handle(batch []resign) time.Duration {
	l.resigning = l.resigning || len(batch) > 0
	if l.resigning && !l.lease.Resigned() {
		l.lease.Resign()
	}
	return l.lease.Tick()
}

// leaseEvents posts what becomes of the lease to the shard duty.
type leaseEvents struct{ post func(Message) }

// Held implements shard.Listener.
func (e leaseEvents) Held(epoch model.Epoch, until time.Time) { e.post(held{epoch, until}) }

// Renewed implements shard.Listener.
func (e leaseEvents) Renewed(until time.Time) { e.post(renewed{until}) }

// Lost implements shard.Listener.
func (e leaseEvents) Lost() { e.post(lost{}) }

// Released implements shard.Listener.
func (e leaseEvents) Released() { e.post(resigned{}) }

// Seen implements shard.Listener.
func (e leaseEvents) Seen(holder shard.LeaseRow) { e.post(seen{holder}) }
