package fleet

import (
	"fmt"

	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/worker"
)

type (
	// Health tells whether a worker can be given new tasks.
	Health int

	// Worker is the state of a worker as its shard owner knows it.
	Worker struct {
		Spec   worker.Spec
		Free   shape.Resources
		Health Health
	}
)

// The values of Health.
const (
	// Healthy workers answer and accept tasks.
	Healthy Health = iota
	// Silent workers do not answer. Their tasks may still run.
	Silent
	// Quarantined workers get no tasks, because tasks fail on them.
	Quarantined
)

// String returns the name used in messages.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "healthy"
	case Silent:
		return "silent"
	case Quarantined:
		return "barred"
	}
	return fmt.Sprintf("health(%d)", int(h))
}
