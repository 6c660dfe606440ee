package gate

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/hornbeamworks/hornbeam/model"
)

// digest is the SHA-256 of a key's secret.
type digest [sha256.Size]byte

// keyring holds the keys in force under one version of the configuration.
type keyring struct {
	digests []digest
	keys    []model.Key
}

// newKeyring reads the hashes of the keys. A key whose hash can't be read
// admits nobody.
func newKeyring(keys []model.Key) *keyring {
	ring := &keyring{}
	for _, key := range keys {
		raw, err := hex.DecodeString(key.Hash)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		ring.digests = append(ring.digests, digest(raw))
		ring.keys = append(ring.keys, key)
	}
	return ring
}

// find returns the key with the digest. It compares with every key in constant
// time, so that its duration tells nothing about the keys.
func (r *keyring) find(d digest) (model.Key, bool) {
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
