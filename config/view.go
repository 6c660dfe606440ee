package config

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// MaxViewAge is the maximum time until an accepted change is in force everywhere: a
// view that was last confirmed longer ago than this is stale.
const MaxViewAge = 3 * time.Second

// View holds the newest configuration that the process has received. Any thread
// may read it; only the updater writes it.
type View struct {
	// state is replaced by the updater as one value. It is an atomic pointer,
	// since every request reads it and must not wait for the updater.
	state atomic.Pointer[viewState]
	// mu guards subscriptions: duties subscribe while the process starts, and
	// the updater reads the list.
	mu            sync.Mutex
	subscriptions []*Subscription
}

// viewState is an immutable snapshot of the view.
type viewState struct {
	config *model.Config
	// confirmed is a time at which no newer version had been accepted.
	confirmed time.Time
}

// Deliver posts a configuration to a duty's ring and returns false when the ring
// is full. It is called on the updater's thread and must not block. After false
// it is called again with the newest version.
type Deliver func(config *model.Config) bool

// Subscription tracks the versions that one duty has received and applied.
type Subscription struct {
	deliver Deliver
	// delivered is the newest version delivered; owned by the updater's thread.
	delivered model.ConfigVersion
	// applied is the version that the duty acts on. It is atomic, since the
	// subscriber's thread writes it and others read it.
	applied atomic.Uint64
}

// NewView returns a view without a configuration.
func NewView() *View {
	v := &View{}
	v.state.Store(&viewState{})
	return v
}

// Current returns the newest configuration, or nil when the process has received
// none. The caller must not modify it.
func (v *View) Current() *model.Config { return v.state.Load().config }

// Version returns the version of Current; 0 stands for none.
func (v *View) Version() model.ConfigVersion { return v.state.Load().version() }

// Confirmed returns the latest time at which no version newer than Current is
// known to have been accepted; zero before the first confirmation.
func (v *View) Confirmed() time.Time { return v.state.Load().confirmed }

// Fresh reports whether the last confirmation is at most MaxViewAge old. Work that
// is authenticated by a key may be accepted only with a fresh view, since a stale
// one may miss that the key was withdrawn.
func (v *View) Fresh(now time.Time) bool {
	state := v.state.Load()
	return state.config != nil && now.Sub(state.confirmed) <= MaxViewAge
}

// Subscribe registers deliver for the current and every newer configuration. The
// duty calls Applied on the subscription once it acts on a version.
func (v *View) Subscribe(deliver Deliver) *Subscription {
	s := &Subscription{deliver: deliver}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscriptions = append(v.subscriptions, s)
	return s
}

// SetApplied records that the subscriber acts on the version from now on.
func (s *Subscription) SetApplied(version model.ConfigVersion) { s.applied.Store(uint64(version)) }

// Applied returns the version in force in this process: the newest version that
// the view has and every subscriber acts on.
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

// storeIfNewer replaces the configuration by a newer one and reports whether
// config was newer. Only the updater calls it.
func (v *View) storeIfNewer(config *model.Config) bool {
	state := v.state.Load()
	if config.Version <= state.version() {
		return false
	}
	v.state.Store(&viewState{config: config, confirmed: state.confirmed})
	return true
}

// confirm records that at the time at no version newer than the given one had
// been accepted. It has no effect on a view that is older than that version.
// Only the updater calls it.
func (v *View) confirm(version model.ConfigVersion, at time.Time) {
	state := v.state.Load()
	if state.version() < version || !at.After(state.confirmed) {
		return
	}
	v.state.Store(&viewState{config: state.config, confirmed: at})
}

// publish delivers the newest version to the subscribers that lack it and reports
// whether every delivery succeeded. Only the updater calls it.
func (v *View) publish() bool {
	current, complete := v.Current(), true
	if current == nil {
		return true
	}
	for _, s := range v.subscribers() {
		if s.delivered >= current.Version {
			continue
		}
		if !s.deliver(current) {
			complete = false
			continue
		}
		s.delivered = current.Version
	}
	return complete
}
