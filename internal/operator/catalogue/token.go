package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
)

// errInvalidToken is returned for a token that HashToken rejects. The minimum of 16
// characters excludes short words, which could be recovered from their hash by brute
// force.
var errInvalidToken = errors.New("token is not valid; allowed: 16 to 512 printable ASCII characters without spaces")

// HashToken validates a bearer token and returns the hash that a catalogue stores
// for it.
func HashToken(token string) (string, error) {
	visible := strings.IndexFunc(token, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
	if !visible || len(token) < 16 || len(token) > 512 {
		return "", errInvalidToken
	}
	return sha256Hex(token), nil
}

func sha256Hex(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
