package sched

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// domainPollsPerFleetPoll is the number of polls of the shard's own domain
	// for each poll of all domains.
	domainPollsPerFleetPoll = 10
	// configPollPeriod is the time between two checks for the first
	// configuration.
	configPollPeriod = 50 * time.Millisecond
)

// instancesDuty is the handler of the duty that polls the instance list.
type instancesDuty struct {
	id       model.ShardID
	list     storage.InstanceList
	clock    clock.Clock
	period   time.Duration
	timeout  time.Duration
	config   func() *model.Config
	post     func(Message)
	polls    int
	nextPoll time.Time
}

// pollNow requests a poll before the next one is due.
type pollNow struct{}

// Handle polls the list when it is due.
func (d *instancesDuty) Handle([]pollNow) time.Duration {
	now := d.clock.Now()
	if now.Before(d.nextPoll) {
		return d.nextPoll.Sub(now)
	}
	config := d.config()
	if config == nil {
		return configPollPeriod
	}
	d.nextPoll = now.Add(d.period)
	d.pollDomain(config)
	if d.polls%domainPollsPerFleetPoll == 0 {
		d.pollFleet(config)
	}
	d.polls++
	return d.period
}

// pollDomain posts the endpoints of this shard. A failed poll is ignored.
func (d *instancesDuty) pollDomain(config *model.Config) {
	infos, err := d.read(d.id.Domain)
	if err != nil {
		return
	}
	domain, _ := config.Domain(d.id.Domain)
	var owned []model.EndpointInfo
	for _, info := range infos {
		if shard.OfEndpoint(d.id.Domain, domain.Shards, info.ID) == d.id {
			owned = append(owned, info)
		}
	}
	d.post(domainListed{owned})
}

// pollFleet posts the endpoints of all failure domains, unless one of them
// can't be read.
func (d *instancesDuty) pollFleet(config *model.Config) {
	var all []model.EndpointInfo
	for _, domain := range config.Domains {
		infos, err := d.read(domain.Name)
		if err != nil {
			return
		}
		all = append(all, infos...)
	}
	d.post(fleetListed{all})
}

func (d *instancesDuty) read(domain model.DomainName) ([]model.EndpointInfo, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d.timeout)
	defer cancel()
	return d.list.Endpoints(ctx, domain)
}
