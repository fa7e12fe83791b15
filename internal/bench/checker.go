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
	// checker verifies the starts and the guarantees independently of the code
	// under measurement: of those packages it uses only the types and the homes
	// that the configuration assigns.
	checker struct {
		breaches int
		// breachMessages describes the first maxBreachMessages breaches.
		breachMessages []string
		// dueSince is the time since which each waiting job has had an unused
		// claim. It starts anew when homes are assigned.
		dueSince map[*request]time.Time
		// reported holds the jobs whose wait was counted as a breach.
		reported map[*request]bool
	}

	// rackFree holds the free accelerators of each worker of a rack.
	rackFree []int

	// packItem is the shape of a gang to be packed.
	packItem struct {
		members, acceleratorsEach int
		adjacency                 shape.Adjacency
	}
)

const (
	// maxClaimWait is the time within which a job with an unused claim must
	// start.
	maxClaimWait = 8 * time.Second
	// packBudget bounds the steps of the packing search. Claims for which it
	// finds no packing within the budget count as a breach.
	packBudget        = 500000
	maxBreachMessages = 3
)

func newChecker() *checker {
	return &checker{dueSince: make(map[*request]time.Time), reported: make(map[*request]bool)}
}

func (c *checker) addBreach(format string, args ...any) {
	c.breaches++
	if len(c.breachMessages) < maxBreachMessages {
		c.breachMessages = append(c.breachMessages, fmt.Sprintf(format, args...))
	}
}

// checkStart checks that a gang was allowed to start: the domain is in service,
// no worker is overcommitted or unhealthy, and the slots satisfy the adjacency
// and hold all members.
func (c *checker) checkStart(sim *simulation, s *shard, g *gang) {
	if !s.inService {
		c.addBreach("job %s started in domain %s, which is out of service", g.job.ID, s.domain)
	}
	g.startedWithoutClaim = !c.hasClaim(sim, s, g)
	racks := make(map[string]bool)
	members := 0
	for _, slot := range g.job.Slots {
		i := slices.IndexFunc(s.workers, func(x fleet.Worker) bool { return x.Spec.ID == slot.Worker })
		x := s.workers[i]
		if x.Free.Accelerators < 0 || x.Free.Processors < 0 || x.Free.Memory < 0 || x.Health != fleet.Healthy {
			c.addBreach("job %s started on overcommitted or unhealthy worker %s at %v", g.job.ID, slot.Worker, sim.now.Sub(start))
		}
		racks[string(x.Spec.Rack)] = true
		members += slot.Members
	}
	adjacency := g.job.Spec.Shape.Adjacency
	if members != g.job.Spec.Shape.Members || (adjacency == shape.SameRack && len(racks) > 1) || (adjacency == shape.SameWorker && len(g.job.Slots) > 1) {
		c.addBreach("slots of job %s lack members or violate the adjacency: %v", g.job.ID, g.job.Slots)
	}
}

// hasClaim reports whether a claim is left for g after the other gangs and the
// older waiting jobs have taken theirs.
func (c *checker) hasClaim(sim *simulation, s *shard, g *gang) bool {
	unused, _ := c.matchClaims(sim, s, func(o *gang) bool { return o != g })
	for _, q := range s.waiting {
		older := cmp.Or(q.job.Submitted.Compare(g.job.Submitted), strings.Compare(string(q.job.ID), string(g.job.ID))) < 0
		if q.job.Spec.Guaranteed && older {
			useClaim(unused, q.job)
		}
	}
	return g.job.Spec.Guaranteed && useClaim(unused, g.job)
}

// checkClaimsFit checks that the unused claims of the shard fit beside the gangs
// that use a claim; the capacity of all other gangs can be reclaimed. If they do
// not fit, gangs that started before the homes were last assigned, or without a
// claim left for them, are taken as reclaimable too.
func (c *checker) checkClaimsFit(sim *simulation, s *shard) {
	if !s.inService {
		return
	}
	unused, covered := c.matchClaims(sim, s, func(*gang) bool { return true })
	if fits(freeByRack(s, covered), packItems(unused), packBudget) {
		return
	}
	unused, covered = c.matchClaims(sim, s, func(g *gang) bool { return !g.startedWithoutClaim && g.job.Started.After(sim.homesAssigned) })
	if !fits(freeByRack(s, covered), packItems(unused), packBudget) {
		c.addBreach("unused claims of domain %s do not fit at %v", s.domain, sim.now.Sub(start))
	}
}

// matchClaims matches the guaranteed gangs that are not being reclaimed, and for
// which include returns true, with the claims of the shard, the oldest gangs first.
// It returns the claims that remain unused and the gangs that use the others.
func (c *checker) matchClaims(sim *simulation, s *shard, include func(*gang) bool) ([]quota.Claim, []*gang) {
	unused := quota.HomesIn(sim.config, s.domain)
	gangs := slices.Clone(s.gangs)
	slices.SortStableFunc(gangs, func(a, b *gang) int { return a.job.Started.Compare(b.job.Started) })
	var covered []*gang
	for _, g := range gangs {
		if g.job.Spec.Guaranteed && g.stopsAt.IsZero() && include(g) && useClaim(unused, g.job) {
			covered = append(covered, g)
		}
	}
	return unused, covered
}

// useClaim uses the smallest claim that covers j and reports whether there is
// one.
func useClaim(unused []quota.Claim, j jobs.Job) bool {
	best := -1
	for i, c := range unused {
		g, s := c.Shape, j.Spec.Shape
		adjacent := s.Members == 1 || s.Adjacency <= g.Adjacency
		if c.Count == 0 || c.Workspace != j.Workspace || !adjacent || s.Members > g.Members || !s.Member.Fits(g.Member) {
			continue
		}
		if best < 0 || c.Shape.Total().Accelerators < unused[best].Shape.Total().Accelerators {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	unused[best].Count--
	return true
}

// checkWaits checks that each job with an unused claim starts within
// maxClaimWait.
func (c *checker) checkWaits(sim *simulation) {
	due := make(map[*request]bool)
	for _, s := range sim.shards {
		if !s.inService {
			continue
		}
		unused, _ := c.matchClaims(sim, s, func(*gang) bool { return true })
		var queue []*request
		for _, q := range s.waiting {
			if q.job.Spec.Guaranteed {
				queue = append(queue, q)
			}
		}
		slices.SortStableFunc(queue, func(a, b *request) int { return a.job.Submitted.Compare(b.job.Submitted) })
		for _, q := range queue {
			if useClaim(unused, q.job) {
				due[q] = true
				c.checkWait(sim, q)
			}
		}
	}
	for q := range c.dueSince {
		if !due[q] {
			delete(c.dueSince, q)
		}
	}
}

func (c *checker) checkWait(sim *simulation, q *request) {
	since, ok := c.dueSince[q]
	if !ok || since.Before(sim.homesAssigned) {
		c.dueSince[q] = sim.now
		return
	}
	if sim.now.Sub(since) > maxClaimWait && !c.reported[q] {
		c.reported[q] = true
		c.addBreach("guaranteed job %s/%s %v has waited for its unused claim since %v: %s", q.job.Workspace, q.job.ID, q.job.Spec.Shape, since.Sub(start), q.waitReason)
	}
}

// freeByRack returns the accelerators of the healthy workers that are not used by
// the covered gangs.
func freeByRack(s *shard, covered []*gang) []rackFree {
	var all []rackFree
	index := make(map[string]int)
	for _, x := range s.workers {
		if x.Health != fleet.Healthy {
			continue
		}
		free := x.Spec.Capacity.Accelerators
		for _, g := range covered {
			for _, slot := range g.job.Slots {
				if slot.Worker == x.Spec.ID {
					free -= slot.Members * g.job.Spec.Shape.Member.Accelerators
				}
			}
		}
		rack := string(x.Spec.Rack)
		if _, ok := index[rack]; !ok {
			index[rack] = len(all)
			all = append(all, nil)
		}
		all[index[rack]] = append(all[index[rack]], free)
	}
	return all
}

// packItems returns an item for each gang of the claims, the largest first.
func packItems(claims []quota.Claim) []packItem {
	var all []packItem
	for _, c := range claims {
		for range c.Count {
			all = append(all, packItem{c.Shape.Members, c.Shape.Member.Accelerators, c.Shape.Adjacency})
		}
	}
	slices.SortStableFunc(all, func(a, b packItem) int { return b.members*b.acceleratorsEach - a.members*a.acceleratorsEach })
	return all
}

// fits reports whether the items can be packed together. It is a backtracking
// search that places one member after the other and tries each worker of each
// rack in turn. It reports false when the budget of steps is used up.
func fits(racks []rackFree, items []packItem, budget int) bool {
	stepsLeft := budget
	// placeMembers places n members of item k on the rack, starting at the
	// worker with the index from, and then the items after k.
	var placeMembers func(k, n, rack, from int) bool
	placeItem := func(k int) bool {
		if k == len(items) {
			return true
		}
		for r := range racks {
			if placeMembers(k, items[k].members, r, 0) {
				return true
			}
			if items[k].adjacency == shape.SameDomain {
				return false
			}
		}
		return false
	}
	placeMembers = func(k, n, rack, from int) bool {
		if n == 0 {
			return placeItem(k + 1)
		}
		if stepsLeft--; stepsLeft < 0 {
			return false
		}
		item := items[k]
		for i := from; i < len(racks[rack]); i++ {
			if i > from && racks[rack][i] == racks[rack][i-1] {
				continue
			}
			need, next := item.acceleratorsEach, n-1
			if item.adjacency == shape.SameWorker {
				need, next = item.acceleratorsEach*n, 0
			}
			if racks[rack][i] < need {
				continue
			}
			racks[rack][i] -= need
			ok := placeMembers(k, next, rack, i)
			racks[rack][i] += need
			if ok {
				return true
			}
		}
		return item.adjacency == shape.SameDomain && rack+1 < len(racks) && placeMembers(k, n, rack+1, 0)
	}
	return placeItem(0)
}
