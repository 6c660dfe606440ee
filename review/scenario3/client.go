//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

var client = &http.Client{Timeout: 3 * time.Second}

// call makes a call of a client to a node.
func (s *site) call(n *node, method, path string, body any) (status int, text string) {
	var in io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		in = bytes.NewReader(raw)
	}
	request, err := http.NewRequest(method, "http://"+n.front+path, in)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Api-Key", "key-packer")
	request.Header.Set("Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		s.log("client: %s %s at %s: %v", method, path, n.name, err)
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	s.log("client: %s %s at %s: %d %s", method, path, n.name, response.StatusCode, bytes.TrimSpace(raw))
	return response.StatusCode, string(raw)
}

// step is a step of a job as clients send it.
type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	Memory   int    `json:"mem-mb"`
	Estimate int    `json:"est-ms,omitempty"`
	Requires string `json:"requires,omitempty"`
	Apart    int    `json:"anti-affinity,omitempty"`
	Daemon   bool   `json:"daemon,omitempty"`
}

// submit hands a job in until it is accepted, for 10 s at most.
func (s *site) submit(path, id, spec string, steps ...step) error {
	return s.submitAt(nil, path, id, spec, steps...)
}

// submitAt is submit at one node; nil for each in turn.
func (s *site) submitAt(node *node, path, id, spec string, steps ...step) error {
	for try := range 10 {
		n := s.nodes[try%len(s.nodes)]
		if node != nil {
			n = node
		}
		status, _ := s.call(n, http.MethodPost, path+id, map[string]any{"spec": spec, "steps": steps})
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// runningAt returns whether the task runs on a worker, and how many tasks run on all.
func (s *site) runningAt(task string) (runs bool, total int) {
	for _, w := range s.workers {
		count, found := w.tasks(task)
		runs, total = runs || found, total+count
	}
	return runs, total
}

// cpuInUse returns the part of the capacity of all workers that is in use, of which each task
// takes the given amount.
func (s *site) cpuInUse(each int64) float64 {
	var used, capacity int64
	for _, w := range s.workers {
		if w.isGone() {
			continue
		}
		count, _ := w.tasks("")
		used, capacity = used+int64(count)*each, capacity+w.cpu
	}
	return float64(used) / float64(capacity)
}
