package fleet

import (
	"fmt"

	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// Health tells whether a worker can take new work.
	Health int

	// Worker is a worker as its shard owner sees it.
	Worker struct {
		Spec   worker.Spec
		Free   shape.Resources
		Health Health
	}
)

// The health of a worker.
const (
	// Healthy workers answer and take work.
	Healthy Health = iota
	// Silent workers do not answer. What they run may still run.
	Silent
	// Barred workers are quarantined because work fails on them.
	Barred
)

// String returns the name used in messages.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "healthy"
	case Silent:
		return "silent"
	case Barred:
		return "barred"
	}
	return fmt.Sprintf("health(%d)", int(h))
}
