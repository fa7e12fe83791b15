package inifmt

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// readSource returns a file in testdata.
func readSource(t testing.TB, name string) Source {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	return Source{File: name, Text: string(b)}
}

// renderOrigins returns one line for each value, with its position.
func renderOrigins(r *Result) string {
	var b strings.Builder
	for _, o := range r.Origins {
		fmt.Fprintf(&b, "%v = %s (%v)\n", o.Value.Path, o.Value.Text, o.Position)
	}
	return b.String()
}

// TestRead guards against values that overlays lose or override wrongly, and
// against origins that name the wrong file or line.
func TestRead(t *testing.T) {
	r, err := Read(t.Context(), readSource(t, "base.ini"), readSource(t, "overlay.ini"))
	assert.NilError(t, err)
	golden.Assert(t, renderOrigins(r), "origins.golden")
	golden.Assert(t, Write(r.Config), "written.golden")
}

// TestReadMistakes guards against mistakes that are not reported, or reported
// only after others are corrected, and against plain keys in messages.
func TestReadMistakes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		sources []Source
	}{
		{"badBase", []Source{readSource(t, "badBase.ini")}},
		{"badOverlay", []Source{readSource(t, "base.ini"), readSource(t, "badOverlay.ini")}},
		{"badBoth", []Source{readSource(t, "badBase.ini"), readSource(t, "badOverlay.ini")}},
		{"binary", []Source{{"binary.ini", "[site]\nname = \xff"}}},
		{"empty", []Source{{"empty.ini", "\ufeff\ufeff"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Read(t.Context(), tc.sources[0], tc.sources[1:]...)
			var mistakes Mistakes
			assert.Assert(t, errors.As(err, &mistakes), "%v", err)
			assert.Assert(t, !strings.Contains(err.Error(), "plainSecretKey"))
			golden.Assert(t, mistakes.Error()+"\n", tc.name+".golden")
		})
	}
}

// TestReadCancelled guards against a Read that continues after its context is
// cancelled.
func TestReadCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Read(ctx, readSource(t, "base.ini"))
	assert.Assert(t, errors.Is(err, context.Canceled))
}
