package config_test

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/hornbeamworks/hornbeam/storage"
)

// table is an in-memory table with injectable faults.
type table struct {
	// mu guards the other fields: duties and the test use the table concurrently.
	mu         sync.Mutex
	rows       map[string]storage.Row
	down       bool
	loseReply  int
	loseCommit int
	gets       int
	commits    int
	// beforeCommit runs once before the next commit, outside mu.
	beforeCommit func()
}

func newTable() *table { return &table{rows: map[string]storage.Row{}} }

// set applies change, which sets faults, under the lock.
func (t *table) set(change func(*table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

func (t *table) Get(_ context.Context, key string) (storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gets++
	if t.down {
		return storage.Row{}, storage.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return storage.Row{}, storage.ErrNotFound
	}
	return row, nil
}

func (t *table) List(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, storage.ErrUnavailable
	}
	var found []storage.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found[:min(limit, len(found))], nil
}

func (t *table) Commit(_ context.Context, txn storage.Txn) error {
	t.runBeforeCommit()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	if t.down {
		return storage.ErrUnavailable
	}
	if t.loseCommit > 0 {
		t.loseCommit--
		return storage.ErrUnavailable
	}
	for _, check := range txn.Checks {
		if t.rows[check.Key].Version != check.Version {
			return storage.ErrConflict
		}
	}
	for _, write := range txn.Writes {
		t.write(write)
	}
	if t.loseReply > 0 {
		t.loseReply--
		return storage.ErrUnavailable
	}
	return nil
}

func (t *table) runBeforeCommit() {
	t.mu.Lock()
	hook := t.beforeCommit
	t.beforeCommit = nil
	t.mu.Unlock()
	if hook != nil {
		hook()
	}
}

func (t *table) write(w storage.Write) {
	if w.Delete {
		delete(t.rows, w.Key)
		return
	}
	t.rows[w.Key] = storage.Row{Key: w.Key, Value: w.Value, Version: t.rows[w.Key].Version + 1}
}
