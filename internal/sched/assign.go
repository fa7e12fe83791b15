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
	// Summary describes a shard to instances that do not own it.
	Summary struct {
		Domain              ident.Domain
		Epoch               int64
		Workers             int
		Accelerators        int
		FreeAccelerators    int
		WaitingJobs         int
		WaitingAccelerators int
		RunningJobs         int
		// Unmet names the guarantees that do not fit at present, with reasons.
		Unmet []string
	}

	// Candidate is a failure domain that may take a job.
	Candidate struct {
		Summary   Summary
		InService bool
		// Homes is the number of guaranteed shapes of the job's workspace and
		// shape that have their home in the domain.
		Homes int
		// Workers are the workers that the platform lists in the domain.
		Workers []fleet.Worker
	}
)

var (
	// ErrNeverFits means that no domain has the workers that a job needs, even
	// with all of them free.
	ErrNeverFits = errors.New("the shape fits in no failure domain")
	// ErrNoDomain means that no domain that fits is in service.
	ErrNoDomain = errors.New("no failure domain that fits is in service")
)

// Assign returns the failure domain whose shard should take a job. Guaranteed
// work goes where its guarantee has a home, other work where the least work
// waits for the free accelerators.
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
			cmp.Compare(a.pressure(s), b.pressure(s)),
			strings.Compare(string(a.Summary.Domain), string(b.Summary.Domain)),
		)
	})
	return best.Summary.Domain, nil
}

func compareHomes(s jobs.Spec, a, b Candidate) int {
	if !s.Guaranteed {
		return 0
	}
	return cmp.Compare(b.Homes, a.Homes)
}

// pressure returns the accelerators that would wait beyond those that are
// free, so that a full domain with a short queue and an empty one are told apart.
func (c Candidate) pressure(s jobs.Spec) int {
	return c.Summary.WaitingAccelerators + s.Shape.Total().Accelerators - c.Summary.FreeAccelerators
}
