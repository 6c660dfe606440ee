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

// snapshotRing holds the one snapshot that waits while another is written. A
// full ring refuses: the writer tries again with its next row.
const snapshotRing = 1

// Save asks for one snapshot to be stored.
type Save struct {
	epoch   model.Epoch
	through Sequence
	content []byte
}

// Snapshotter stores snapshots and deletes the rows before them. Its calls
// block its own duty alone.
type Snapshotter struct {
	id      model.ShardID
	timeout time.Duration
	table   storage.Table
	objects storage.ObjectStore
	duty    *duty.Duty[Save]
}

// NewSnapshotter returns the duty that stores the shard's snapshots. timeout
// bounds each call of the platform.
func NewSnapshotter(name string, id model.ShardID, timeout time.Duration, table storage.Table, objects storage.ObjectStore) *Snapshotter {
	s := &Snapshotter{id: id, timeout: timeout, table: table, objects: objects}
	s.duty = duty.New(name, snapshotRing, s)
	return s
}

// Duty returns the duty to be started.
func (s *Snapshotter) Duty() *duty.Duty[Save] { return s.duty }

// Handle stores the snapshots of the batch.
func (s *Snapshotter) Handle(batch []Save) time.Duration {
	for _, save := range batch {
		s.store(save)
	}
	return duty.Never
}

func (s *Snapshotter) offer(epoch model.Epoch, through Sequence, image *Image) bool {
	if s.duty.Stats().Depth >= snapshotRing {
		return false
	}
	content, err := json.Marshal(image)
	if err != nil {
		return false
	}
	return s.duty.Offer(Save{epoch: epoch, through: through, content: content})
}

// store writes the object, points to it, and only then deletes what it holds.
// A step that fails ends it: the next snapshot does the rest.
func (s *Snapshotter) store(save Save) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeouts*s.timeout)
	defer cancel()
	old, err := readPointer(ctx, s.table, s.id)
	if err != nil {
		return
	}
	name := fmt.Sprintf("snapshot/%s/%d-%d", s.id, save.epoch, save.through)
	if err := s.objects.Put(ctx, name, save.content); err != nil {
		return
	}
	if err := s.point(ctx, save, name); err != nil {
		return
	}
	if old.Object != "" && old.Object != name {
		// An object that stays behind costs room only.
		_ = s.objects.Delete(ctx, old.Object)
	}
	s.truncate(ctx, save)
}

// storeTimeouts is how many calls of the platform one snapshot may last.
const storeTimeouts = 20

func (s *Snapshotter) point(ctx context.Context, save Save, name string) error {
	// A pointer holds a string and a number, which always encode.
	value, _ := json.Marshal(Pointer{Object: name, Through: save.through})
	return s.table.Commit(ctx, storage.Txn{
		Checks: []storage.Check{s.epochCheck(save)},
		Writes: []storage.Write{{Key: PointerKey(s.id), Value: value}},
	})
}

// truncate deletes the rows that the snapshot holds, many to a transaction.
func (s *Snapshotter) truncate(ctx context.Context, save Save) {
	end := RowKey(s.id, save.through)
	for {
		rows, err := s.table.List(ctx, rowPrefix(s.id), "", listRows)
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

func (s *Snapshotter) epochCheck(save Save) storage.Check {
	return storage.Check{Key: shard.EpochKey(s.id), Version: storage.RowVersion(save.epoch)}
}
