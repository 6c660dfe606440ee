//go:build review3

package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

func init() { cases["rename"] = renamedRoute }

const (
	// heldUp is the time by which the proxy delays what a client sends.
	heldUp = 7 * time.Second
	// cancelTime is the bound of the rule, cancel_ms.
	cancelTime = 3 * time.Second
	// applyTime is the time in which a configuration has to be in force, apply-ms.
	applyTime = 2 * time.Second
)

// delayed starts a proxy that delivers the bytes of one connection to the node heldUp after
// they were sent. It returns its address.
func (s *site) delayed(n *node) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	time.AfterFunc(0, func() {
		defer func() { _ = listener.Close() }()
		client, err := listener.Accept()
		if err != nil {
			return
		}
		raw := make([]byte, 64<<10)
		size, err := client.Read(raw)
		if err != nil {
			s.log("proxy: %v", err)
			return
		}
		time.Sleep(heldUp)
		server, err := net.Dial("tcp", n.front)
		if err != nil {
			s.log("proxy: %v", err)
			return
		}
		s.log("proxy: delivers %d bytes to %s", size, n.name)
		_, _ = server.Write(raw[:size])
		_ = server.SetReadDeadline(time.Now().Add(2 * time.Second))
		answer := make([]byte, 4<<10)
		got, err := server.Read(answer)
		if err != nil && err != io.EOF {
			s.log("proxy: %v", err)
		}
		s.log("proxy: %s answers: %q", n.name, answer[:got])
		_ = server.Close()
		_ = client.Close()
	})
	return listener.Addr().String(), nil
}

// renamedRoute cancels a job whose submission is held up on its way, and then replaces its
// route by another one with the same host and prefix.
func renamedRoute(s *site) (bool, error) {
	for i := range 4 {
		s.addWorker(fmt.Sprintf("i-%02d", i), "a", fmt.Sprintf("r%d", i/2))
	}
	s.configure(1, route{name: "label-verify", prefix: "/label/", priority: 0, objectiveMS: 250})
	if err := s.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	const id = "0000000000000100"
	held := *s.nodes[0]
	address, err := s.delayed(s.nodes[0])
	if err != nil {
		return false, err
	}
	held.front = address
	s.log("client: POST /label/%s by way of the proxy", id)
	// The client gets no answer within its time.
	if status, _ := s.call(&held, "POST", "/label/"+id, map[string]any{"spec": "ms=500", "steps": []step{{Count: 1, CPU: 500, Memory: 64, Estimate: 500}}}); status != 0 {
		return false, fmt.Errorf("the held up call was answered with %d", status)
	}
	status, _ := s.call(s.nodes[1], "DELETE", "/label/"+id, nil)
	if status != 200 && status != 410 {
		return false, fmt.Errorf("the cancel was answered with %d", status)
	}
	cancelledAt := time.Now()
	s.log("the cancel of %s is acknowledged", id)
	next := route{name: "label-verify", prefix: "/label/", priority: 0, objectiveMS: 400}
	if s.trouble {
		s.log("disruption: the route label-verify is removed, and label-check is added with its host and prefix")
		next.name = "label-check"
	}
	s.configure(2, next)
	time.Sleep(applyTime)
	for time.Since(cancelledAt) < heldUp+2*time.Second {
		if runs, _ := s.runningAt(id + ".0.0.0"); runs {
			took := time.Since(cancelledAt)
			s.log("check: the task runs %.1f s after the cancel was acknowledged", took.Seconds())
			return took > cancelTime, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.log("check: the task has not run")
	return false, nil
}
