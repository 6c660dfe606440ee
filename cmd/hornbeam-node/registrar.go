package main

import (
	"context"
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// registerTimeout bounds the write of the instance's row.
	registerTimeout = time.Second
	// registerRetry is the pause after a write that failed.
	registerRetry = 500 * time.Millisecond
)

// registrar is the duty that writes the instance's peer address once.
type registrar struct {
	*duty.Duty[struct{}]
	node *node
	done bool
}

func newRegistrar(n *node) *registrar {
	r := &registrar{node: n}
	r.Duty = duty.New("registrar", 1, duty.HandlerFunc[struct{}](r.handle))
	return r
}

func (r *registrar) handle([]struct{}) time.Duration {
	if r.done || r.node.ctx.Err() != nil {
		return duty.Never
	}
	ctx, cancel := context.WithTimeout(r.node.ctx, registerTimeout)
	defer cancel()
	row := holder.Node{Address: r.node.settings.Listen.Peers, Incarnation: r.node.incarnation}
	err := r.node.table.Commit(ctx, storage.Txn{Writes: []storage.Write{{
		Key: holder.NodesTable + "//" + r.node.settings.Node.Name, Value: holder.Encode(row),
	}}})
	if err != nil {
		r.node.log.Warn("instance_not_registered", slog.Any("error", err))
		return registerRetry
	}
	r.done = true
	return duty.Never
}
