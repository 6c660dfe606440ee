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

// listRows is the number of rows read in one call of the table.
const listRows = 200

// Sequence numbers the rows of a shard's journal from 1.
type Sequence uint64

// Row is the content of one row of the journal.
type Row struct {
	// Writer is the process that wrote the row.
	Writer model.InstanceID `json:"writer"`
	// Epoch is the epoch that it wrote under.
	Epoch model.Epoch `json:"epoch"`
	// Entries are the entries in their order.
	Entries []Entry `json:"entries"`
}

// Pointer is the content of the row that names the current snapshot.
type Pointer struct {
	// Object is the snapshot's name in the object store.
	Object string `json:"object"`
	// Through is the last row that the snapshot holds.
	Through Sequence `json:"through"`
}

// RowKey returns the key of the row with the sequence.
func RowKey(id model.ShardID, sequence Sequence) string {
	return fmt.Sprintf("%s%020d", rowPrefix(id), uint64(sequence))
}

// PointerKey returns the key of the row that names the current snapshot.
func PointerKey(id model.ShardID) string { return "shard/" + id.String() + "/snapshot" }

func rowPrefix(id model.ShardID) string { return "journal/" + id.String() + "/" }

// Replay reads the whole journal of the shard: its image and the sequence of
// its last row.
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

func readPointer(ctx context.Context, table storage.Table, id model.ShardID) (Pointer, error) {
	var pointer Pointer
	row, err := table.Get(ctx, PointerKey(id))
	if errors.Is(err, storage.ErrNotFound) {
		return pointer, nil
	}
	if err != nil {
		return pointer, err
	}
	err = json.Unmarshal(row.Value, &pointer)
	return pointer, eris.Wrap(err, "pointer to the snapshot")
}

func readSnapshot(ctx context.Context, objects storage.ObjectStore, pointer Pointer) (*Image, error) {
	image := NewImage()
	if pointer.Object == "" {
		return image, nil
	}
	raw, err := objects.Get(ctx, pointer.Object)
	if err != nil {
		return nil, err
	}
	err = json.Unmarshal(raw, image)
	return image, eris.Wrapf(err, "snapshot %s", pointer.Object)
}

func replayRows(ctx context.Context, table storage.Table, id model.ShardID, through Sequence, image *Image) (Sequence, error) {
	last, after := through, RowKey(id, through)
	for {
		rows, err := table.List(ctx, rowPrefix(id), after, listRows)
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
		if len(rows) < listRows {
			return last, nil
		}
	}
}

func applyRow(row storage.Row, image *Image) error {
	var content Row
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return eris.Wrapf(err, "journal row %s", row.Key)
	}
	for _, e := range content.Entries {
		image.Apply(e)
	}
	return nil
}
