package config

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// NewSecret returns a key's secret of 128 bits of entropy at least, and its
// hash as model.Key holds it. The secret is shown once and kept nowhere; with
// this entropy a plain SHA-256 can't be searched.
func NewSecret() (secret, hash string) {
	secret = rand.Text()
	return secret, HashSecret(secret)
}

// HashSecret returns the hash of the secret as model.Key holds it.
func HashSecret(secret string) string {
	digest := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(digest[:])
}
