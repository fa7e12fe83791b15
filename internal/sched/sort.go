package sched

import (
	"slices"
	"strings"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/jobs"
)

// SortView sorts the workers, waiting jobs and gangs of v by name, so that
// equal states give equal decisions.
func SortView(v *View) {
	slices.SortFunc(v.Workers, func(a, b fleet.Worker) int {
		return strings.Compare(string(a.Spec.ID), string(b.Spec.ID))
	})
	slices.SortFunc(v.Waiting, compareNames)
	slices.SortFunc(v.Gangs, func(a, b Gang) int { return compareNames(a.Job, b.Job) })
}

func compareNames(a, b jobs.Job) int {
	if c := strings.Compare(string(a.Workspace), string(b.Workspace)); c != 0 {
		return c
	}
	return strings.Compare(string(a.ID), string(b.ID))
}
