// Package logging writes one line of key=value pairs for each event. An event
// has a stable name and typed attributes of package slog. The lines of each event
// are rate limited: beyond a burst they are counted and suppressed, and the first
// line of a later window reports the number.
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
	// window when the settings give none.
	defaultBurst = 20
	// windowLength is the length of the window in which the lines of an event are
	// counted.
	windowLength = time.Second
	// maxEvents bounds the number of event names with a counter. All counters
	// are reset when it is exceeded.
	maxEvents = 1024
)

// Settings contain the log level and the rate limit.
type Settings struct {
	// Level is the lowest level that is written: debug, info, warning or error.
	Level string `ini:"level" validate:"oneof=debug info warning error"`
	// Burst is the number of lines of one event that are written per second;
	// 0 means the default.
	Burst int `ini:"burst" validate:"min=0"`
}

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	out     *logrus.Logger
	process string
	burst   int
	clock   clock.Clock

	// mu guards windows: all duties write events.
	mu      sync.Mutex
	windows map[string]*eventWindow
}

// eventWindow counts the lines of one event since the start of the window.
type eventWindow struct {
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
	l := &Logger{out: out, process: process, burst: burst, clock: c, windows: map[string]*eventWindow{}}
	return l, l.SetLevel(s.Level)
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	out := logrus.New()
	out.SetOutput(io.Discard)
	return &Logger{out: out, burst: defaultBurst, clock: clock.System{}, windows: map[string]*eventWindow{}}
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

// Debug writes an event for diagnosis.
func (l *Logger) Debug(event string, attrs ...slog.Attr) { l.write(logrus.DebugLevel, event, attrs) }

// Info writes an event of normal operation.
func (l *Logger) Info(event string, attrs ...slog.Attr) { l.write(logrus.InfoLevel, event, attrs) }

// Warn writes an event that operators may want to investigate.
func (l *Logger) Warn(event string, attrs ...slog.Attr) { l.write(logrus.WarnLevel, event, attrs) }

// Error writes an event that requires an operator's action.
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

// admit counts the event. It returns false when the line is suppressed, and
// otherwise the number of lines suppressed in the event's previous window.
func (l *Logger) admit(event string) (suppressed int, ok bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.windows[event]
	if s == nil {
		if len(l.windows) >= maxEvents {
			clear(l.windows)
		}
		s = &eventWindow{since: now}
		l.windows[event] = s
	}
	if now.Sub(s.since) >= windowLength {
		suppressed = s.suppressed
		*s = eventWindow{since: now}
	}
	if s.written >= l.burst {
		s.suppressed++
		return 0, false
	}
	s.written++
	return suppressed, true
}
