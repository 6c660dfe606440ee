package standin

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// FleetOptions are the properties of a fleet; zero values mean no lag, no delay
// and the system clock.
type FleetOptions struct {
	// UsageLag is the time from a task's start until its usage is first
	// sampled.
	UsageLag time.Duration
	// ListLag is how long the instance list lags behind the endpoints.
	ListLag time.Duration
	// Latency is added to the reply of every Sync.
	Latency time.Duration
	// Clock is used for leases and records.
	Clock clock.Clock
}

// Event is an event of an endpoint, as the chart standin_endpoint defines it.
type Event string

// The events of endpoints.
const (
	// Fail makes every attempt that is started from then on fail.
	Fail Event = "fail"
	// Freeze makes the endpoint unresponsive; running attempts continue.
	Freeze Event = "freeze"
	// Leave makes the endpoint refuse new starts.
	Leave Event = "leave"
	// Crash ends all running attempts and makes the endpoint unresponsive.
	Crash Event = "crash"
	// Heal returns the endpoint to the healthy state.
	Heal Event = "heal"
)

// Fleet simulates a set of endpoints and their instance list. One duty owns
// them.
type Fleet struct{ duty *duty.Duty[fleetMessage] }

// NewFleet returns a fleet of the given endpoints. Its duty has to be started.
func NewFleet(options FleetOptions, endpoints []model.EndpointInfo) *Fleet {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	state := newFleetState(options, endpoints)
	return &Fleet{duty: duty.New[fleetMessage]("endpoints", ringCapacity, state)}
}

// Duty returns the fleet's duty, for a Group.
func (f *Fleet) Duty() duty.Runner { return f.duty }

// Client returns the client that a holder uses to call the endpoints. Endpoints
// are found by id; their addresses are not used.
func (f *Fleet) Client() endpoint.Endpoint { return fleetClient{f} }

// List returns the instance list, which lags by ListLag.
func (f *Fleet) List() storage.InstanceList { return listClient{f} }

// SendEvent sends the event to the named endpoints, or to all endpoints of the domain
// when none is named. An empty domain means all domains.
func (f *Fleet) SendEvent(ctx context.Context, event Event, domain model.DomainName, ids ...model.EndpointID) error {
	reply := make(chan error, 1)
	err, ok := postAndWait[fleetMessage](ctx, f.duty, eventMessage{event, domain, ids, reply}, reply)
	if !ok {
		return replyError(false)
	}
	return err
}

// Records returns the records so far; they are not sorted by time.
func (f *Fleet) Records(ctx context.Context) ([]Record, error) {
	reply := make(chan []Record, 1)
	records, ok := postAndWait[fleetMessage](ctx, f.duty, fleetRecordsMessage{reply}, reply)
	return records, replyError(ok)
}

// fleetClient is the endpoint client for holders.
type fleetClient struct{ fleet *Fleet }

// Sync implements endpoint.Endpoint.
func (c fleetClient) Sync(ctx context.Context, info model.EndpointInfo, request endpoint.SyncRequest) (endpoint.SyncReply, error) {
	reply := make(chan syncReply, 1)
	r, ok := postAndWait[fleetMessage](ctx, c.fleet.duty, syncMessage{info.ID, request, reply}, reply)
	if !ok || !sleep(ctx, r.delay) {
		return endpoint.SyncReply{}, eris.Wrap(endpoint.ErrUnavailable, string(info.ID))
	}
	return r.reply, r.err
}

// listClient is the client of the instance list.
type listClient struct{ fleet *Fleet }

// Endpoints implements storage.InstanceList.
func (c listClient) Endpoints(ctx context.Context, domain model.DomainName) ([]model.EndpointInfo, error) {
	reply := make(chan []model.EndpointInfo, 1)
	infos, ok := postAndWait[fleetMessage](ctx, c.fleet.duty, listEndpointsMessage{domain, reply}, reply)
	return infos, replyError(ok)
}
