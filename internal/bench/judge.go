package bench

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	// judge checks the promises from the outside. It uses no code of the
	// packages that it judges, beyond their types and the homes of the
	// configuration.
	judge struct {
		breaches int
		// faults describes the first few breaches.
		faults []string
		// entitled holds since when a job waits for a claim that is due.
		entitled map[*request]time.Time
		blamed   map[*request]bool
	}

	// shelf is a rack: the free accelerators of its workers.
	shelf []int

	// piece is a gang to be packed.
	piece struct {
		members, each int
		adjacency     shape.Adjacency
	}
)

const (
	// claimBound is the time within which a claim must start.
	claimBound = 8 * time.Second
	// packBudget bounds the judge's search. What it cannot show to fit within
	// the budget counts as a breach.
	packBudget = 500000
	maxFaults  = 3
)

func newJudge() *judge {
	return &judge{entitled: make(map[*request]time.Time), blamed: make(map[*request]bool)}
}

func (u *judge) blame(format string, args ...any) {
	u.breaches++
	if len(u.faults) < maxFaults {
		u.faults = append(u.faults, fmt.Sprintf(format, args...))
	}
}

// placed checks that a start was allowed: the domain is in service, no worker
// is overcommitted, and the slots keep the adjacency and hold all members.
func (u *judge) placed(w *world, s *site, g *run) {
	if !s.inService {
		u.blame("%s started in %s, which is out of service", g.job.ID, s.domain)
	}
	g.lent = !u.entitles(w, s, g)
	racks := make(map[string]bool)
	members := 0
	for _, slot := range g.job.Slots {
		i := slices.IndexFunc(s.workers, func(x fleet.Worker) bool { return x.Spec.ID == slot.Worker })
		x := s.workers[i]
		if x.Free.Accelerators < 0 || x.Free.Processors < 0 || x.Free.Memory < 0 || x.Health != fleet.Healthy {
			u.blame("%s overcommits %s at %v", g.job.ID, slot.Worker, w.now.Sub(start))
		}
		racks[string(x.Spec.Rack)] = true
		members += slot.Members
	}
	a := g.job.Spec.Shape.Adjacency
	if members != g.job.Spec.Shape.Members || (a == shape.SameRack && len(racks) > 1) || (a == shape.SameWorker && len(g.job.Slots) > 1) {
		u.blame("%s runs in part or apart: %v", g.job.ID, g.job.Slots)
	}
}

// entitles reports whether a claim is left for g beside the gangs inside
// guarantees and the older jobs that wait for theirs.
func (u *judge) entitles(w *world, s *site, g *run) bool {
	left, _ := u.due(w, s, func(o *run) bool { return o != g })
	for _, q := range s.waiting {
		older := cmp.Or(q.job.Submitted.Compare(g.job.Submitted), strings.Compare(string(q.job.ID), string(g.job.ID))) < 0
		if q.job.Spec.Guaranteed && older {
			useClaim(left, q.job)
		}
	}
	return g.job.Spec.Guaranteed && useClaim(left, g.job)
}

// packs checks that the unused claims of the site fit beside the gangs inside
// guarantees. Gangs that started before the homes changed, or when their
// workspace had no claim left for them, may count as lent.
func (u *judge) packs(w *world, s *site) {
	if !s.inService {
		return
	}
	left, inside := u.due(w, s, func(*run) bool { return true })
	if fits(shelves(s, inside), pieces(left), packBudget) {
		return
	}
	left, inside = u.due(w, s, func(g *run) bool { return !g.lent && g.job.Started.After(w.rehomed) })
	if !fits(shelves(s, inside), pieces(left), packBudget) {
		u.blame("claims of %s do not fit at %v", s.domain, w.now.Sub(start))
	}
}

// due returns the claims of the site that no gang uses, and the gangs that use
// the others. The oldest gangs count first.
func (u *judge) due(w *world, s *site, counts func(*run) bool) ([]quota.Claim, []*run) {
	left := quota.HomesIn(w.config, s.domain)
	gangs := slices.Clone(s.gangs)
	slices.SortStableFunc(gangs, func(a, b *run) int { return a.job.Started.Compare(b.job.Started) })
	var inside []*run
	for _, g := range gangs {
		if g.job.Spec.Guaranteed && g.stops.IsZero() && counts(g) && useClaim(left, g.job) {
			inside = append(inside, g)
		}
	}
	return left, inside
}

// useClaim takes the smallest claim that covers j.
func useClaim(left []quota.Claim, j jobs.Job) bool {
	best := -1
	for i, c := range left {
		g, s := c.Shape, j.Spec.Shape
		near := s.Members == 1 || s.Adjacency <= g.Adjacency
		if c.Count == 0 || c.Workspace != j.Workspace || !near || s.Members > g.Members || !s.Member.Fits(g.Member) {
			continue
		}
		if best < 0 || c.Shape.Total().Accelerators < left[best].Shape.Total().Accelerators {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	left[best].Count--
	return true
}

// waits checks that a claim which is due starts within the bound.
func (u *judge) waits(w *world) {
	due := make(map[*request]bool)
	for _, s := range w.sites {
		if !s.inService {
			continue
		}
		left, _ := u.due(w, s, func(*run) bool { return true })
		var queue []*request
		for _, q := range s.waiting {
			if q.job.Spec.Guaranteed {
				queue = append(queue, q)
			}
		}
		slices.SortStableFunc(queue, func(a, b *request) int { return a.job.Submitted.Compare(b.job.Submitted) })
		for _, q := range queue {
			if useClaim(left, q.job) {
				due[q] = true
				u.check(w, q)
			}
		}
	}
	for q := range u.entitled {
		if !due[q] {
			delete(u.entitled, q)
		}
	}
}

func (u *judge) check(w *world, q *request) {
	since, ok := u.entitled[q]
	if !ok || since.Before(w.rehomed) {
		u.entitled[q] = w.now
		return
	}
	if w.now.Sub(since) > claimBound && !u.blamed[q] {
		u.blamed[q] = true
		u.blame("claim %s/%s %v waits since %v: %s", q.job.Workspace, q.job.ID, q.job.Spec.Shape, since.Sub(start), q.reason)
	}
}

// shelves returns the accelerators that gangs inside guarantees leave.
func shelves(s *site, inside []*run) []shelf {
	var all []shelf
	at := make(map[string]int)
	for _, x := range s.workers {
		if x.Health != fleet.Healthy {
			continue
		}
		free := x.Spec.Capacity.Accelerators
		for _, g := range inside {
			for _, slot := range g.job.Slots {
				if slot.Worker == x.Spec.ID {
					free -= slot.Members * g.job.Spec.Shape.Member.Accelerators
				}
			}
		}
		rack := string(x.Spec.Rack)
		if _, ok := at[rack]; !ok {
			at[rack] = len(all)
			all = append(all, nil)
		}
		all[at[rack]] = append(all[at[rack]], free)
	}
	return all
}

func pieces(claims []quota.Claim) []piece {
	var all []piece
	for _, c := range claims {
		for range c.Count {
			all = append(all, piece{c.Shape.Members, c.Shape.Member.Accelerators, c.Shape.Adjacency})
		}
	}
	slices.SortStableFunc(all, func(a, b piece) int { return b.members*b.each - a.members*a.each })
	return all
}

// fits places the pieces one member after the other, on each worker of each
// rack in turn, and goes back on a dead end.
func fits(racks []shelf, left []piece, budget int) bool {
	steps := budget
	var member func(k, n, rack, from int) bool
	piecesFrom := func(k int) bool {
		if k == len(left) {
			return true
		}
		for r := range racks {
			if member(k, left[k].members, r, 0) {
				return true
			}
			if left[k].adjacency == shape.SameDomain {
				return false
			}
		}
		return false
	}
	member = func(k, n, rack, from int) bool {
		if n == 0 {
			return piecesFrom(k + 1)
		}
		if steps--; steps < 0 {
			return false
		}
		p := left[k]
		for i := from; i < len(racks[rack]); i++ {
			if i > from && racks[rack][i] == racks[rack][i-1] {
				continue
			}
			need, next := p.each, n-1
			if p.adjacency == shape.SameWorker {
				need, next = p.each*n, 0
			}
			if racks[rack][i] < need {
				continue
			}
			racks[rack][i] -= need
			ok := member(k, next, rack, i)
			racks[rack][i] += need
			if ok {
				return true
			}
		}
		return p.adjacency == shape.SameDomain && rack+1 < len(racks) && member(k, n, rack+1, 0)
	}
	return piecesFrom(0)
}
