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
	// serveTimeout bounds a call made for another instance, in addition to its
	// wait. It is shorter than the time that the caller allows.
	serveTimeout = 450 * time.Millisecond
)

// kind is a method of storage.FeedTable.
type kind int

const (
	get kind = iota
	list
	write
	scan
	watch
)

// Request is a table call to be made for another instance.
type Request struct {
	Kind kind
	// Key is the key, prefix or table to read. From and Limit bound a list.
	Key, From string
	Limit     int
	// Txn is the transaction of a write.
	Txn storage.Txn
	// After and Wait are the arguments of a watch.
	After storage.RowVersion
	Wait  time.Duration
}

// Reply is the result of a Request. Only the field of the request's kind is set.
type Reply struct {
	Row      storage.Row
	Snapshot storage.Snapshot
	Changes  storage.Changes
	Version  storage.RowVersion
	// Code represents the table's error; see codeOf.
	Code result.Code
}

// Serve makes the table callable by other instances. direct must not be a relayed
// Table, so that a call is forwarded only once.
func Serve(server *peerrpc.Server, direct storage.FeedTable) error {
	return server.Register(serviceName, &service{table: direct})
}

// service exposes the table through net/rpc.
type service struct{ table storage.FeedTable }

// Do makes the call and returns the table's error as a code.
func (s *service) Do(r Request, reply *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.Wait+serveTimeout)
	defer cancel()
	found, err := call(ctx, s.table, r)
	*reply = found
	reply.Code = codeOf(err)
	return nil
}

// call makes the table call that the request describes.
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
		err = eris.Errorf("unknown table call kind %d", r.Kind)
	}
	return reply, err
}

// codeOf returns the result code that represents the error between instances.
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
