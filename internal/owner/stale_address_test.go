package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/worker"
	"gotest.tools/v3/assert"
)

// TestStaleAddress guards against one worker that is counted twice because the
// platform still lists the worker that had its address before. A gang placed on
// both would run with only some of its accelerators.
func TestStaleAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		f.staleListings = map[ident.Worker]ident.Worker{"old": "w0"}
		f.startInstance("i1", 0)
		j := f.submitJob("a", 2, `{"runFor":"5s","result":"proof"}`)
		f.waitForJob(j.ID, 30*time.Second)
		ran := 0
		for _, w := range f.workers {
			for _, e := range w.Log() {
				if e.Event == worker.EventStarted {
					ran += e.Members
				}
			}
		}
		assert.Equal(t, ran, 2, "started members of a gang of 2")
		j = f.waitForJob(j.ID, 0)
		assert.Equal(t, j.State, jobs.Done)
	})
}
