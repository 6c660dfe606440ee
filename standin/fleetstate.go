package standin

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
)

// fleetMessage is one call on the fleet's state.
type fleetMessage interface{ apply(*fleetState) }

type syncReply struct {
	reply endpoint.SyncReply
	err   error
	delay time.Duration
}

type (
	syncMessage struct {
		id      model.EndpointID
		request endpoint.SyncRequest
		reply   chan<- syncReply
	}
	eventMessage struct {
		event  Event
		domain model.DomainName
		ids    []model.EndpointID
		reply  chan<- error
	}
	listEndpoints struct {
		domain model.DomainName
		reply  chan<- []model.EndpointInfo
	}
	fleetRecordsMessage struct{ reply chan<- []Record }
)

// listing is the list of endpoints from a time on.
type listing struct {
	from  time.Time
	infos []model.EndpointInfo
}

// fleetState belongs to the fleet's duty.
type fleetState struct {
	options FleetOptions
	hosts   map[model.EndpointID]*host
	// order keeps the hosts in the order in which they were added.
	order []*host
	// progress is the work that checkpointed attempts have done, by task.
	progress map[model.TaskID]time.Duration
	// listings are the versions of the list, oldest first.
	listings []listing
	log      recordLog
}

func newFleetState(options FleetOptions, endpoints []model.EndpointInfo) *fleetState {
	f := &fleetState{
		options:  options,
		hosts:    map[model.EndpointID]*host{},
		progress: map[model.TaskID]time.Duration{},
	}
	for _, info := range endpoints {
		h := newHost(f, info)
		f.hosts[info.ID] = h
		f.order = append(f.order, h)
		h.record(options.Clock.Now(), Record{Kind: Added, Rack: info.Rack, Size: info.Capacity})
	}
	f.listings = []listing{{infos: f.infos()}}
	return f
}

// Handle implements duty.Handler.
func (f *fleetState) Handle(batch []fleetMessage) time.Duration {
	for _, m := range batch {
		m.apply(f)
	}
	return f.advance(f.options.Clock.Now())
}

// advance brings all endpoints to now and returns the time until the next one
// has something to do.
func (f *fleetState) advance(now time.Time) time.Duration {
	wait := duty.Never
	for _, h := range f.order {
		if h.wake.IsZero() {
			continue
		}
		if !h.wake.After(now) {
			h.advance(now)
		}
		if h.wake.IsZero() {
			continue
		}
		if left := h.wake.Sub(now); wait == duty.Never || left < wait {
			wait = left
		}
	}
	return wait
}

func (m syncMessage) apply(f *fleetState) {
	h := f.hosts[m.id]
	if h == nil {
		m.reply <- syncReply{err: eris.Wrapf(endpoint.ErrUnavailable, "no endpoint %s", m.id)}
		return
	}
	h.advance(f.options.Clock.Now())
	if !hostAnswering.Has(h.state) {
		// No answer: the caller waits until its own deadline.
		return
	}
	reply, err := h.sync(m.request)
	m.reply <- syncReply{reply: reply, err: err, delay: f.options.Latency}
}

func (m eventMessage) apply(f *fleetState) {
	event, found := hostEvent(m.event)
	if !found {
		m.reply <- eris.Errorf("no event %q of endpoints", m.event)
		return
	}
	for _, h := range f.order {
		if !m.hits(h) {
			continue
		}
		h.advance(f.options.Clock.Now())
		if hostChart.Fire(&h.state, event, h) {
			h.record(h.now, Record{Kind: Changed, State: hostChart.Name(h.state)})
		}
	}
	f.publish()
	m.reply <- nil
}

func (m eventMessage) hits(h *host) bool {
	if len(m.ids) > 0 {
		return slices.Contains(m.ids, h.info.ID)
	}
	return m.domain == "" || m.domain == h.info.Domain
}

func (m listEndpoints) apply(f *fleetState) {
	infos := f.listed(f.options.Clock.Now().Add(-f.options.ListLag))
	m.reply <- slices.DeleteFunc(slices.Clone(infos), func(info model.EndpointInfo) bool {
		return info.Domain != m.domain
	})
}

func (m fleetRecordsMessage) apply(f *fleetState) {
	f.advance(f.options.Clock.Now())
	m.reply <- f.log.all()
}

// publish adds a version of the list.
func (f *fleetState) publish() {
	f.listings = append(f.listings, listing{from: f.options.Clock.Now(), infos: f.infos()})
}

// listed returns the list as it stood at the given time.
func (f *fleetState) listed(at time.Time) []model.EndpointInfo {
	current := f.listings[0].infos
	for _, l := range f.listings {
		if !l.from.After(at) {
			current = l.infos
		}
	}
	return current
}

// infos returns what the list says of the endpoints that are not gone.
func (f *fleetState) infos() []model.EndpointInfo {
	var infos []model.EndpointInfo
	for _, h := range f.order {
		if hostGone.Has(h.state) {
			continue
		}
		info := h.info
		info.Leaving = hostLeaving.Has(h.state)
		infos = append(infos, info)
	}
	return infos
}

// hostEvent returns the chart's event of that name.
func hostEvent(event Event) (number chart.Event, found bool) {
	if !slices.Contains(hostChart.Chart().EventNames(), string(event)) {
		return 0, false
	}
	return hostChart.MustEvent(string(event)), true
}
