package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
)

// errToken states which tokens are accepted. 16 characters keep short words
// out, which could be found from their hash.
var errToken = errors.New("token is not valid; allowed: 16 to 512 printable ASCII characters without spaces")

// HashToken returns the hash that a catalogue holds for a bearer token.
func HashToken(token string) (string, error) {
	visible := strings.IndexFunc(token, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
	if !visible || len(token) < 16 || len(token) > 512 {
		return "", errToken
	}
	return hashOf(token), nil
}

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
