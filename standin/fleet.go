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

// FleetOptions are the properties of a fleet; zero values mean no lag, no
// delay and the machine's clock.
type FleetOptions struct {
	// UsageLag is the time until a task's usage is sampled first.
	UsageLag time.Duration
	// ListLag is how far the instance list lags behind.
	ListLag time.Duration
	// Latency is added to every Sync.
	Latency time.Duration
	// Clock tells the time of leases and records.
	Clock clock.Clock
}

// Event is what may happen to an endpoint: an event of the chart
// standin_endpoint.
type Event string

// The events of endpoints.
const (
	// Fail lets everything that is started fail.
	Fail Event = "fail"
	// Freeze lets the endpoint give no answer; what runs goes on.
	Freeze Event = "freeze"
	// Leave lets the endpoint take nothing new.
	Leave Event = "leave"
	// Crash ends all that runs; the endpoint gives no answer.
	Crash Event = "crash"
	// Heal makes the endpoint healthy again.
	Heal Event = "heal"
)

// Fleet is any number of endpoints and the list of them. One duty owns them.
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

// Client returns the endpoints as a holder sees them; the address of an
// endpoint is not used.
func (f *Fleet) Client() endpoint.Endpoint { return fleetClient{f} }

// List returns the lagging instance list.
func (f *Fleet) List() storage.InstanceList { return listClient{f} }

// Do lets the event happen to the named endpoints, or to all endpoints of the
// domain when none is named.
func (f *Fleet) Do(ctx context.Context, event Event, domain model.DomainName, ids ...model.EndpointID) error {
	reply := make(chan error, 1)
	err, ok := ask[fleetMessage](ctx, f.duty, eventMessage{event, domain, ids, reply}, reply)
	if !ok {
		return answered(false)
	}
	return err
}

// Records returns the records so far.
func (f *Fleet) Records(ctx context.Context) ([]Record, error) {
	reply := make(chan []Record, 1)
	records, ok := ask[fleetMessage](ctx, f.duty, fleetRecordsMessage{reply}, reply)
	return records, answered(ok)
}

// fleetClient is the fleet as a holder sees it.
type fleetClient struct{ fleet *Fleet }

// Sync implements endpoint.Endpoint.
func (c fleetClient) Sync(ctx context.Context, info model.EndpointInfo, request endpoint.SyncRequest) (endpoint.SyncReply, error) {
	reply := make(chan syncReply, 1)
	r, ok := ask[fleetMessage](ctx, c.fleet.duty, syncMessage{info.ID, request, reply}, reply)
	if !ok || !pause(ctx, r.delay) {
		return endpoint.SyncReply{}, eris.Wrap(endpoint.ErrUnavailable, string(info.ID))
	}
	return r.reply, r.err
}

// listClient is the list of the fleet's endpoints.
type listClient struct{ fleet *Fleet }

// Endpoints implements storage.InstanceList.
func (c listClient) Endpoints(ctx context.Context, domain model.DomainName) ([]model.EndpointInfo, error) {
	reply := make(chan []model.EndpointInfo, 1)
	infos, ok := ask[fleetMessage](ctx, c.fleet.duty, listEndpoints{domain, reply}, reply)
	return infos, answered(ok)
}
