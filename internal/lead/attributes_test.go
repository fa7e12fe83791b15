package lead

import (
	"context"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"gotest.tools/v3/assert"
)

// TestAttributeNotCopied guards against an attribute of a worker that changes in the
// list while the pool keeps its former value, for each attribute alone.
func TestAttributeNotCopied(t *testing.T) {
	former := pool.Attributes{
		Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "d", Rack: "r",
		Labels: []string{"a", "r"}, Capacity: graph.Demand{Millicores: 1, MemoryMiB: 1, Accelerators: 1},
	}
	next := pool.Attributes{
		Service: "s2", Address: netip.MustParseAddrPort("10.0.0.2:80"), Domain: "d2", Rack: "r2",
		Labels: []string{"b", "r"}, Capacity: graph.Demand{Millicores: 1, MemoryMiB: 1, Accelerators: 2},
	}
	fields := reflect.TypeFor[pool.Attributes]()
	for i := range fields.NumField() {
		t.Run(fields.Field(i).Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				l := newListTerm(ctx)
				l.applyListed(ListedWorker{ID: "w", Attributes: former})
				l.applyEvents(t)
				changed := former
				value := reflect.ValueOf(next).Field(i)
				assert.Assert(t, !reflect.DeepEqual(reflect.ValueOf(former).Field(i).Interface(), value.Interface()),
					"the test does not change the attribute")
				reflect.ValueOf(&changed).Elem().Field(i).Set(value)
				l.applyListed(ListedWorker{ID: "w", Attributes: changed})
				pooled := l.pool.Worker("w")
				assert.Assert(t, pooled.Equal(changed), "%+v, want %+v", pooled.Attributes, changed)
				assert.Assert(t, slices.Contains(l.pool.Rack(changed.Rack), pooled))
				l.applyEvents(t)
				cancel()
				l.goroutines.Wait()
			})
		})
	}
}
