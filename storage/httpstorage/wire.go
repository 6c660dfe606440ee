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

// DomainParameter is the query parameter of InstancesPath.
const DomainParameter = "domain"

// GetRequest asks for one row.
type GetRequest struct {
	// Key is the row's key.
	Key string `json:"key"`
}

// ListRequest asks for rows in the order of their keys.
type ListRequest struct {
	// Prefix is what the keys begin with.
	Prefix string `json:"prefix"`
	// After is the key after which the rows come.
	After string `json:"after,omitempty"`
	// Limit is the largest number of rows.
	Limit int `json:"limit"`
}

// ListReply holds the rows.
type ListReply struct {
	// Rows are the rows in the order of their keys.
	Rows []storage.Row `json:"rows"`
}

// InstancesReply holds the endpoints of a failure domain.
type InstancesReply struct {
	// Endpoints are the endpoints.
	Endpoints []model.EndpointInfo `json:"endpoints"`
}

// Status returns the HTTP status that stands for the error.
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

// statusError returns the error that the HTTP status stands for. Every status
// that is not known means that nothing is known of the call's effect.
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
