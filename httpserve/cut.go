package httpserve

import (
	"expvar"
	"log/slog"
	"time"
)

// cuts is the expvar map "requests_cut": the requests that were read, in whole or in
// part, and got no complete answer, by "PHASE_by_caller" and "PHASE_by_server".
var cuts = expvar.NewMap("requests_cut")

// cut describes a request whose connection ended without a complete answer.
type cut struct {
	// age is the time since its first byte was read, bytes the number read.
	age   time.Duration
	bytes int
	// handled is set when its handler had begun.
	handled bool
	// byCaller is set when the caller closed the connection.
	byCaller bool
	// failure is the last error of the connection, if any.
	failure error
}

func (s *Server) reportCut(c cut) {
	drain := phaseNames[phase(s.phase.Load())]
	by := "server"
	if c.byCaller {
		by = "caller"
	}
	cuts.Add(drain+"_by_"+by, 1)
	attrs := []slog.Attr{
		slog.String("drain", drain), slog.String("by", by), slog.Duration("age", c.age),
		slog.Int("bytes", c.bytes), slog.Bool("handled", c.handled),
	}
	if c.failure != nil {
		attrs = append(attrs, slog.String("error", c.failure.Error()))
	}
	s.log.Warn("request_cut", attrs...)
}
