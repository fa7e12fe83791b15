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

// TestStaleAddress guards against a machine that is counted as two workers,
// because the list still names the worker that had its address before. A gang
// over both would run with only a part of its accelerators.
func TestStaleAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, 2)
		g.stale = map[ident.Worker]ident.Worker{"old": "w0"}
		g.start("i1", 0)
		j := g.submit("a", 2, `{"runFor":"5s","result":"proof"}`)
		g.wait(j.ID, 30*time.Second)
		ran := 0
		for _, w := range g.workers {
			for _, e := range w.Log() {
				if e.Event == worker.EventStarted {
					ran += e.Members
				}
			}
		}
		assert.Equal(t, ran, 2, "started members of a gang of 2")
		j = g.wait(j.ID, 0)
		assert.Equal(t, j.State, jobs.Done)
	})
}
