// Package catalog defines the operators' configuration of queues, services and teams
// in the form that scheduling decisions use. It does not decode the stored rows. A
// Catalog is immutable after Index.
package catalog

import (
	"math"
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// ServiceName is the name of a service, which is a pool of endpoints.
type ServiceName string

// Queue is a queue to which jobs of one class are submitted.
type Queue struct {
	Name jobs.QueueName
	// Host and Prefix select the queue of a request: its host, and the prefix of
	// its path.
	Host, Prefix string
	// Service is the pool that runs its tasks.
	Service ServiceName
	// Open is set when submissions need no key.
	Open bool
	// Priority orders the queues; 0 is the highest.
	Priority int
	// Attempts is how often a task may fail before its job fails.
	Attempts int
	// Stretch and Objective give the target completion time of a job: Stretch
	// times its work, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Timeout bounds the time to answer a call.
	Timeout time.Duration
	// Advice has the parameters of the advice service, which decides which
	// endpoints may run a step; nil if the queue does not use it.
	Advice *Advice
}

// Advice has the parameters of the advice service for a queue.
type Advice struct {
	// BaseTime is the fixed time of one request, PerEndpoint the additional time for
	// each endpoint in it.
	BaseTime, PerEndpoint time.Duration
	// TicketValidity is how long a ticket is valid.
	TicketValidity time.Duration
}

// Cost returns the time of an advice request for n endpoints. It is zero for a nil
// Advice, which needs no request.
func (a *Advice) Cost(n int) time.Duration {
	if a == nil {
		return 0
	}
	return a.BaseTime + time.Duration(n)*a.PerEndpoint
}

// Service is a pool of endpoints.
type Service struct {
	Name ServiceName
	// Guards is set when its endpoints reject runs that do not fit.
	Guards bool
	// Spare is set when its instances are off and are not paid for.
	Spare bool
	// HealthPath is the path of the endpoints' health check; empty for none.
	HealthPath string
}

// Team is a customer account with its limits.
type Team struct {
	Name model.TeamName
	// Weight is its share of the capacity when that is short, in jobs a second.
	Weight float64
	// Limit bounds the resources of its running tasks; 0 means no limit.
	Limit model.Resources
}

// Limits bound the callers' requests.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time to receive a header, IdleTimeout the time
	// between two requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version is the version that the operators gave it.
	Version  int64
	Queues   map[jobs.QueueName]*Queue
	Services map[ServiceName]*Service
	Teams    map[model.TeamName]*Team
	// Keys maps each key to its team.
	Keys map[string]model.TeamName
	// Limits bound the callers' requests.
	Limits Limits

	byHost map[string][]*Queue
}

// Priorities returns the most and the least urgent priority of the queues: the smallest and
// the largest number.
func (c *Catalog) Priorities() (highest, lowest int) {
	highest = math.MaxInt
	for _, q := range c.Queues {
		highest, lowest = min(highest, q.Priority), max(lowest, q.Priority)
	}
	return highest, lowest
}

// Index prepares QueueFor. It is called once, after Queues is filled.
func (c *Catalog) Index() {
	c.byHost = make(map[string][]*Queue, len(c.Queues))
	for _, q := range c.Queues {
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
}

// QueueFor returns the queue of the host whose Prefix is the longest that path has,
// and the rest of path. It returns nil when no queue matches.
func (c *Catalog) QueueFor(host, path string) (queue *Queue, rest string) {
	for _, q := range c.byHost[host] {
		if !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if queue == nil || len(q.Prefix) > len(queue.Prefix) {
			queue = q
		}
	}
	if queue == nil {
		return nil, ""
	}
	return queue, path[len(queue.Prefix):]
}
