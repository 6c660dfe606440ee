package layout

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// newSecret returns a new random secret and its hash in the format of
// model.Key.Hash.
func newSecret() (secret, hash string) {
	secret = rand.Text()
	digest := sha256.Sum256([]byte(secret))
	return secret, hex.EncodeToString(digest[:])
}
