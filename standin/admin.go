package standin

import (
	"encoding/json"
	"net/http"

	"github.com/hornbeamworks/hornbeam/model"
)

// Paths of the records and of the fault controls.
const (
	// RecordsPath returns the records as JSON lines.
	RecordsPath = "/records"
	// StatsPath returns the table's counters.
	StatsPath = "/stats"
	// AdminPath is the prefix of the fault controls: POST TableFaults to table,
	// ObjectFaults to objects and EndpointEvent to endpoints.
	AdminPath = "/admin/"
)

// EndpointEvent is a request to send an event to endpoints.
type EndpointEvent struct {
	Event Event `json:"event"`
	// Domain restricts the event to one failure domain when no endpoint is
	// named; empty means all domains.
	Domain model.DomainName `json:"domain,omitempty"`
	// Endpoints are the endpoints; empty means all of the domain.
	Endpoints []model.EndpointID `json:"endpoints,omitempty"`
}

func (s *Server) routeAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET "+RecordsPath, s.records)
	if s.Table != nil {
		mux.HandleFunc("GET "+StatsPath, s.stats)
		mux.HandleFunc("POST "+AdminPath+"table", s.tableFaults)
	}
	if s.Objects != nil {
		mux.HandleFunc("POST "+AdminPath+"objects", s.objectFaults)
	}
	if s.Fleet != nil {
		mux.HandleFunc("POST "+AdminPath+"endpoints", s.endpointEvent)
	}
}

// records writes the records of the server's table and fleet as JSON lines.
func (s *Server) records(w http.ResponseWriter, r *http.Request) {
	var all []Record
	if s.Table != nil {
		records, err := s.Table.Records(r.Context())
		if err != nil {
			reply(w, http.StatusServiceUnavailable, nil, err)
			return
		}
		all = append(all, records...)
	}
	if s.Fleet != nil {
		records, err := s.Fleet.Records(r.Context())
		if err != nil {
			reply(w, http.StatusServiceUnavailable, nil, err)
			return
		}
		all = append(all, records...)
	}
	lines := json.NewEncoder(w)
	for _, record := range all {
		if lines.Encode(record) != nil {
			return
		}
	}
}

func (s *Server) stats(w http.ResponseWriter, r *http.Request) {
	stats, err := s.Table.Stats(r.Context())
	reply(w, adminStatus(err), stats, err)
}

func (s *Server) tableFaults(w http.ResponseWriter, r *http.Request) {
	var faults TableFaults
	if !read(w, r, &faults) {
		return
	}
	err := s.Table.SetFaults(r.Context(), faults)
	reply(w, adminStatus(err), struct{}{}, err)
}

func (s *Server) objectFaults(w http.ResponseWriter, r *http.Request) {
	var faults ObjectFaults
	if !read(w, r, &faults) {
		return
	}
	err := s.Objects.SetFaults(r.Context(), faults)
	reply(w, adminStatus(err), struct{}{}, err)
}

func (s *Server) endpointEvent(w http.ResponseWriter, r *http.Request) {
	var event EndpointEvent
	if !read(w, r, &event) {
		return
	}
	err := s.Fleet.SendEvent(r.Context(), event.Event, event.Domain, event.Endpoints...)
	reply(w, adminStatus(err), struct{}{}, err)
}

func adminStatus(err error) int {
	if err != nil {
		return http.StatusBadRequest
	}
	return http.StatusOK
}
