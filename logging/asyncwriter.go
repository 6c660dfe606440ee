package logging

import (
	"expvar"
	"io"
	"sync/atomic"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
)

const (
	// writerRing is the number of lines that may wait to be written.
	writerRing = 4096
	// writerBytes is the size of the lines that are written at once.
	writerBytes = 64 << 10
)

// droppedLines counts the lines that found no room; it is shown as the expvar
// "log_lines_dropped".
var droppedLines atomic.Int64

func init() {
	expvar.Publish("log_lines_dropped", expvar.Func(func() any { return droppedLines.Load() }))
}

// AsyncWriter is a duty that writes lines, so that no other thread waits for the
// reader of the log. A line that finds no room is dropped and counted.
type AsyncWriter struct {
	*duty.Duty[[]byte]
	out    io.Writer
	buffer []byte
}

// NewAsyncWriter returns a writer to out that has not started.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out}
	w.Duty = duty.NewCalling("log", writerRing, duty.HandlerFunc[[]byte](w.handle))
	return w
}

// Write implements io.Writer. It never waits and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.Offer(append([]byte(nil), line...)) {
		droppedLines.Add(1)
	}
	return len(line), nil
}

func (w *AsyncWriter) handle(batch [][]byte) time.Duration {
	for _, line := range batch {
		w.buffer = append(w.buffer, line...)
		if len(w.buffer) >= writerBytes {
			w.flush()
		}
	}
	w.flush()
	return duty.Never
}

// flush writes what is waiting. Lines that can't be written are counted as
// dropped: there is nowhere to say so.
func (w *AsyncWriter) flush() {
	if len(w.buffer) == 0 {
		return
	}
	if _, err := w.out.Write(w.buffer); err != nil {
		droppedLines.Add(1)
	}
	w.buffer = w.buffer[:0]
}
