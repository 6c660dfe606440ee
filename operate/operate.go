// Package operate is the operators' interface to the configuration. It
// authenticates keys and checks roles, passes changes to the configuration's
// writer, and returns the configuration, the audit log, the teams' limits and the
// rollout of a version. It is independent of the transport; package httpapi is
// its HTTP front end.
//
// The operate duty owns the keyring. Goroutines of the front end post typed
// requests to its ring and wait for the replies. The reader duty executes reads
// of the table, since they block.
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
	// requestRingCapacity bounds the ring of requests. When it is full, the
	// operator gets a busy result.
	requestRingCapacity = 256
	// readerRingCapacity bounds the reader's ring. When it is full, the operator
	// gets a busy result.
	readerRingCapacity = 32
	// replyTimeout limits the wait for a reply. It exceeds the longest execution
	// of a change and of a read of the table.
	replyTimeout = 30 * time.Second
)

// Options are the dependencies of a Service.
type Options struct {
	// View holds the configuration in force.
	View *config.View
	// Writer executes changes.
	Writer *config.Writer
	// Table holds the audit log and the ledger of the teams' limits.
	Table storage.Table
	// Members returns the registered processes; nil when this process is not
	// part of the membership.
	Members func() []membership.Status
	Clock   clock.Clock
}

// Service serves operators' requests with two duties: one for requests and one for
// reads of the table.
type Service struct {
	options Options
	duty    *duty.Duty[request]
	reader  *duty.Duty[tableRead]

	// The fields below are owned by the thread of duty.
	keyringVersion model.ConfigVersion
	keyring        *config.Keyring
}

// request is a message from the front end.
type request interface {
	// secretDigest returns the digest of the operator's secret.
	secretDigest() config.Digest
	// allowedRoles returns the roles of keys that may make this request.
	allowedRoles() []model.Role
	// serve executes the request on behalf of the key.
	serve(d *Service, key model.Key)
	// refuse replies that the request was not executed.
	refuse(code result.Code, reason string)
}

// tableRead is a message to the reader duty: a blocking read of the table.
type tableRead func(ctx context.Context)

// New returns a Service whose duties are not started.
func New(options Options) *Service {
	d := &Service{options: options}
	d.duty = duty.New("operate", requestRingCapacity, duty.HandlerFunc[request](d.handle))
	d.reader = duty.New("operate-read", readerRingCapacity, duty.HandlerFunc[tableRead](runReads))
	return d
}

// Duties returns the duties to be started in the process's group.
func (d *Service) Duties() []duty.Runner { return []duty.Runner{d.duty, d.reader} }

func (d *Service) handle(batch []request) time.Duration {
	for _, r := range batch {
		d.admit(r)
	}
	return duty.Never
}

// admit authenticates and authorizes a request. It requires a fresh view, since a
// stale one may miss that the key was withdrawn.
func (d *Service) admit(r request) {
	current := d.options.View.Current()
	if current == nil {
		r.refuse(result.NoConfig, "the process has no configuration yet")
		return
	}
	if !d.options.View.Fresh(d.options.Clock.Now()) {
		r.refuse(result.ConfigStale, "the process cannot tell now which keys are in force")
		return
	}
	key, ok := d.currentKeyring(current).Find(r.secretDigest())
	if !ok {
		r.refuse(result.BadKey, "the key is missing, unknown or withdrawn")
		return
	}
	for _, role := range r.allowedRoles() {
		if key.Role == role {
			r.serve(d, key)
			return
		}
	}
	r.refuse(result.NotAllowed, "the key's role does not allow this")
}

// currentKeyring returns the keyring of the configuration. It is rebuilt when the
// version has changed.
func (d *Service) currentKeyring(current *model.Config) *config.Keyring {
	if d.keyring == nil || d.keyringVersion != current.Version {
		d.keyring, d.keyringVersion = config.NewKeyring(current.Keys), current.Version
	}
	return d.keyring
}

func runReads(batch []tableRead) time.Duration {
	for _, r := range batch {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		r(ctx)
		cancel()
	}
	return duty.Never
}

// call posts the request to the ring and waits for the reply. refusal builds the
// reply when the ring is full or no reply arrives in time.
func call[R any](ctx context.Context, d *Service, r request, done <-chan R, refusal func(result.Code, string) R) R {
	if !d.duty.Offer(r) {
		return refusal(result.Busy, "the process has too much under way")
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case reply := <-done:
		return reply
	case <-ctx.Done():
	case <-timer.C:
	}
	return refusal(result.ChangeUnconfirmed, "no reply in time; look again")
}
