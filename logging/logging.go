// Package logging writes one line of key=value pairs for each event. An event
// has a stable name; its attributes are typed by package slog. A storm of equal
// events is counted, not repeated: after a burst, the next line of that event
// carries how many were left out.
package logging

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hornbeamworks/hornbeam/clock"
)

const (
	// defaultBurst is the number of lines of one event that are written in a
	// period where the settings give none.
	defaultBurst = 20
	// period is the length of the window in which lines are counted.
	period = time.Second
	// maxEvents bounds the event names that are counted apart.
	maxEvents = 1024
)

// Settings say what is logged.
type Settings struct {
	// Level is the lowest level written: debug, info, warning or error.
	Level string `ini:"level" validate:"oneof=debug info warning error"`
	// Burst is the number of lines of one event that are written in a second;
	// 0 stands for the default.
	Burst int `ini:"burst" validate:"min=0"`
}

// Logger writes events. It can be used by every thread.
type Logger struct {
	out     *logrus.Logger
	process string
	burst   int
	clock   clock.Clock

	// mu guards storms: events come from all duties.
	mu     sync.Mutex
	storms map[string]*storm
}

// storm counts the lines of one event.
type storm struct {
	since      time.Time
	written    int
	suppressed int
}

// New returns a logger that writes lines of the process to w.
func New(w io.Writer, process string, s Settings, c clock.Clock) (*Logger, error) {
	out := logrus.New()
	out.SetOutput(w)
	out.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	burst := s.Burst
	if burst == 0 {
		burst = defaultBurst
	}
	l := &Logger{out: out, process: process, burst: burst, clock: c, storms: map[string]*storm{}}
	return l, l.SetLevel(s.Level)
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	out := logrus.New()
	out.SetOutput(io.Discard)
	return &Logger{out: out, burst: defaultBurst, clock: clock.System{}, storms: map[string]*storm{}}
}

// SetLevel changes the level while the process runs.
func (l *Logger) SetLevel(level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return err
	}
	l.out.SetLevel(parsed)
	return nil
}

// Debug writes an event that helps to follow the work.
func (l *Logger) Debug(event string, attrs ...slog.Attr) { l.write(logrus.DebugLevel, event, attrs) }

// Info writes an event of ordinary operation.
func (l *Logger) Info(event string, attrs ...slog.Attr) { l.write(logrus.InfoLevel, event, attrs) }

// Warn writes an event that operators may want to look into.
func (l *Logger) Warn(event string, attrs ...slog.Attr) { l.write(logrus.WarnLevel, event, attrs) }

// Error writes an event that needs an operator.
func (l *Logger) Error(event string, attrs ...slog.Attr) { l.write(logrus.ErrorLevel, event, attrs) }

func (l *Logger) write(level logrus.Level, event string, attrs []slog.Attr) {
	if !l.out.IsLevelEnabled(level) {
		return
	}
	suppressed, ok := l.admit(event)
	if !ok {
		return
	}
	fields := logrus.Fields{"event": event, "process": l.process}
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	for _, a := range attrs {
		fields[a.Key] = a.Value.Resolve().Any()
	}
	l.out.WithFields(fields).Log(level)
}

// admit counts the event. It returns false when the line is to be left out,
// and otherwise how many lines were left out before it.
func (l *Logger) admit(event string) (suppressed int, ok bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.storms[event]
	if s == nil {
		if len(l.storms) >= maxEvents {
			clear(l.storms)
		}
		s = &storm{since: now}
		l.storms[event] = s
	}
	if now.Sub(s.since) >= period {
		suppressed = s.suppressed
		*s = storm{since: now}
	}
	if s.written >= l.burst {
		s.suppressed++
		return 0, false
	}
	s.written++
	return suppressed, true
}
