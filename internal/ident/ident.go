package ident

import (
	"fmt"

	"github.com/pkg/errors"
)

// Identifier types.
type (
	// Workspace names a workspace, a customer that holds guarantees and submits
	// jobs and requests.
	Workspace string
	// Domain names a failure domain.
	Domain string
	// Region names a group of failure domains with a fast network between them.
	Region string
	// Rack names a rack of workers. Rack names are unique within a domain.
	Rack string
	// Worker names a worker, a machine that runs tasks of jobs.
	Worker string
	// Service names a group of endpoints that answer the same requests.
	Service string
	// Endpoint names an endpoint, one server that answers requests of a service.
	Endpoint string
	// Instance names one running instance of the entry daemon. The name
	// includes its incarnation.
	Instance string
	// Job names a job. It is unique within its workspace.
	Job string
	// Request names a request. The caller chooses it, unique within its
	// workspace.
	Request string
)

// MaxLength is the length in bytes of the longest identifier that Check accepts.
const MaxLength = 128

// ErrInvalid is wrapped by the errors of Check. Such an identifier cannot be
// used in a row key or a URL path.
var ErrInvalid = errors.New("invalid identifier")

// Check returns an error that wraps ErrInvalid unless s consists of 1 to
// MaxLength ASCII letters, digits, dots, underscores and hyphens and does not
// start with a dot.
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
