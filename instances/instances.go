// Package instances knows the other instances of the system: each writes its
// peer address to the table, and reads the others' from time to time.
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

// prefix is the prefix of the instances' rows.
const prefix = "nodes//"

const (
	// callTimeout bounds a call of the table.
	callTimeout = time.Second
	// retryPause is the pause after a call that failed.
	retryPause = 300 * time.Millisecond
	// readPeriod is how often the rows are read.
	readPeriod = 3 * time.Second
	// startPeriod is how often they are read soon after the start, when others
	// start, too.
	startPeriod = 500 * time.Millisecond
	startReads  = 6
)

// Instance is an instance of the system.
type Instance struct {
	// Address is its peer address.
	Address string `json:"address"`
	// Domain is its failure domain.
	Domain model.DomainName `json:"domain"`
	// CPUShare is the share of a core that it has.
	CPUShare float64 `json:"cpu_share"`
}

// Row is the row of an instance.
type Row struct {
	Instance
	// Incarnation names one run of its process.
	Incarnation string `json:"incarnation"`
}

// Options are what the directory needs.
type Options struct {
	// Self names this instance, Row is its row.
	Self  string
	Row   Row
	Table storage.Table
	Log   *logging.Logger
	// Sink is told when the others have changed, on the directory's thread.
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

// New returns a directory that has not started; its calls end with ctx.
func New(ctx context.Context, o Options) *Directory {
	d := &Directory{Options: o, ctx: ctx}
	d.others.Store(&[]Instance{})
	d.Duty = duty.NewCalling("directory", 1, duty.HandlerFunc[struct{}](d.handle))
	return d
}

// Others returns the other instances.
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

// Largest returns the largest share of a core that another instance has.
func (d *Directory) Largest() float64 {
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
	if err := d.step(); err != nil {
		d.Log.Warn("instances_not_read", slog.Bool("registered", d.registered), slog.Any("error", err))
		return retryPause
	}
	d.reads++
	if d.reads < startReads {
		return startPeriod
	}
	return readPeriod
}

func (d *Directory) step() error {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	if !d.registered {
		write := storage.Write{Key: prefix + d.Self, Value: storage.Encode(d.Row)}
		if err := d.Table.Commit(ctx, storage.Txn{Writes: []storage.Write{write}}); err != nil {
			return err
		}
		d.registered = true
	}
	return d.read(ctx)
}

// maxInstances bounds the instances that are read.
const maxInstances = 500

func (d *Directory) read(ctx context.Context) error {
	rows, err := d.Table.List(ctx, prefix, "", maxInstances)
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
		if strings.TrimPrefix(row.Key, prefix) != d.Self {
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
