package ident

import (
	"fmt"

	"github.com/pkg/errors"
)

// The identifiers of the domain.
type (
	// Workspace names a customer that holds guarantees and submits work.
	Workspace string
	// Domain names a failure domain.
	Domain string
	// Region names a group of failure domains with a fast network between them.
	Region string
	// Rack names a rack of workers. Rack names are unique within a domain.
	Rack string
	// Worker names a machine that runs tasks.
	Worker string
	// Service names a group of endpoints.
	Service string
	// Endpoint names one back end of a service.
	Endpoint string
	// Instance names one running entry daemon, including its incarnation.
	Instance string
	// Job names a job. It is unique within its workspace.
	Job string
	// Request names a request. It is chosen by the caller and unique within
	// the caller's workspace.
	Request string
)

// MaxLength is the longest identifier in bytes that Check accepts.
const MaxLength = 128

// ErrInvalid is returned by Check for an identifier that cannot be used in a
// row key or a path.
var ErrInvalid = errors.New("invalid identifier")

// Check returns an error that wraps ErrInvalid unless s has 1 to MaxLength
// characters from the set of letters, digits, dot, underscore and hyphen, and
// does not start with a dot.
func Check(s string) error {
	if s == "" {
		return fmt.Errorf("empty name: %w", ErrInvalid)
	}
	if len(s) > MaxLength {
		return fmt.Errorf("name of %d bytes, at most %d are allowed: %w", len(s), MaxLength, ErrInvalid)
	}
	if s[0] == '.' {
		return fmt.Errorf("name %q starts with a dot: %w", s, ErrInvalid)
	}
	for i := range len(s) {
		if !isAllowed(s[i]) {
			return fmt.Errorf("name %q has the character %q: %w", s, s[i], ErrInvalid)
		}
	}
	return nil
}

func isAllowed(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '.' || c == '_' || c == '-'
}
