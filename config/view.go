package config

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// Promise is the time within which an accepted change is in force: a view that
// was confirmed longer ago than this is not fresh.
const Promise = 3 * time.Second

// View is the newest configuration that the process has. Any thread may read
// it; only the keeper changes it.
type View struct {
	// state is replaced whole by the keeper. It is an atomic pointer since
	// every request reads it and none may wait for the keeper.
	state atomic.Pointer[viewState]
	// mu guards subscriptions: duties subscribe while the process is put
	// together, and the keeper reads the list.
	mu            sync.Mutex
	subscriptions []*Subscription
}

// viewState is what the view shows; it is never changed once it is made.
type viewState struct {
	config *model.Config
	// confirmed is a time at which no newer version had been accepted.
	confirmed time.Time
}

// Deliver hands a configuration to a duty: it puts a message on the duty's ring
// and reports whether it fitted. It is called on the keeper's thread and must
// not wait. After false it is called again with the newest version.
type Deliver func(config *model.Config) bool

// Subscription is one duty's interest in the view.
type Subscription struct {
	deliver Deliver
	// delivered is the newest version handed over; the keeper's thread owns it.
	delivered model.ConfigVersion
	// applied is written by the subscriber's thread and read by others, hence
	// atomic.
	applied atomic.Uint64
}

// NewView returns a view without a configuration.
func NewView() *View {
	v := &View{}
	v.state.Store(&viewState{})
	return v
}

// Current returns the newest configuration, or nil when the process has none
// yet. It must not be changed.
func (v *View) Current() *model.Config { return v.state.Load().config }

// Version returns the version of Current; 0 stands for none.
func (v *View) Version() model.ConfigVersion { return v.state.Load().version() }

// Confirmed returns a time at which no version newer than Current had been
// accepted; the zero time when there was none yet.
func (v *View) Confirmed() time.Time { return v.state.Load().confirmed }

// Fresh reports whether the view was confirmed within the promise. Only a fresh
// view may accept work by key.
func (v *View) Fresh(now time.Time) bool {
	state := v.state.Load()
	return state.config != nil && now.Sub(state.confirmed) <= Promise
}

// Subscribe registers deliver for every newer configuration, the present one
// included. The duty calls Applied on the subscription once it acts by a
// version.
func (v *View) Subscribe(deliver Deliver) *Subscription {
	s := &Subscription{deliver: deliver}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscriptions = append(v.subscriptions, s)
	return s
}

// Applied tells that the subscriber acts by the version from now on.
func (s *Subscription) Applied(version model.ConfigVersion) { s.applied.Store(uint64(version)) }

// Applied returns the newest version that the view and every subscriber act by:
// the version in force in this process.
func (v *View) Applied() model.ConfigVersion {
	lowest := v.Version()
	for _, s := range v.subscribers() {
		lowest = min(lowest, model.ConfigVersion(s.applied.Load()))
	}
	return lowest
}

func (v *View) subscribers() []*Subscription {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.subscriptions[:len(v.subscriptions):len(v.subscriptions)]
}

func (s *viewState) version() model.ConfigVersion {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// accept shows config when it is newer and reports whether it was. The keeper
// alone calls it.
func (v *View) accept(config *model.Config) bool {
	state := v.state.Load()
	if config.Version <= state.version() {
		return false
	}
	v.state.Store(&viewState{config: config, confirmed: state.confirmed})
	return true
}

// confirm marks that at the time at no version newer than the given one had
// been accepted. A view that lacks that version is not confirmed by it. The
// keeper alone calls it.
func (v *View) confirm(version model.ConfigVersion, at time.Time) {
	state := v.state.Load()
	if state.version() < version || !at.After(state.confirmed) {
		return
	}
	v.state.Store(&viewState{config: state.config, confirmed: at})
}

// publish hands the newest version to the subscribers that lack it and reports
// whether all took it. The keeper alone calls it.
func (v *View) publish() bool {
	current, whole := v.Current(), true
	if current == nil {
		return true
	}
	for _, s := range v.subscribers() {
		if s.delivered >= current.Version {
			continue
		}
		if !s.deliver(current) {
			whole = false
			continue
		}
		s.delivered = current.Version
	}
	return whole
}
