// Package keys identifies callers and operators by secret keys.
//
// The configuration contains only a salted hash of each key. Keys are long and
// random, so they cannot be guessed and a fast hash is sufficient. With a fast
// hash, checking the key of each request is too cheap to be exploited for
// denial of service.
//
// # Usage
//
//	key, err := keys.Generate()
//	hash, err := keys.HashOf(key)
//	hash.Matches(key) // true
//	text := hash.String()
//	hash, err = keys.ParseHash(text)
package keys
