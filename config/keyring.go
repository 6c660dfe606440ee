package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/hornbeamworks/hornbeam/model"
)

// Digest is the SHA-256 digest of a key's secret.
type Digest [sha256.Size]byte

func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }

// Keyring looks up the keys of one configuration version by their digests.
type Keyring struct {
	digests []Digest
	keys    []model.Key
}

// NewKeyring decodes the hashes of the keys. A key with an invalid hash is
// skipped, so that no secret matches it.
func NewKeyring(keys []model.Key) *Keyring {
	ring := &Keyring{}
	for _, key := range keys {
		raw, err := hex.DecodeString(key.Hash)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		ring.digests = append(ring.digests, Digest(raw))
		ring.keys = append(ring.keys, key)
	}
	return ring
}

// Find returns the key with the digest. It compares every key in constant time,
// so that its duration reveals nothing about the digests.
func (r *Keyring) Find(d Digest) (model.Key, bool) {
	found := -1
	for i := range r.digests {
		equal := subtle.ConstantTimeCompare(r.digests[i][:], d[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return model.Key{}, false
	}
	return r.keys[found], true
}
