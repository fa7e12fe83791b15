package share

import (
	"maps"
	"math"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
)

type (
	// Usage is the demand of the tasks of one workspace over all workers. Each task
	// counts with its declared demand, also where it occupies less on its worker.
	Usage struct {
		// Occupied is the demand of all tasks that run or may run.
		Occupied graph.Demand
		// Stopping is the part of Occupied whose tasks have been ordered to stop.
		Stopping graph.Demand
		// Reserved is the demand of tasks that are placed and not yet started.
		Reserved graph.Demand
		// recent is the average of the total over time, in which what is longer ago
		// than halfLife counts less than half.
		recent Amounts
	}

	// Amounts are averages of demands, by resource.
	Amounts struct {
		Millicores, MemoryMiB, Accelerators float64
	}

	// Account holds the usage by workspace. The zero value is empty. It is not safe
	// for concurrent use.
	Account struct {
		usages     map[string]*Usage
		observedAt time.Time
	}
)

// halfLife is the time after which usage counts half. Tasks run for 2 to 11 s: with less,
// a workspace with short tasks would have no credit for the time in which long tasks of
// others kept it waiting, and with more, a burst would be held against its workspace long
// after it has ended.
const halfLife = 4 * time.Second

// Usage returns the usage of a workspace, which the caller may change.
func (a *Account) Usage(workspace string) *Usage {
	u, ok := a.usages[workspace]
	if !ok {
		if a.usages == nil {
			a.usages = make(map[string]*Usage)
		}
		u = new(Usage)
		a.usages[workspace] = u
	}
	return u
}

// Total returns the demand of all tasks that run, may run or are placed.
func (u *Usage) Total() graph.Demand { return u.Occupied.Plus(u.Reserved) }

// Soon returns the demand that remains once the tasks that have been ordered to
// stop have ended.
func (u *Usage) Soon() graph.Demand { return u.Total().Minus(u.Stopping) }

// Observe adds the time since the last call to the usage over time, and drops the
// workspaces that use nothing and have used nothing recently. The first call takes the
// present usage as that of the past, so that no workspace has a history.
func (a *Account) Observe(now time.Time) {
	keep := 0.0
	if elapsed := now.Sub(a.observedAt); !a.observedAt.IsZero() {
		keep = math.Exp2(-max(elapsed, 0).Seconds() / halfLife.Seconds())
	}
	a.observedAt = now
	for _, u := range a.usages {
		u.recent = u.recent.toward(u.Total(), keep)
	}
	maps.DeleteFunc(a.usages, func(_ string, u *Usage) bool { return *u == Usage{} })
}

// toward returns the average of a and the present demand d, in which a has the given part.
func (a Amounts) toward(d graph.Demand, part float64) Amounts {
	// An average below a thousandth counts as nothing, so that it ends.
	const least = 1e-3
	mix := func(average float64, present int64) float64 {
		if mixed := part*average + (1-part)*float64(present); mixed >= least {
			return mixed
		}
		return 0
	}
	return Amounts{mix(a.Millicores, d.Millicores), mix(a.MemoryMiB, d.MemoryMiB), mix(a.Accelerators, d.Accelerators)}
}

// Average returns the mean of the present usage and of the usage over time. The present
// usage answers a start at once, and the usage over time gives a workspace that has had
// less for some seconds, such as beside long tasks of others, more than its share until it
// has caught up.
func (u *Usage) Average() Amounts {
	total := u.Total()
	return Amounts{
		(u.recent.Millicores + float64(total.Millicores)) / 2, (u.recent.MemoryMiB + float64(total.MemoryMiB)) / 2,
		(u.recent.Accelerators + float64(total.Accelerators)) / 2,
	}
}

// Plus returns the amounts after the present usage has changed by d.
func (a Amounts) Plus(d graph.Demand) Amounts {
	return Amounts{a.Millicores + float64(d.Millicores)/2, a.MemoryMiB + float64(d.MemoryMiB)/2, a.Accelerators + float64(d.Accelerators)/2}
}

// Dominant returns the largest part that the amounts have of a resource of the capacity.
func (a Amounts) Dominant(capacity graph.Demand) float64 {
	part := func(used float64, of int64) float64 {
		if of <= 0 {
			return 0
		}
		return used / float64(of)
	}
	return max(part(a.Millicores, capacity.Millicores), part(a.MemoryMiB, capacity.MemoryMiB), part(a.Accelerators, capacity.Accelerators))
}
