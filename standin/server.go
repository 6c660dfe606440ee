package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/endpoint/httpendpoint"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
	"github.com/hornbeamworks/hornbeam/storage/httpstorage"
)

// maxBodyBytes is the largest accepted request body.
const maxBodyBytes = 64 << 20

// Server serves stand-ins over HTTP: the platform's services at the paths of
// httpstorage, the endpoints at those of httpendpoint, and the records and fault
// controls for tests (see AdminPath). A stand-in that is nil is not served.
type Server struct {
	Table   *Table
	Objects *ObjectStore
	// Fleet serves the endpoints and the instance list.
	Fleet *Fleet
}

// Handler returns the server's routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	if s.Table != nil {
		s.routeTable(mux)
	}
	if s.Objects != nil {
		s.routeObjects(mux)
	}
	if s.Fleet != nil {
		mux.HandleFunc("GET "+httpstorage.InstancesPath, s.instances)
		mux.HandleFunc("POST /endpoints/{id}/sync", s.sync)
	}
	s.routeAdmin(mux)
	return mux
}

func (s *Server) routeTable(mux *http.ServeMux) {
	table := s.Table.Client()
	mux.HandleFunc("POST "+httpstorage.GetPath, func(w http.ResponseWriter, r *http.Request) {
		var request httpstorage.GetRequest
		if !read(w, r, &request) {
			return
		}
		row, err := table.Get(r.Context(), request.Key)
		reply(w, httpstorage.Status(err), row, err)
	})
	mux.HandleFunc("POST "+httpstorage.ListPath, func(w http.ResponseWriter, r *http.Request) {
		var request httpstorage.ListRequest
		if !read(w, r, &request) {
			return
		}
		rows, err := table.List(r.Context(), request.Prefix, request.After, request.Limit)
		reply(w, httpstorage.Status(err), httpstorage.ListReply{Rows: rows}, err)
	})
	mux.HandleFunc("POST "+httpstorage.CommitPath, func(w http.ResponseWriter, r *http.Request) {
		var txn storage.Txn
		if !read(w, r, &txn) {
			return
		}
		err := table.Commit(r.Context(), txn)
		reply(w, httpstorage.Status(err), struct{}{}, err)
	})
}

func (s *Server) routeObjects(mux *http.ServeMux) {
	objects := s.Objects.Client()
	path := httpstorage.ObjectsPath + "{name}"
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		content, err := objects.Get(r.Context(), r.PathValue("name"))
		if err != nil {
			reply(w, httpstorage.Status(err), nil, err)
			return
		}
		_, _ = w.Write(content)
	})
	mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			reply(w, http.StatusBadRequest, nil, err)
			return
		}
		err = objects.Put(r.Context(), r.PathValue("name"), content)
		reply(w, httpstorage.Status(err), struct{}{}, err)
	})
	mux.HandleFunc("DELETE "+path, func(w http.ResponseWriter, r *http.Request) {
		err := objects.Delete(r.Context(), r.PathValue("name"))
		reply(w, httpstorage.Status(err), struct{}{}, err)
	})
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	domain := model.DomainName(r.URL.Query().Get(httpstorage.DomainParameter))
	infos, err := s.Fleet.List().Endpoints(r.Context(), domain)
	reply(w, httpstorage.Status(err), httpstorage.InstancesReply{Endpoints: infos}, err)
}

func (s *Server) sync(w http.ResponseWriter, r *http.Request) {
	var request endpoint.SyncRequest
	if !read(w, r, &request) {
		return
	}
	info := model.EndpointInfo{ID: model.EndpointID(r.PathValue("id"))}
	response, err := s.Fleet.Client().Sync(r.Context(), info, request)
	reply(w, httpendpoint.Status(err), response, err)
}

// read decodes the body of r as JSON. If that fails, it replies with status 400
// and returns false.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		reply(w, http.StatusBadRequest, nil, err)
		return false
	}
	return true
}

// reply writes body as JSON, or the error's text. For errReplyLost it closes the
// connection without a reply.
func reply(w http.ResponseWriter, status int, body any, err error) {
	if eris.Is(err, errReplyLost) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, strings.TrimSpace(err.Error()), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: a caller that has closed the connection needs no
	// reply.
	_ = json.NewEncoder(w).Encode(body)
}
