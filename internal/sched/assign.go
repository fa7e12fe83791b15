package sched

import (
	"cmp"
	"slices"
	"strings"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/pkg/errors"
)

type (
	// Summary is the load of a shard as its owner reports it to the other
	// instances.
	Summary struct {
		Domain              ident.Domain
		Epoch               int64
		Workers             int
		Accelerators        int
		FreeAccelerators    int
		WaitingJobs         int
		WaitingAccelerators int
		RunningJobs         int
		// Unmet names the guarantees that do not fit on the healthy workers at
		// present, with reasons.
		Unmet []string
	}

	// Candidate is a failure domain to which a job can be assigned.
	Candidate struct {
		Summary   Summary
		InService bool
		// Homes is the number of guaranteed shapes of the job's workspace that
		// equal the shape of the job and have their home in the domain.
		Homes int
		// Workers lists all workers of the domain that the platform reports.
		Workers []fleet.Worker
	}
)

var (
	// ErrNeverFits is returned if a job does not fit in any domain, even with
	// all workers free.
	ErrNeverFits = errors.New("the shape fits in no failure domain")
	// ErrNoDomain is returned if all domains that a job fits in are out of
	// service.
	ErrNoDomain = errors.New("no failure domain that fits is in service")
)

// Assign returns the failure domain whose shard should take a job. A guaranteed
// job goes to the domain with the most homes of its guarantee. Ties and other
// jobs go to the domain with the lowest excess demand for accelerators.
func Assign(s jobs.Spec, candidates []Candidate) (ident.Domain, error) {
	fitting := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return !fleet.CanEver(c.Workers, s.Shape)
	})
	if len(fitting) == 0 {
		return "", ErrNeverFits
	}
	inService := slices.DeleteFunc(fitting, func(c Candidate) bool { return !c.InService })
	if len(inService) == 0 {
		return "", ErrNoDomain
	}
	best := slices.MinFunc(inService, func(a, b Candidate) int {
		return cmp.Or(
			compareHomes(s, a, b),
			cmp.Compare(a.excessDemand(s), b.excessDemand(s)),
			strings.Compare(string(a.Summary.Domain), string(b.Summary.Domain)),
		)
	})
	return best.Summary.Domain, nil
}

// compareHomes orders candidates for a guaranteed job by descending number of
// homes. For other jobs all candidates are equal.
func compareHomes(s jobs.Spec, a, b Candidate) int {
	if !s.Guaranteed {
		return 0
	}
	return cmp.Compare(b.Homes, a.Homes)
}

// excessDemand returns the accelerators that waiting jobs, including s, need
// beyond those that are free. The queue length alone would not distinguish a
// full domain with a short queue from an empty domain.
func (c Candidate) excessDemand(s jobs.Spec) int {
	return c.Summary.WaitingAccelerators + s.Shape.Total().Accelerators - c.Summary.FreeAccelerators
}
