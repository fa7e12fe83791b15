package shape

import (
	"fmt"

	"github.com/pkg/errors"
)

type (
	// Bytes is an amount of memory in bytes.
	Bytes int64

	// Adjacency is how close together the members of a gang must be placed.
	Adjacency int

	// Resources is an amount of accelerators, processors and memory.
	Resources struct {
		Accelerators int
		Processors   int
		Memory       Bytes
	}

	// Shape is the demand of a gang of equal members and their adjacency.
	Shape struct {
		Members   int
		Member    Resources
		Adjacency Adjacency
	}
)

// Adjacency levels, from the widest to the narrowest.
const (
	// SameDomain places all members in one failure domain.
	SameDomain Adjacency = iota
	// SameRack places all members in one rack.
	SameRack
	// SameWorker places all members on one worker.
	SameWorker
)

// Units of memory.
const (
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// Bounds on one shape. They are far above any planned capacity, and they keep
// sums over accepted shapes from overflowing.
const (
	maxMembers    = 4096
	maxPerMember  = 4096
	maxMemberSize = 1 << 44
)

// ErrInvalid is wrapped by the errors of Check.
var ErrInvalid = errors.New("invalid shape")

// String returns the name that settings and messages use.
func (a Adjacency) String() string {
	switch a {
	case SameDomain:
		return "domain"
	case SameRack:
		return "rack"
	case SameWorker:
		return "worker"
	}
	return fmt.Sprintf("adjacency(%d)", int(a))
}

// ParseAdjacency returns the adjacency with the given name.
func ParseAdjacency(s string) (Adjacency, error) {
	for _, a := range []Adjacency{SameDomain, SameRack, SameWorker} {
		if a.String() == s {
			return a, nil
		}
	}
	return SameDomain, fmt.Errorf("unknown adjacency %q, want domain, rack or worker: %w", s, ErrInvalid)
}

// Fits reports whether r does not exceed avail in any resource.
func (r Resources) Fits(avail Resources) bool {
	return r.Accelerators <= avail.Accelerators && r.Processors <= avail.Processors && r.Memory <= avail.Memory
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.Processors + o.Processors, r.Memory + o.Memory}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.Processors - o.Processors, r.Memory - o.Memory}
}

// Times returns n * r.
func (r Resources) Times(n int) Resources {
	return Resources{r.Accelerators * n, r.Processors * n, r.Memory * Bytes(n)}
}

// Count returns how many times r fits into avail, at most limit.
func (r Resources) Count(avail Resources, limit int) int {
	n := limit
	if r.Accelerators > 0 {
		n = min(n, avail.Accelerators/r.Accelerators)
	}
	if r.Processors > 0 {
		n = min(n, avail.Processors/r.Processors)
	}
	if r.Memory > 0 {
		n = min(n, int(avail.Memory/r.Memory))
	}
	return max(n, 0)
}

// Total returns the resources of all members.
func (s Shape) Total() Resources { return s.Member.Times(s.Members) }

// Check returns an error that wraps ErrInvalid if the number of members or an
// amount is out of bounds, all amounts are 0, or the adjacency is unknown.
func (s Shape) Check() error {
	m := s.Member
	switch {
	case s.Members < 1 || s.Members > maxMembers:
		return fmt.Errorf("%d members out of range 1 to %d: %w", s.Members, maxMembers, ErrInvalid)
	case m.Accelerators < 0 || m.Accelerators > maxPerMember:
		return fmt.Errorf("%d accelerators per member out of range 0 to %d: %w", m.Accelerators, maxPerMember, ErrInvalid)
	case m.Processors < 0 || m.Processors > maxPerMember:
		return fmt.Errorf("%d processors per member out of range 0 to %d: %w", m.Processors, maxPerMember, ErrInvalid)
	case m.Memory < 0 || m.Memory > maxMemberSize:
		return fmt.Errorf("%d bytes of memory per member out of range 0 to %d: %w", m.Memory, int64(maxMemberSize), ErrInvalid)
	case m == Resources{}:
		return fmt.Errorf("a member requests no resources: %w", ErrInvalid)
	case s.Adjacency < SameDomain || s.Adjacency > SameWorker:
		return fmt.Errorf("%v: %w", s.Adjacency, ErrInvalid)
	}
	return nil
}

// String returns a short form such as "4x8acc/rack": 4 members with 8
// accelerators each, in one rack.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%dacc/%v", s.Members, s.Member.Accelerators, s.Adjacency)
}
