//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	apiKey = "key-red"
	host   = "kitchen.example"
	prefix = "/screens/"
)

// config returns an operator's configuration with one queue and one tenant.
func config(version int, cap map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "screens", "host": host, "path-prefix": prefix, "timeout-ms": 3000, "slo-ms": 3000,
			"priority": 1, "service": "recipe-svc", "attempts": 3, "stretch": 4,
		}},
		"services": []map[string]any{{"name": "recipe-svc", "admission-check": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144},
		"tenants":  []map[string]any{{"name": "red", "api-keys": []string{apiKey}, "weight": 1000, "cap": cap}},
	}
}

// clients hands jobs in and asks for them.
type clients struct {
	s      *site
	client http.Client
	mu     sync.Mutex
	// accepted is when the job with the ID was accepted.
	accepted map[string]time.Time
	// tries are the statuses of all answers to submissions of an ID; 0 for none.
	tries map[string][]int
	next  int
}

func newClients(s *site) *clients {
	return &clients{s: s, client: http.Client{Timeout: 3500 * time.Millisecond}, accepted: map[string]time.Time{}, tries: map[string][]int{}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one call at a node and returns the status, 0 without an answer.
func (c *clients) call(n *node, method, id string, body any) (status int, answer map[string]any) {
	raw, _ := json.Marshal(body)
	request, err := http.NewRequest(method, "http://"+n.front+prefix+id, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Api-Key", apiKey)
	request.Header.Set("Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	c.s.record.add("%s %s sent to %s", method, id, n.name)
	response, err := c.client.Do(request)
	if err != nil {
		c.s.record.add("%s %s: no answer", method, id)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&answer)
	c.s.record.add("%s %s: %d %v", method, id, response.StatusCode, answer["state"])
	return response.StatusCode, answer
}

func (c *clients) node() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.s.nodes[c.next%len(c.s.nodes)]
}

// submit hands a job in, at another node after each try without a final answer.
func (c *clients) submit(ctx context.Context, id string, job map[string]any) bool {
	for range 5 {
		status, _ := c.call(c.node(), http.MethodPost, id, job)
		c.mu.Lock()
		c.tries[id] = append(c.tries[id], status)
		if status/100 == 2 {
			c.accepted[id] = time.Now()
		}
		c.mu.Unlock()
		switch status {
		case 200:
			return true
		case 0, 502, 504:
			sleep(ctx, 200*time.Millisecond)
		default:
			return false
		}
	}
	return false
}

// state asks for a job's state.
func (c *clients) state(id string) (int, string) {
	status, answer := c.call(c.node(), http.MethodGet, id, nil)
	state, _ := answer["state"].(string)
	return status, state
}

// acceptedBefore returns the IDs of the jobs accepted before the time.
func (c *clients) acceptedBefore(at time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, accepted := range c.accepted {
		if accepted.Before(at) {
			ids = append(ids, id)
		}
	}
	return ids
}

func batchJob(spec string, count int, cpu int) map[string]any {
	return map[string]any{"spec": spec, "steps": []any{map[string]any{"count": count, "cpu": cpu, "mem-mb": 100, "est-ms": 800}}}
}
