package quota_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/shape"
	"pgregory.net/rapid"
)

// usedClaim is a job inside a claim.
type usedClaim struct {
	claim int
	shape shape.Shape
	slots []jobs.Slot
}

// propertySeed makes the property tests reproducible.
const propertySeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println("rapid seed", propertySeed)
	os.Exit(m.Run())
}

// TestClaimsFitAfterAnyEnd guards against claims that no longer fit after a job
// that used a claim, or part of one, has ended.
func TestClaimsFitAfterAnyEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free := drawWorkers(t)
		claims := drawClaims(t)
		if !quota.NewReservations(free, claims).AllFit() {
			return
		}
		var gangs []usedClaim
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			r := newReservationsWith(free, claims, gangs)
			if len(gangs) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(gangs)-1).Draw(t, "which")
				gangs = slices.Delete(gangs, i, i+1)
			} else if g, ok := drawStart(t, r, claims); ok {
				gangs = append(gangs, g)
			}
			if !newReservationsWith(free, claims, gangs).AllFit() {
				t.Fatalf("claims %v do not fit beside %v", claims, gangs)
			}
		}
	})
}

func drawWorkers(t *rapid.T) []fleet.Worker {
	var all []fleet.Worker
	for _, s := range workerSpecs(rapid.IntRange(2, 10).Draw(t, "workers"), "ub1") {
		all = append(all, fleet.Worker{Spec: s, Free: s.Capacity})
	}
	return all
}

// drawClaims returns one claim for each workspace, so that a job matches only
// the claim that it was drawn for.
func drawClaims(t *rapid.T) []quota.Claim {
	var claims []quota.Claim
	for i := range rapid.IntRange(1, 3).Draw(t, "claims") {
		claims = append(claims, quota.Claim{
			Workspace: ident.Workspace(fmt.Sprintf("ws%d", i)),
			Shape: shape.Shape{
				Members:   rapid.IntRange(1, 4).Draw(t, "members"),
				Member:    shape.Resources{Accelerators: rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "each")},
				Adjacency: shape.Adjacency(rapid.IntRange(0, 1).Draw(t, "adjacency")),
			},
			Count: rapid.IntRange(1, 2).Draw(t, "count"),
		})
	}
	return claims
}

// drawStart starts a job that uses a claim wholly or in part. It returns false
// if all claims that cover the job are in use.
func drawStart(t *rapid.T, r *quota.Reservations, claims []quota.Claim) (usedClaim, bool) {
	c := rapid.SampledFrom(claims).Draw(t, "claim")
	s := c.Shape
	s.Members = rapid.IntRange(1, s.Members).Draw(t, "jobMembers")
	s.Member.Accelerators = rapid.IntRange(1, s.Member.Accelerators).Draw(t, "jobEach")
	i, ok := r.Match(c.Workspace, s)
	if !ok {
		return usedClaim{}, false
	}
	slots, ok := r.Place(i, s)
	if !ok {
		t.Fatalf("claim %v has no place for %v", c, s)
	}
	if !r.Use(i, s, slots) {
		t.Fatalf("claim %v refuses its own place %v", c, slots)
	}
	return usedClaim{i, s, slots}, true
}

// newReservationsWith returns reservations in which the gangs use their claims.
func newReservationsWith(free []fleet.Worker, claims []quota.Claim, gangs []usedClaim) *quota.Reservations {
	r := quota.NewReservations(free, claims)
	for _, g := range gangs {
		r.Take(g.claim, g.shape, g.slots)
	}
	return r
}

// TestKeeps guards against a placement that fragments the capacity needed by
// the guarantee of another workspace. Both guarantees fit only if the two
// members of the first are on one worker.
func TestKeeps(t *testing.T) {
	var free []fleet.Worker
	for _, s := range workerSpecs(2, "ub1") {
		free = append(free, fleet.Worker{Spec: s, Free: s.Capacity})
	}
	halves := shape.Shape{Members: 2, Member: shape.Resources{Accelerators: 4}}
	whole := shape.Shape{Members: 1, Member: shape.Resources{Accelerators: 8}}
	claims := []quota.Claim{{Workspace: "a", Shape: halves, Count: 1}, {Workspace: "b", Shape: whole, Count: 1}}
	for _, c := range []struct {
		name  string
		slots []jobs.Slot
		want  bool
	}{
		{"together", []jobs.Slot{{Worker: "ub1-0", Members: 2}}, true},
		{"on both workers", []jobs.Slot{{Worker: "ub1-0", Members: 1}, {Worker: "ub1-1", Members: 1}}, false},
	} {
		r := quota.NewReservations(free, claims)
		if got := r.Keeps(0, halves, c.slots); got != c.want {
			t.Errorf("%s: Keeps returns %v", c.name, got)
		}
		if got := r.Use(0, halves, c.slots); got != c.want {
			t.Errorf("%s: Use returns %v", c.name, got)
		}
	}
}
