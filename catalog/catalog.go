// Package catalog holds the operators' configuration of queues, services and
// teams as the decisions see it. A Catalog is not changed once it is made.
package catalog

import (
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// ServiceName names a service: a pool of endpoints.
type ServiceName string

// Queue is where jobs of one class are submitted.
type Queue struct {
	// Name names the queue.
	Name jobs.QueueName
	// Host and Prefix select the queue of a request.
	Host, Prefix string
	// Service is the pool that runs its tasks.
	Service ServiceName
	// Open says that no key is needed.
	Open bool
	// Priority orders the queues: 0 comes first.
	Priority int
	// Attempts is how often a task may fail before its job fails.
	Attempts int
	// Stretch and Objective give the time in which a job should be done:
	// Stretch times its work, and Objective more.
	Stretch   float64
	Objective time.Duration
	// Timeout bounds the answer to a call.
	Timeout time.Duration
	// Advice says how to ask which endpoints may run a step; nil for no advice.
	Advice *Advice
}

// Advice is the cost of asking the advice service.
type Advice struct {
	// Decide is the time of one question, PerEndpoint the time added by each
	// endpoint that it names.
	Decide, PerEndpoint time.Duration
	// Valid is how long a ticket can be used.
	Valid time.Duration
}

// Cost returns the time of a question about n endpoints; nothing is asked, and
// it is zero, where there is no advice.
func (a *Advice) Cost(n int) time.Duration {
	if a == nil {
		return 0
	}
	return a.Decide + time.Duration(n)*a.PerEndpoint
}

// Service is a pool of endpoints.
type Service struct {
	// Name names the service.
	Name ServiceName
	// Guards says that its endpoints reject what does not fit.
	Guards bool
	// Spare says that its instances are off and are not paid for.
	Spare bool
	// HealthPath is the path of the endpoints' health page; empty for none.
	HealthPath string
}

// Team is a team and its limits.
type Team struct {
	// Name names the team.
	Name model.TeamName
	// Weight is its share when capacity is short, in jobs a second.
	Weight float64
	// Limit is what it may have running at once; 0 means no limit.
	Limit model.Resources
}

// Limits bound the callers' requests.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time in which a header arrives, IdleTimeout the
	// time between two requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version is the operators' version.
	Version int64
	// Queues are the queues by name.
	Queues map[jobs.QueueName]*Queue
	// Services are the services by name.
	Services map[ServiceName]*Service
	// Teams are the teams by name.
	Teams map[model.TeamName]*Team
	// Keys are the teams by their keys.
	Keys map[string]model.TeamName
	// Limits bound the callers' requests.
	Limits Limits

	byHost map[string][]*Queue
}

// Index prepares the lookup of queues. It is called once, after the queues are
// filled in.
func (c *Catalog) Index() {
	c.byHost = make(map[string][]*Queue, len(c.Queues))
	for _, q := range c.Queues {
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
}

// QueueFor returns the queue of the host with the longest prefix of path, and
// what follows the prefix. It returns nil when there is none.
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
