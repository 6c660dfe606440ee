package config

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// NewSecret generates a key's secret and its hash in the format of model.Key. The
// secret is shown once and never stored. It has at least 128 bits of entropy, so
// that a brute-force search of a plain SHA-256 is infeasible.
func NewSecret() (secret, hash string) {
	secret = rand.Text()
	return secret, HashSecret(secret)
}

// HashSecret returns the hash of the secret in the format of model.Key.
func HashSecret(secret string) string {
	digest := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(digest[:])
}
