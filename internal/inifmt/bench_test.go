package inifmt

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/keys"
)

// largeConfig returns a configuration with n additional workspaces, each with
// its own key and one guarantee.
func largeConfig(t testing.TB, n int) *config.Config {
	t.Helper()
	r, err := Read(t.Context(), readSource(t, "base.ini"))
	assert.NilError(t, err)
	template := r.Config.Workspaces[0]
	for i := range n {
		w := template
		w.Name = ident.Workspace(fmt.Sprintf("team%d", i))
		h, err := keys.ParseHash(fmt.Sprintf("sha256:%032x:%064x", 1000+i, i))
		assert.NilError(t, err)
		w.Keys = []keys.Hash{h}
		r.Config.Workspaces = append(r.Config.Workspaces, w)
	}
	return r.Config
}

// TestWriteWorkspaces250 guards against values that are lost in a round trip
// through Write and Read with 250 workspaces, the number that is expected within
// two years.
func TestWriteWorkspaces250(t *testing.T) {
	c := largeConfig(t, 250)
	again, err := Read(t.Context(), Source{"written", Write(c)})
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Config.Values(), c.Values())
}

func BenchmarkReadWorkspaces250(b *testing.B) {
	src := Source{"written", Write(largeConfig(b, 250))}
	b.SetBytes(int64(len(src.Text)))
	for b.Loop() {
		if _, err := Read(b.Context(), src); err != nil {
			b.Fatal(err)
		}
	}
}
