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

// TestJobPath runs gangs from submission to the final state, without faults and with
// failures of the owner, the store, the workers and single calls. Each case
// guards against a gang that runs with only some of its members, runs twice at
// the same time, or is lost.
func TestJobPath(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *fixture) []jobs.Job
	}{
		{"noFaults", func(f *fixture) []jobs.Job {
			f.startInstance("i1", 0)
			j := f.submitJob("a", 3, `{"runFor":"5s","result":"proof"}`)
			return []jobs.Job{f.waitForJob(j.ID, 20*time.Second)}
		}},
		{"ownerCrashes", func(f *fixture) []jobs.Job {
			first := f.startInstance("i1", 0)
			f.startInstance("i2", 1)
			j := f.submitJob("a", 3, `{"runFor":"30s","result":"proof"}`)
			time.Sleep(5 * time.Second)
			first.cancel()
			return []jobs.Job{f.waitForJob(j.ID, 60*time.Second)}
		}},
		{"workerSilent", func(f *fixture) []jobs.Job {
			f.startInstance("i1", 0)
			j := f.submitJob("a", 3, `{"runFor":"30s","result":"proof"}`)
			time.Sleep(5 * time.Second)
			f.workers[0].Faults.Set(fakes.Fault{Kind: fakes.Down})
			return []jobs.Job{f.waitForJob(j.ID, 90*time.Second)}
		}},
		{"taskFails", func(f *fixture) []jobs.Job {
			f.startInstance("i1", 0)
			j := f.submitJob("a", 1, `{"runFor":"30s","failAfter":"1s","detail":"bad font"}`)
			return []jobs.Job{f.waitForJob(j.ID, 60*time.Second)}
		}},
		{"storeDown", func(f *fixture) []jobs.Job {
			f.startInstance("i1", 0)
			j := f.submitJob("a", 3, `{"runFor":"30s","result":"proof"}`)
			time.Sleep(5 * time.Second)
			f.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
			time.Sleep(30 * time.Minute)
			f.table.Faults.Clear()
			return []jobs.Job{f.waitForJob(j.ID, 20*time.Second)}
		}},
		{"answersLost", func(f *fixture) []jobs.Job {
			f.startInstance("i1", 0)
			time.Sleep(2 * time.Second)
			f.table.Faults.Set(fakes.Fault{Kind: fakes.Lost, Next: 3})
			j := f.submitJob("a", 3, `{"runFor":"5s","result":"proof"}`)
			return []jobs.Job{f.waitForJob(j.ID, 60*time.Second)}
		}},
		{"reserveLost", func(f *fixture) []jobs.Job {
			// A failed reservation aborts the attempt on the other workers.
			// They refuse its number from then on.
			f.startInstance("i1", 0)
			f.workers[1].Faults.Set(fakes.Fault{Kind: fakes.Down, Next: 1})
			j := f.submitJob("a", 3, `{"runFor":"5s","result":"proof"}`)
			return []jobs.Job{f.waitForJob(j.ID, 60*time.Second)}
		}},
		{"reserveLostOwnerCrashes", func(f *fixture) []jobs.Job {
			// The next owner does not know the aborted attempt numbers.
			first := f.startInstance("i1", 0)
			f.startInstance("i2", 1)
			f.workers[1].Faults.Set(fakes.Fault{Kind: fakes.Down, Next: 1})
			j := f.submitJob("a", 3, `{"runFor":"5s","result":"proof"}`)
			time.Sleep(650 * time.Millisecond)
			first.cancel()
			return []jobs.Job{f.waitForJob(j.ID, 60*time.Second)}
		}},
		{"faultyWorker", func(f *fixture) []jobs.Job {
			f.startInstance("i1", 0)
			f.workers[0].FailAll(true)
			var ended []jobs.Job
			for _, id := range []ident.Request{"a", "b", "c", "d", "e"} {
				j := f.submitJob(id, 1, `{"runFor":"3s","result":"proof"}`)
				ended = append(ended, f.waitForJob(j.ID, 30*time.Second))
			}
			return ended
		}},
		{"cancelled", func(f *fixture) []jobs.Job {
			f.startInstance("i1", 0)
			j := f.submitJob("a", 3, `{"runFor":"1h"}`)
			time.Sleep(5 * time.Second)
			_, err := f.intake.Cancel(f.t.Context(), workspace, j.ID)
			assert.NilError(f.t, err)
			return []jobs.Job{f.waitForJob(j.ID, 20*time.Second)}
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 4)
				ended := tc.run(f)
				golden.Assert(t, f.history(ended...), tc.name+".golden")
			})
		})
	}
}
