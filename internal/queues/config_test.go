package queues

import (
	"testing"

	"github.com/baobabquay/baobabquay/internal/event"
	"gotest.tools/v3/assert"
)

// TestInstall guards against the replacement of a configuration by an older
// version, which a delayed answer of the store may contain.
func TestInstall(t *testing.T) {
	a := NewActiveConfig(event.Discard())
	assert.Assert(t, a.Current() == nil)
	for _, c := range []struct {
		version int64
		want    bool
		now     int64
	}{{3, true, 3}, {2, false, 3}, {3, false, 3}, {7, true, 7}, {6, false, 7}} {
		assert.Equal(t, a.Install((&Config{Version: c.version}).BuildIndex()), c.want)
		assert.Equal(t, a.Current().Version, c.now)
	}
}

// TestQueue guards against jobs that are assigned to a queue with a shorter
// matching prefix, or to a queue of another host.
func TestQueue(t *testing.T) {
	c := (&Config{Queues: []Queue{
		{Name: "short", Host: "h", Prefix: "/p/"}, {Name: "long", Host: "h", Prefix: "/p/q/"}, {Name: "other", Host: "g", Prefix: "/"},
	}}).BuildIndex()
	for path, want := range map[string]string{"/p/1": "short", "/p/q/1": "long", "/x": ""} {
		q, ok := c.Queue("h", path)
		assert.Equal(t, ok, want != "", path)
		if ok {
			assert.Equal(t, q.Name, want, path)
		}
	}
}

// TestOutOfService guards against a failure domain that stays in or out of
// service after an operator changed it, and against a change of a map that
// OutOfService has returned.
func TestOutOfService(t *testing.T) {
	a := NewActiveConfig(event.Discard())
	before := a.OutOfService()
	a.SetOutOfService("d1", true)
	assert.Assert(t, a.OutOfService()["d1"] && !before["d1"])
	a.SetOutOfService("d1", false)
	assert.Assert(t, !a.OutOfService()["d1"])
}
