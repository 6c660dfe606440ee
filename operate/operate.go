// Package operate serves operators: it checks their keys and roles, hands their
// changes to the configuration's writer, and says what is set, who changed what
// and where a version is in force. It knows no transport; package httpapi is
// one front on top of it.
//
// The desk duty owns the keys in force. Its front's goroutines put typed
// messages on its ring and wait for the replies. Reads of the table block, and
// are made by a reader duty.
package operate

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// deskRing is the capacity of the desk's ring. A full ring refuses: the
	// operator hears that the process is busy.
	deskRing = 256
	// readerRing is the capacity of the reader's ring. A full ring refuses.
	readerRing = 32
	// replyTimeout bounds the wait for a reply; it is longer than a change and
	// a read of the table may take.
	replyTimeout = 30 * time.Second
)

// Options are what a Desk is made of.
type Options struct {
	// View is the configuration in force.
	View *config.View
	// Writer makes changes.
	Writer *config.Writer
	// Table holds the audit log and the ledger of the teams' limits.
	Table storage.Table
	// Members returns the processes that are known; nil when the process does
	// not hear of others.
	Members func() []membership.Status
	// Clock is the process's clock.
	Clock clock.Clock
}

// Desk is the duty that serves operators.
type Desk struct {
	options Options
	duty    *duty.Duty[request]
	reader  *duty.Duty[reading]

	// The fields below belong to the desk's duty.
	version model.ConfigVersion
	keys    *config.Keyring
}

// request is a message of a front.
type request interface {
	// secret is the digest of the operator's secret.
	secret() config.Digest
	// roles are the roles of keys that may ask this.
	roles() []model.Role
	// serve carries the request out for the key.
	serve(d *Desk, key model.Key)
	// refuse answers that it is not carried out.
	refuse(code result.Code, reason string)
}

// reading is a blocking read of the table.
type reading func(ctx context.Context)

// New returns a desk that has not started.
func New(options Options) *Desk {
	d := &Desk{options: options}
	d.duty = duty.New("operate", deskRing, duty.HandlerFunc[request](d.handle))
	d.reader = duty.New("operate-read", readerRing, duty.HandlerFunc[reading](read))
	return d
}

// Duties returns the duties to be started in the process's group.
func (d *Desk) Duties() []duty.Runner { return []duty.Runner{d.duty, d.reader} }

func (d *Desk) handle(batch []request) time.Duration {
	for _, r := range batch {
		d.admit(r)
	}
	return duty.Never
}

// admit checks the key of a request. Only a fresh view knows that a key was not
// withdrawn.
func (d *Desk) admit(r request) {
	current := d.options.View.Current()
	if current == nil {
		r.refuse(result.NoConfig, "the process has no configuration yet")
		return
	}
	if !d.options.View.Fresh(d.options.Clock.Now()) {
		r.refuse(result.ConfigStale, "the process cannot tell now which keys are in force")
		return
	}
	key, ok := d.ring(current).Find(r.secret())
	if !ok {
		r.refuse(result.BadKey, "the key is missing, unknown or withdrawn")
		return
	}
	for _, role := range r.roles() {
		if key.Role == role {
			r.serve(d, key)
			return
		}
	}
	r.refuse(result.NotAllowed, "the key's role does not allow this")
}

// ring returns the keys of the configuration.
func (d *Desk) ring(current *model.Config) *config.Keyring {
	if d.keys == nil || d.version != current.Version {
		d.keys, d.version = config.NewKeyring(current.Keys), current.Version
	}
	return d.keys
}

func read(batch []reading) time.Duration {
	for _, r := range batch {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		r(ctx)
		cancel()
	}
	return duty.Never
}

// ask puts the request on the desk's ring and waits for the reply.
func ask[R any](ctx context.Context, d *Desk, r request, done <-chan R, busy func(result.Code, string) R) R {
	if !d.duty.Offer(r) {
		return busy(result.Busy, "the process has too much under way")
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case reply := <-done:
		return reply
	case <-ctx.Done():
	case <-timer.C:
	}
	return busy(result.ChangeUnconfirmed, "no reply in time; look again")
}
