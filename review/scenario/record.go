//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record.txt of a case: one line for each thing sent, answered or run. Each
// line is written at once, so that it is kept if the case is ended from outside.
type record struct {
	mu      sync.Mutex
	file    *os.File
	startAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, startAt: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
