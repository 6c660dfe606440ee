package logging

import (
	"expvar"
	"io"
	"sync/atomic"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
)

const (
	// ringLines is the number of lines that may be queued for writing.
	ringLines = 4096
	// flushBytes is the number of buffered bytes from which a batch is written.
	flushBytes = 64 << 10
)

// droppedLines counts lines dropped because the ring was full, and failed writes.
// It is published as the expvar "log_lines_dropped".
var droppedLines atomic.Int64

func init() {
	expvar.Publish("log_lines_dropped", expvar.Func(func() any { return droppedLines.Load() }))
}

// AsyncWriter is a duty that writes log lines, so that a slow reader of the log
// blocks no other thread. A line is dropped and counted when the ring is full.
type AsyncWriter struct {
	*duty.Duty[[]byte]
	out    io.Writer
	buffer []byte
}

// NewAsyncWriter returns a writer to out that has not started.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out}
	w.Duty = duty.NewCalling("log", ringLines, duty.HandlerFunc[[]byte](w.handle))
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.Offer(append([]byte(nil), line...)) {
		droppedLines.Add(1)
	}
	return len(line), nil
}

func (w *AsyncWriter) handle(batch [][]byte) time.Duration {
	for _, line := range batch {
		w.buffer = append(w.buffer, line...)
		if len(w.buffer) >= flushBytes {
			w.flush()
		}
	}
	w.flush()
	return duty.Never
}

// flush writes the buffered lines. A failed write is counted with the dropped
// lines, since the log itself can't report it.
func (w *AsyncWriter) flush() {
	if len(w.buffer) == 0 {
		return
	}
	if _, err := w.out.Write(w.buffer); err != nil {
		droppedLines.Add(1)
	}
	w.buffer = w.buffer[:0]
}
