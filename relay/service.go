package relay

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// serviceName is the net/rpc name of the service.
	serviceName = "Table"
	doMethod    = serviceName + ".Do"
	// servedTimeout bounds a call that is made for another instance beyond its
	// wait; it is below the time that the caller allows.
	servedTimeout = 450 * time.Millisecond
)

// kind is one of the calls of a table.
type kind int

const (
	get kind = iota
	list
	write
	scan
	watch
)

// Request is a call that is made for another instance.
type Request struct {
	Kind kind
	// Key is the key, prefix or table that is asked for; From and Limit bound
	// a list.
	Key, From string
	Limit     int
	// Txn is what to write.
	Txn storage.Txn
	// After and Wait are those of a feed's call.
	After storage.RowVersion
	Wait  time.Duration
}

// Reply is what came of it; the field of its kind is set.
type Reply struct {
	Row      storage.Row
	Snapshot storage.Snapshot
	Changes  storage.Changes
	Version  storage.RowVersion
	// Code stands for the table's error.
	Code result.Code
}

// Serve offers the table to other instances. It is given the direct one, so
// that a call is passed on once.
func Serve(server *peerrpc.Server, direct storage.FeedTable) error {
	return server.Register(serviceName, &service{table: direct})
}

// service is the net/rpc service.
type service struct{ table storage.FeedTable }

// Do makes a call for another instance.
func (s *service) Do(r Request, reply *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.Wait+servedTimeout)
	defer cancel()
	found, err := call(ctx, s.table, r)
	*reply = found
	reply.Code = codeOf(err)
	return nil
}

// call makes the call at the table.
func call(ctx context.Context, t storage.FeedTable, r Request) (reply Reply, err error) {
	switch r.Kind {
	case get:
		reply.Row, err = t.Get(ctx, r.Key)
	case list:
		reply.Snapshot.Rows, err = t.List(ctx, r.Key, r.From, r.Limit)
	case write:
		reply.Version, err = t.Write(ctx, r.Txn)
	case scan:
		reply.Snapshot, err = t.Scan(ctx, r.Key)
	case watch:
		reply.Changes, err = t.Watch(ctx, r.Key, r.After, r.Wait)
	default:
		err = eris.Errorf("unknown kind %d of call", r.Kind)
	}
	return reply, err
}

// codeOf returns the result code that stands for the error between instances.
func codeOf(err error) result.Code {
	switch {
	case err == nil:
		return result.OK
	case eris.Is(err, storage.ErrConflict):
		return result.ChangeConflict
	case eris.Is(err, storage.ErrNotFound):
		return result.UnknownRequest
	case eris.Is(err, storage.ErrHistoryGone):
		return result.ConfigStale
	case eris.Is(err, storage.ErrUnavailable):
		return result.ChangeUnconfirmed
	default:
		return result.StoreUnavailable
	}
}

// errorOf is the inverse of codeOf.
func errorOf(code result.Code) error {
	switch code {
	case result.OK:
		return nil
	case result.ChangeConflict:
		return storage.ErrConflict
	case result.UnknownRequest:
		return storage.ErrNotFound
	case result.ConfigStale:
		return storage.ErrHistoryGone
	case result.StoreUnavailable:
		return storage.ErrRefused
	default:
		return storage.ErrUnavailable
	}
}
