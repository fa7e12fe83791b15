// Package keys identifies callers and operators by secret keys.
//
// The configuration holds only a salted hash of each key. Keys are random and
// long, so a fast hash is enough: a guess cannot succeed, and each request can
// be checked without a cost that an attacker could exploit.
//
// # Usage
//
//	key, err := keys.Generate()
//	hash, err := keys.HashOf(key)
//	hash.Matches(key) // true
//	text := hash.String()
//	hash, err = keys.ParseHash(text)
package keys
