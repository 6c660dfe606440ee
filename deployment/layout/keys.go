package layout

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// newSecret returns a fresh secret and its hash as model.Key keeps it.
func newSecret() (secret, hash string) {
	secret = rand.Text()
	digest := sha256.Sum256([]byte(secret))
	return secret, hex.EncodeToString(digest[:])
}
