// Package httpstorage implements the interfaces of package storage over HTTP and
// JSON.
//
// POST /table/get reads a row, POST /table/list reads a range of rows, and POST
// /table/commit commits a transaction. GET, PUT and DELETE of /objects/NAME read,
// write and delete an object. GET /instances?domain=NAME lists the endpoints of a
// failure domain. Status 409 means a conflict, 404 a missing row or object.
package httpstorage

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// maxReplyBytes limits the size of a response body.
const maxReplyBytes = 64 << 20

// client is the HTTP client shared by the three adapters.
type client struct {
	base string
	http *http.Client
}

// Table is a storage.Table over HTTP.
type Table struct{ client }

// NewTable returns a client of the table service at base, a URL without a path.
func NewTable(base string, c *http.Client) *Table {
	return &Table{client{base: base, http: c}}
}

// Get implements storage.Table.
func (t *Table) Get(ctx context.Context, key string) (storage.Row, error) {
	var row storage.Row
	err := t.callJSON(ctx, GetPath, GetRequest{Key: key}, &row)
	return row, err
}

// List implements storage.Table.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	var reply ListReply
	err := t.callJSON(ctx, ListPath, ListRequest{Prefix: prefix, After: after, Limit: limit}, &reply)
	return reply.Rows, err
}

// Commit implements storage.Table.
func (t *Table) Commit(ctx context.Context, txn storage.Txn) error {
	return t.callJSON(ctx, CommitPath, txn, nil)
}

// ObjectStore is a storage.ObjectStore over HTTP.
type ObjectStore struct{ client }

// NewObjectStore returns a client of the object store at base, a URL without a
// path.
func NewObjectStore(base string, c *http.Client) *ObjectStore {
	return &ObjectStore{client{base: base, http: c}}
}

// Put implements storage.ObjectStore.
func (s *ObjectStore) Put(ctx context.Context, name string, content []byte) error {
	_, err := s.call(ctx, http.MethodPut, objectPath(name), content)
	return err
}

// Get implements storage.ObjectStore.
func (s *ObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	return s.call(ctx, http.MethodGet, objectPath(name), nil)
}

// Delete implements storage.ObjectStore.
func (s *ObjectStore) Delete(ctx context.Context, name string) error {
	_, err := s.call(ctx, http.MethodDelete, objectPath(name), nil)
	return err
}

// objectPath returns the path of an object. Slashes in the name are escaped, so
// that the name is one path segment.
func objectPath(name string) string { return ObjectsPath + url.PathEscape(name) }

// InstanceList is a storage.InstanceList over HTTP.
type InstanceList struct{ client }

// NewInstanceList returns a client of the instance list at base, a URL without a
// path.
func NewInstanceList(base string, c *http.Client) *InstanceList {
	return &InstanceList{client{base: base, http: c}}
}

// Endpoints implements storage.InstanceList.
func (l *InstanceList) Endpoints(ctx context.Context, domain model.DomainName) ([]model.EndpointInfo, error) {
	query := url.Values{DomainParameter: {string(domain)}}
	raw, err := l.call(ctx, http.MethodGet, InstancesPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	var reply InstancesReply
	if err := decode(raw, &reply, InstancesPath); err != nil {
		return nil, err
	}
	return reply.Endpoints, nil
}

// callJSON posts request as JSON and decodes the response into reply unless reply
// is nil.
func (c *client) callJSON(ctx context.Context, path string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrapf(err, "encoding request for %s", path)
	}
	raw, err := c.call(ctx, http.MethodPost, path, body)
	if err != nil || reply == nil {
		return err
	}
	return decode(raw, reply, path)
}

// decode decodes a response body. A body that can't be decoded leaves the outcome
// of the call unknown, hence ErrUnavailable.
func decode(raw []byte, reply any, path string) error {
	if err := json.Unmarshal(raw, reply); err != nil {
		return eris.Wrapf(storage.ErrUnavailable, "%s: unreadable reply: %v", path, err)
	}
	return nil
}

// call sends one request and returns the response body, with an error for every
// status but 200.
func (c *client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "creating request for %s", path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrapf(storage.ErrUnavailable, "%s: %v", path, err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, eris.Wrapf(storage.ErrUnavailable, "%s: %v", path, err)
	}
	return raw, statusError(response.StatusCode, path)
}
