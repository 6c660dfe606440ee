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

// fleetMessage is a request to the fleet's duty.
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
	listEndpointsMessage struct {
		domain model.DomainName
		reply  chan<- []model.EndpointInfo
	}
	fleetRecordsMessage struct{ reply chan<- []Record }
)

// listVersion is a version of the instance list, valid from a time on.
type listVersion struct {
	validFrom time.Time
	infos     []model.EndpointInfo
}

// fleetState is owned by the fleet's duty.
type fleetState struct {
	options   FleetOptions
	endpoints map[model.EndpointID]*endpointState
	// order has the endpoints in the order in which they were added.
	order []*endpointState
	// progress is the work done by checkpointed attempts, by task.
	progress map[model.TaskID]time.Duration
	// listVersions are the versions of the instance list, oldest first.
	listVersions []listVersion
	log          recordLog
}

func newFleetState(options FleetOptions, initial []model.EndpointInfo) *fleetState {
	f := &fleetState{
		options:   options,
		endpoints: map[model.EndpointID]*endpointState{},
		progress:  map[model.TaskID]time.Duration{},
	}
	for _, info := range initial {
		e := newEndpointState(f, info)
		f.endpoints[info.ID] = e
		f.order = append(f.order, e)
		e.record(options.Clock.Now(), Record{Kind: Added, Rack: info.Rack, Size: info.Capacity})
	}
	f.listVersions = []listVersion{{infos: f.infos()}}
	return f
}

// Handle implements duty.Handler.
func (f *fleetState) Handle(batch []fleetMessage) time.Duration {
	for _, m := range batch {
		m.apply(f)
	}
	return f.advance(f.options.Clock.Now())
}

// advance processes the timed events of all endpoints up to now and returns the
// time until the next one.
func (f *fleetState) advance(now time.Time) time.Duration {
	wait := duty.Never
	for _, e := range f.order {
		if e.nextWake.IsZero() {
			continue
		}
		if !e.nextWake.After(now) {
			e.advance(now)
		}
		if e.nextWake.IsZero() {
			continue
		}
		if left := e.nextWake.Sub(now); wait == duty.Never || left < wait {
			wait = left
		}
	}
	return wait
}

func (m syncMessage) apply(f *fleetState) {
	e := f.endpoints[m.id]
	if e == nil {
		m.reply <- syncReply{err: eris.Wrapf(endpoint.ErrUnavailable, "no endpoint %s", m.id)}
		return
	}
	e.advance(f.options.Clock.Now())
	if !endpointAnswering.Has(e.state) {
		// An unresponsive endpoint sends no reply: the caller waits until its
		// own deadline.
		return
	}
	reply, err := e.sync(m.request)
	m.reply <- syncReply{reply: reply, err: err, delay: f.options.Latency}
}

func (m eventMessage) apply(f *fleetState) {
	event, found := chartEvent(m.event)
	if !found {
		m.reply <- eris.Errorf("no event %q of endpoints", m.event)
		return
	}
	for _, e := range f.order {
		if !m.matches(e) {
			continue
		}
		e.advance(f.options.Clock.Now())
		if endpointChart.Fire(&e.state, event, e) {
			e.record(e.now, Record{Kind: Changed, State: endpointChart.Name(e.state)})
		}
	}
	f.publishList()
	m.reply <- nil
}

func (m eventMessage) matches(e *endpointState) bool {
	if len(m.ids) > 0 {
		return slices.Contains(m.ids, e.info.ID)
	}
	return m.domain == "" || m.domain == e.info.Domain
}

func (m listEndpointsMessage) apply(f *fleetState) {
	infos := f.listAt(f.options.Clock.Now().Add(-f.options.ListLag))
	m.reply <- slices.DeleteFunc(slices.Clone(infos), func(info model.EndpointInfo) bool {
		return info.Domain != m.domain
	})
}

func (m fleetRecordsMessage) apply(f *fleetState) {
	f.advance(f.options.Clock.Now())
	m.reply <- f.log.all()
}

// publishList appends the current version of the instance list.
func (f *fleetState) publishList() {
	f.listVersions = append(f.listVersions, listVersion{validFrom: f.options.Clock.Now(), infos: f.infos()})
}

// listAt returns the version of the instance list at the given time.
func (f *fleetState) listAt(at time.Time) []model.EndpointInfo {
	current := f.listVersions[0].infos
	for _, l := range f.listVersions {
		if !l.validFrom.After(at) {
			current = l.infos
		}
	}
	return current
}

// infos returns the instance list's entries for the endpoints that have not
// crashed.
func (f *fleetState) infos() []model.EndpointInfo {
	var infos []model.EndpointInfo
	for _, e := range f.order {
		if endpointGone.Has(e.state) {
			continue
		}
		info := e.info
		info.Leaving = endpointLeaving.Has(e.state)
		infos = append(infos, info)
	}
	return infos
}

// chartEvent returns the chart's event with that name.
func chartEvent(event Event) (number chart.Event, found bool) {
	if !slices.Contains(endpointChart.Chart().EventNames(), string(event)) {
		return 0, false
	}
	return endpointChart.MustEvent(string(event)), true
}
