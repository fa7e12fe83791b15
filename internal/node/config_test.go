package node

import (
	"testing"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/queues"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/tree"
	"github.com/baobabquay/baobabquay/platform"
	"gotest.tools/v3/assert"
)

// TestUndecodedConfiguration guards against a version of the configuration that cannot
// be decoded and takes the one in force, or the next one, out of force.
func TestUndecodedConfiguration(t *testing.T) {
	in := &instance{log: event.Discard(), queues: queues.NewActiveConfig(event.Discard()), operatorRows: tree.NewCopy()}
	apply := func(version int64, value string, snapshot bool) {
		row := store.Row{Key: platform.OperatorTable + "/config", Version: version, Value: []byte(value)}
		in.applyOperatorRows(store.Changes{Rows: []store.Change{{Row: row}}, Version: version}, snapshot)
	}
	apply(1, `{"version":1,"tenants":[{"name":"north","api_keys":["key"]}]}`, true)
	for i, odd := range []string{`{"version":2,"tenants":[{"name":7}]}`, `{"version":"2"}`, "\xff", ""} {
		apply(int64(2+2*i), odd, i%2 == 0)
		assert.Equal(t, in.queues.Current().Version, int64(1), "after %q", odd)
		_, known := in.queues.Current().Workspace("key")
		assert.Assert(t, known)
	}
	apply(20, `{"version":3}`, false)
	assert.Equal(t, in.queues.Current().Version, int64(3))
	apply(10, `{"version":1}`, true)
	assert.Equal(t, in.queues.Current().Version, int64(3), "an older version is in force again")
}
