package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Hash is a salted SHA-256 hash of a key.
type Hash struct {
	salt [saltBytes]byte
	sum  [sha256.Size]byte
}

const (
	saltBytes  = 16
	keyBytes   = 24
	hashPrefix = "sha256"
)

// ErrHash is wrapped by errors about malformed hashes.
var ErrHash = errors.New("malformed key hash")

// Generate returns a new random key.
func Generate() (string, error) {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		return "", fmt.Errorf("generate key: %w", err)
	}
	return hex.EncodeToString(b), nil
}

// HashOf returns a hash of key with a new random salt.
func HashOf(key string) (Hash, error) {
	var h Hash
	if _, err := rand.Read(h.salt[:]); err != nil {
		return Hash{}, fmt.Errorf("generate salt: %w", err)
	}
	h.sum = h.digest(key)
	return h, nil
}

// Matches reports whether h is a hash of key. It compares in constant time.
func (h Hash) Matches(key string) bool {
	sum := h.digest(key)
	return subtle.ConstantTimeCompare(sum[:], h.sum[:]) == 1
}

// String returns h as sha256:salt:sum, with salt and sum in hexadecimal.
func (h Hash) String() string {
	return hashPrefix + ":" + hex.EncodeToString(h.salt[:]) + ":" + hex.EncodeToString(h.sum[:])
}

// ParseHash parses the form that String returns.
func ParseHash(s string) (Hash, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 3 || parts[0] != hashPrefix {
		return Hash{}, fmt.Errorf("not of the form %s:salt:sum: %w", hashPrefix, ErrHash)
	}
	var h Hash
	if err := decodeHex(h.salt[:], parts[1]); err != nil {
		return Hash{}, fmt.Errorf("salt: %w", err)
	}
	if err := decodeHex(h.sum[:], parts[2]); err != nil {
		return Hash{}, fmt.Errorf("sum: %w", err)
	}
	return h, nil
}

func (h Hash) digest(key string) [sha256.Size]byte {
	return sha256.Sum256(append(h.salt[:], key...))
}

func decodeHex(dst []byte, s string) error {
	if len(s) != hex.EncodedLen(len(dst)) {
		return fmt.Errorf("%d digits, want %d: %w", len(s), hex.EncodedLen(len(dst)), ErrHash)
	}
	if _, err := hex.Decode(dst, []byte(s)); err != nil {
		return fmt.Errorf("%w: %w", ErrHash, err)
	}
	return nil
}
