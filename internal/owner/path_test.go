package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestPath runs a gang from its submission to its result, and through the
// failures of the parts on the way. Each case guards against a gang that runs
// in part, starts twice at once, or is lost.
func TestPath(t *testing.T) {
	tests := []struct {
		name string
		run  func(g *rig) []jobs.Job
	}{
		{"whole", func(g *rig) []jobs.Job {
			g.start("i1", 0)
			j := g.submit("a", 3, `{"runFor":"5s","result":"proof"}`)
			return []jobs.Job{g.wait(j.ID, 20*time.Second)}
		}},
		{"ownerDies", func(g *rig) []jobs.Job {
			first := g.start("i1", 0)
			g.start("i2", 1)
			j := g.submit("a", 3, `{"runFor":"30s","result":"proof"}`)
			time.Sleep(5 * time.Second)
			first.cancel()
			return []jobs.Job{g.wait(j.ID, 60*time.Second)}
		}},
		{"workerSilent", func(g *rig) []jobs.Job {
			g.start("i1", 0)
			j := g.submit("a", 3, `{"runFor":"30s","result":"proof"}`)
			time.Sleep(5 * time.Second)
			g.workers[0].Faults.Set(fakes.Fault{Kind: fakes.Down})
			return []jobs.Job{g.wait(j.ID, 90*time.Second)}
		}},
		{"taskFails", func(g *rig) []jobs.Job {
			g.start("i1", 0)
			j := g.submit("a", 1, `{"runFor":"30s","failAfter":"1s","detail":"bad font"}`)
			return []jobs.Job{g.wait(j.ID, 60*time.Second)}
		}},
		{"storeDown", func(g *rig) []jobs.Job {
			g.start("i1", 0)
			j := g.submit("a", 3, `{"runFor":"30s","result":"proof"}`)
			time.Sleep(5 * time.Second)
			g.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
			time.Sleep(30 * time.Minute)
			g.table.Faults.Clear()
			return []jobs.Job{g.wait(j.ID, 20*time.Second)}
		}},
		{"answersLost", func(g *rig) []jobs.Job {
			g.start("i1", 0)
			time.Sleep(2 * time.Second)
			g.table.Faults.Set(fakes.Fault{Kind: fakes.Lost, Next: 3})
			j := g.submit("a", 3, `{"runFor":"5s","result":"proof"}`)
			return []jobs.Job{g.wait(j.ID, 60*time.Second)}
		}},
		{"reserveLost", func(g *rig) []jobs.Job {
			// A reservation that fails ends the attempt on the other workers,
			// which then refuse its number for good.
			g.start("i1", 0)
			g.workers[1].Faults.Set(fakes.Fault{Kind: fakes.Down, Next: 1})
			j := g.submit("a", 3, `{"runFor":"5s","result":"proof"}`)
			return []jobs.Job{g.wait(j.ID, 60*time.Second)}
		}},
		{"reserveLostOwnerDies", func(g *rig) []jobs.Job {
			// The next owner does not know which numbers were aborted.
			first := g.start("i1", 0)
			g.start("i2", 1)
			g.workers[1].Faults.Set(fakes.Fault{Kind: fakes.Down, Next: 1})
			j := g.submit("a", 3, `{"runFor":"5s","result":"proof"}`)
			time.Sleep(650 * time.Millisecond)
			first.cancel()
			return []jobs.Job{g.wait(j.ID, 60*time.Second)}
		}},
		{"badWorker", func(g *rig) []jobs.Job {
			g.start("i1", 0)
			g.workers[0].FailAll(true)
			var ended []jobs.Job
			for _, id := range []ident.Request{"a", "b", "c", "d", "e"} {
				j := g.submit(id, 1, `{"runFor":"3s","result":"proof"}`)
				ended = append(ended, g.wait(j.ID, 30*time.Second))
			}
			return ended
		}},
		{"cancelled", func(g *rig) []jobs.Job {
			g.start("i1", 0)
			j := g.submit("a", 3, `{"runFor":"1h"}`)
			time.Sleep(5 * time.Second)
			_, err := g.intake.Cancel(g.t.Context(), workspace, j.ID)
			assert.NilError(g.t, err)
			return []jobs.Job{g.wait(j.ID, 20*time.Second)}
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newRig(t, 4)
				ended := tc.run(g)
				golden.Assert(t, g.history(ended...), tc.name+".golden")
			})
		})
	}
}
