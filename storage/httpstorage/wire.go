package httpstorage

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// Paths of the platform's services.
const (
	GetPath       = "/table/get"
	ListPath      = "/table/list"
	CommitPath    = "/table/commit"
	ObjectsPath   = "/objects/"
	InstancesPath = "/instances"
)

// DomainParameter is the query parameter of InstancesPath with the name of the
// failure domain.
const DomainParameter = "domain"

// GetRequest is the body of a request to GetPath.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest is the body of a request to ListPath.
type ListRequest struct {
	// Prefix selects the rows whose keys begin with it.
	Prefix string `json:"prefix"`
	// After is an exclusive lower bound of the keys; empty means none.
	After string `json:"after,omitempty"`
	// Limit is the maximum number of rows.
	Limit int `json:"limit"`
}

// ListReply is the response to a ListRequest.
type ListReply struct {
	// Rows are sorted by key.
	Rows []storage.Row `json:"rows"`
}

// InstancesReply is the response to a request to InstancesPath: the endpoints of
// one failure domain.
type InstancesReply struct {
	Endpoints []model.EndpointInfo `json:"endpoints"`
}

// Status returns the HTTP status with which a server reports err. It is the inverse
// of statusError.
func Status(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case eris.Is(err, storage.ErrConflict):
		return http.StatusConflict
	case eris.Is(err, storage.ErrNotFound):
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}

// statusError returns the error that an HTTP status means. For any other status
// the outcome of the call is unknown, hence ErrUnavailable.
func statusError(status int, call string) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return eris.Wrap(storage.ErrConflict, call)
	case http.StatusNotFound:
		return eris.Wrap(storage.ErrNotFound, call)
	default:
		return eris.Wrapf(storage.ErrUnavailable, "%s: status %d", call, status)
	}
}
