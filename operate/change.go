package operate

import (
	"context"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// Caller identifies the operator who makes a request.
type Caller struct {
	// Digest is the digest of the operator's secret.
	Digest config.Digest
}

func (c Caller) secretDigest() config.Digest { return c.Digest }

// changeRequest requests the execution of a change.
type changeRequest struct {
	Caller
	change config.Change
	done   chan config.Outcome
}

// Change executes the change on behalf of the caller and returns its outcome. It
// sets the change's Author to the id of the caller's key.
func (d *Service) Change(ctx context.Context, caller Caller, change config.Change) config.Outcome {
	r := &changeRequest{Caller: caller, change: change, done: make(chan config.Outcome, 1)}
	return call(ctx, d, r, r.done, refusedChange)
}

func (r *changeRequest) allowedRoles() []model.Role { return []model.Role{model.Operator} }

func (r *changeRequest) serve(d *Service, key model.Key) {
	r.change.Author = key.ID
	if !d.options.Writer.Change(r.change, r.done) {
		r.refuse(result.Busy, "the process has too many changes under way")
	}
}

func (r *changeRequest) refuse(code result.Code, reason string) {
	r.done <- refusedChange(code, reason)
}

func refusedChange(code result.Code, reason string) config.Outcome {
	return config.Outcome{Code: code, Reason: reason}
}
