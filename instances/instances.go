// Package instances is a directory of the system's instances. Each instance writes a
// row with its peer address to the table and periodically reads those of the others.
// Rows are not deleted, so a listed instance may have ended.
package instances

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// rowPrefix is the key prefix of the instances' rows.
const rowPrefix = "nodes//"

const (
	// callTimeout bounds the table calls of one read.
	callTimeout = time.Second
	// retryPause is the pause after a failed read.
	retryPause = 300 * time.Millisecond
	// readPeriod is the time between two reads.
	readPeriod = 3 * time.Second
	// startupReadPeriod is the time between the first startupReads reads, while the
	// other instances are likely to start, too.
	startupReadPeriod = 500 * time.Millisecond
	startupReads      = 6
)

// Instance is an instance of the system.
type Instance struct {
	// Address is its peer address.
	Address string `json:"address"`
	// Domain is its failure domain.
	Domain model.DomainName `json:"domain"`
	// CPUShare is its CPU capacity as a fraction of one core.
	CPUShare float64 `json:"cpu_share"`
}

// Row is the value of an instance's row in the table.
type Row struct {
	Instance
	// Incarnation identifies one run of its process.
	Incarnation string `json:"incarnation"`
}

// Options configures a directory.
type Options struct {
	// Self is the name of this instance, Row its row.
	Self  string
	Row   Row
	Table storage.Table
	Log   *logging.Logger
	// Sink is called when the set of other instances has changed, on the
	// directory's thread.
	Sink func(others []Instance)
}

// Directory is the duty that registers this instance and reads the others.
type Directory struct {
	Options
	*duty.Duty[struct{}]
	ctx        context.Context
	registered bool
	reads      int
	others     atomic.Pointer[[]Instance]
}

// New returns a directory that has not been started. Cancelling ctx ends its calls.
func New(ctx context.Context, o Options) *Directory {
	d := &Directory{Options: o, ctx: ctx}
	d.others.Store(&[]Instance{})
	d.Duty = duty.NewCalling("directory", 1, duty.HandlerFunc[struct{}](d.handle))
	return d
}

// Others returns the other instances as of the last read; empty before the first.
func (d *Directory) Others() []Instance { return *d.others.Load() }

// Addresses returns the peer addresses of the other instances.
func (d *Directory) Addresses() []string {
	others := d.Others()
	addresses := make([]string, 0, len(others))
	for _, i := range others {
		addresses = append(addresses, i.Address)
	}
	return addresses
}

// LargestCPUShare returns the largest CPUShare of the other instances; 0 if there are none.
func (d *Directory) LargestCPUShare() float64 {
	largest := 0.0
	for _, i := range d.Others() {
		largest = max(largest, i.CPUShare)
	}
	return largest
}

func (d *Directory) handle([]struct{}) time.Duration {
	if d.ctx.Err() != nil {
		return duty.Never
	}
	if err := d.sync(); err != nil {
		d.Log.Warn("instances_not_read", slog.Bool("registered", d.registered), slog.Any("error", err))
		return retryPause
	}
	d.reads++
	if d.reads < startupReads {
		return startupReadPeriod
	}
	return readPeriod
}

func (d *Directory) sync() error {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	if !d.registered {
		write := storage.Write{Key: rowPrefix + d.Self, Value: storage.Encode(d.Row)}
		if err := d.Table.Commit(ctx, storage.Txn{Writes: []storage.Write{write}}); err != nil {
			return err
		}
		d.registered = true
	}
	return d.read(ctx)
}

// maxInstances bounds the rows of one read.
const maxInstances = 500

func (d *Directory) read(ctx context.Context) error {
	rows, err := d.Table.List(ctx, rowPrefix, "", maxInstances)
	if err != nil {
		return err
	}
	var others []Instance
	for _, row := range rows {
		var other Row
		if err := json.Unmarshal(row.Value, &other); err != nil {
			d.Log.Error("instance_unreadable", slog.String("key", row.Key), slog.Any("error", err))
			continue
		}
		if strings.TrimPrefix(row.Key, rowPrefix) != d.Self {
			others = append(others, other.Instance)
		}
	}
	if !slices.Equal(others, d.Others()) {
		d.others.Store(&others)
		d.Log.Info("instances_read", slog.Int("others", len(others)))
		d.Sink(others)
	}
	return nil
}
