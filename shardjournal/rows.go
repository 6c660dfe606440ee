package shardjournal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// listPageRows is the number of rows requested in one List call.
const listPageRows = 200

// Sequence is the number of a row in a shard's journal; the first is 1.
type Sequence uint64

// Row is the content of one row of the journal.
type Row struct {
	Writer model.InstanceID `json:"writer"`
	// Epoch is the epoch under which the row was written.
	Epoch   model.Epoch `json:"epoch"`
	Entries []Entry     `json:"entries"`
}

// SnapshotPointer is the content of the row that names the current snapshot.
type SnapshotPointer struct {
	// Object is the name of the snapshot in the object store; empty when there is
	// no snapshot.
	Object string `json:"object"`
	// Through is the last row that the snapshot contains.
	Through Sequence `json:"through"`
}

// RowKey returns the key of a row of the shard's journal. Keys sort by sequence.
func RowKey(id model.ShardID, sequence Sequence) string {
	return fmt.Sprintf("%s%020d", rowPrefix(id), uint64(sequence))
}

// PointerKey returns the key of the row that names the current snapshot.
func PointerKey(id model.ShardID) string { return "shard/" + id.String() + "/snapshot" }

func rowPrefix(id model.ShardID) string { return "journal/" + id.String() + "/" }

// Replay reads the shard's journal and returns the resulting image and the
// sequence of the last row.
func Replay(ctx context.Context, table storage.Table, objects storage.ObjectStore, id model.ShardID) (*Image, Sequence, error) {
	pointer, err := readPointer(ctx, table, id)
	if err != nil {
		return nil, 0, err
	}
	image, err := readSnapshot(ctx, objects, pointer)
	if err != nil {
		return nil, 0, err
	}
	last, err := replayRows(ctx, table, id, pointer.Through, image)
	return image, last, err
}

func readPointer(ctx context.Context, table storage.Table, id model.ShardID) (SnapshotPointer, error) {
	var pointer SnapshotPointer
	row, err := table.Get(ctx, PointerKey(id))
	if errors.Is(err, storage.ErrNotFound) {
		return pointer, nil
	}
	if err != nil {
		return pointer, err
	}
	err = json.Unmarshal(row.Value, &pointer)
	return pointer, eris.Wrap(err, "decoding the snapshot pointer")
}

func readSnapshot(ctx context.Context, objects storage.ObjectStore, pointer SnapshotPointer) (*Image, error) {
	image := NewImage()
	if pointer.Object == "" {
		return image, nil
	}
	raw, err := objects.Get(ctx, pointer.Object)
	if err != nil {
		return nil, err
	}
	err = json.Unmarshal(raw, image)
	return image, eris.Wrapf(err, "decoding snapshot %s", pointer.Object)
}

func replayRows(ctx context.Context, table storage.Table, id model.ShardID, through Sequence, image *Image) (Sequence, error) {
	last, after := through, RowKey(id, through)
	for {
		rows, err := table.List(ctx, rowPrefix(id), after, listPageRows)
		if err != nil {
			return last, err
		}
		for _, row := range rows {
			if err := applyRow(row, image); err != nil {
				return last, err
			}
			after = row.Key
			last++
		}
		if len(rows) < listPageRows {
			return last, nil
		}
	}
}

func applyRow(row storage.Row, image *Image) error {
	var content Row
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return eris.Wrapf(err, "decoding journal row %s", row.Key)
	}
	for _, e := range content.Entries {
		image.Apply(e)
	}
	return nil
}
