package sched

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shard"
)

// resign requests the lease duty to release the shard.
type resign struct{}

// leaseDuty is the handler of the lease duty.
type leaseDuty struct {
	lease     *shard.Lease
	resigning bool
}

// Handle applies a request to resign and does what is due for the lease row.
func (l *leaseDuty) Handle(batch []resign) time.Duration {
	l.resigning = l.resigning || len(batch) > 0
	if l.resigning && !l.lease.Resigned() {
		l.lease.Resign()
	}
	return l.lease.Tick()
}

// leaseEvents posts the lease's events to the shard duty.
type leaseEvents struct{ post func(Message) }

// Held implements shard.Listener.
func (e leaseEvents) Held(epoch model.Epoch, until time.Time) { e.post(leaseHeld{epoch, until}) }

// Renewed implements shard.Listener.
func (e leaseEvents) Renewed(until time.Time) { e.post(leaseRenewed{until}) }

// Lost implements shard.Listener.
func (e leaseEvents) Lost() { e.post(leaseLost{}) }

// Released implements shard.Listener.
func (e leaseEvents) Released() { e.post(leaseReleased{}) }

// HolderObserved implements shard.Listener.
func (e leaseEvents) HolderObserved(holder shard.LeaseRow) { e.post(leaseObserved{holder}) }
