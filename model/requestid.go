package model

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// requestIDParts is the number of dash-separated parts of a RequestID.
const requestIDParts = 3

// ErrRequestID is returned for a request id that is not in the format of
// NewRequestID.
var ErrRequestID = eris.New("malformed request id")

// NewRequestID returns the id of a request whose home is shard home. digest is
// the hash of team and idempotency key, so that the same request has the same id
// at every entry instance. The format is shard number, digest in base 36 and
// domain, joined by dashes; the domain is last since it may contain dashes.
func NewRequestID(home ShardID, digest uint64) RequestID {
	number := strconv.Itoa(home.Number)
	hash := strconv.FormatUint(digest, 36)
	return RequestID(number + "-" + hash + "-" + string(home.Domain))
}

// Home returns the home shard of the request, or ErrRequestID for an id in
// another format.
func (id RequestID) Home() (ShardID, error) {
	parts := strings.SplitN(string(id), "-", requestIDParts)
	if len(parts) != requestIDParts || parts[2] == "" {
		return ShardID{}, ErrRequestID
	}
	number, err := strconv.Atoi(parts[0])
	if err != nil || number < 0 {
		return ShardID{}, ErrRequestID
	}
	if _, err := strconv.ParseUint(parts[1], 36, 64); err != nil {
		return ShardID{}, ErrRequestID
	}
	return ShardID{Domain: DomainName(parts[2]), Number: number}, nil
}
