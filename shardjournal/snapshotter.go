package shardjournal

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/storage"
)

// snapshotRingCapacity allows one snapshot to wait while another is stored. When
// the ring is full the writer retries with its next row.
const snapshotRingCapacity = 1

// SnapshotRequest is a request to store one snapshot.
type SnapshotRequest struct {
	epoch   model.Epoch
	through Sequence
	content []byte
}

// Snapshotter stores snapshots and deletes the rows that they contain. Its calls
// to the platform block only its own duty.
type Snapshotter struct {
	id      model.ShardID
	timeout time.Duration
	table   storage.Table
	objects storage.ObjectStore
	duty    *duty.Duty[SnapshotRequest]
}

// NewSnapshotter returns a Snapshotter for the shard. name is the name of its
// duty, and timeout bounds each call to the platform.
func NewSnapshotter(name string, id model.ShardID, timeout time.Duration, table storage.Table, objects storage.ObjectStore) *Snapshotter {
	s := &Snapshotter{id: id, timeout: timeout, table: table, objects: objects}
	s.duty = duty.New(name, snapshotRingCapacity, s)
	return s
}

// Duty returns the duty that stores the snapshots; the caller starts it.
func (s *Snapshotter) Duty() *duty.Duty[SnapshotRequest] { return s.duty }

// Handle stores the snapshots of the batch in order.
func (s *Snapshotter) Handle(batch []SnapshotRequest) time.Duration {
	for _, save := range batch {
		s.store(save)
	}
	return duty.Never
}

// offer queues a snapshot of the image and returns false when another is already
// waiting.
func (s *Snapshotter) offer(epoch model.Epoch, through Sequence, image *Image) bool {
	if s.duty.Stats().Depth >= snapshotRingCapacity {
		return false
	}
	content, err := json.Marshal(image)
	if err != nil {
		return false
	}
	return s.duty.Offer(SnapshotRequest{epoch: epoch, through: through, content: content})
}

// store writes the snapshot object and then the pointer to it; only then does it
// delete the previous object and the rows that the snapshot contains. A failed
// step ends it: the next snapshot completes the cleanup.
func (s *Snapshotter) store(save SnapshotRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeoutFactor*s.timeout)
	defer cancel()
	old, err := readPointer(ctx, s.table, s.id)
	if err != nil {
		return
	}
	name := fmt.Sprintf("snapshot/%s/%d-%d", s.id, save.epoch, save.through)
	if err := s.objects.Put(ctx, name, save.content); err != nil {
		return
	}
	if err := s.writePointer(ctx, save, name); err != nil {
		return
	}
	if old.Object != "" && old.Object != name {
		// An object that can't be deleted only takes up storage.
		_ = s.objects.Delete(ctx, old.Object)
	}
	s.truncate(ctx, save)
}

// storeTimeoutFactor bounds the time for storing a snapshot, as a multiple of the
// timeout of one call.
const storeTimeoutFactor = 20

func (s *Snapshotter) writePointer(ctx context.Context, save SnapshotRequest, name string) error {
	// A pointer consists of a string and a number, so encoding can't fail.
	value, _ := json.Marshal(SnapshotPointer{Object: name, Through: save.through})
	return s.table.Commit(ctx, storage.Txn{
		Checks: []storage.Check{s.epochCheck(save)},
		Writes: []storage.Write{{Key: PointerKey(s.id), Value: value}},
	})
}

// truncate deletes the rows that the snapshot contains, up to a List page in one
// transaction.
func (s *Snapshotter) truncate(ctx context.Context, save SnapshotRequest) {
	end := RowKey(s.id, save.through)
	for {
		rows, err := s.table.List(ctx, rowPrefix(s.id), "", listPageRows)
		if err != nil {
			return
		}
		txn := storage.Txn{Checks: []storage.Check{s.epochCheck(save)}}
		for _, row := range rows {
			if row.Key <= end {
				txn.Writes = append(txn.Writes, storage.Write{Key: row.Key, Delete: true})
			}
		}
		if len(txn.Writes) == 0 || s.table.Commit(ctx, txn) != nil {
			return
		}
	}
}

func (s *Snapshotter) epochCheck(save SnapshotRequest) storage.Check {
	return storage.Check{Key: shard.EpochKey(s.id), Version: storage.RowVersion(save.epoch)}
}
