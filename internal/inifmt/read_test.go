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

func source(t testing.TB, name string) Source {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	return Source{File: name, Text: string(b)}
}

func rendered(r *Result) string {
	var b strings.Builder
	for _, o := range r.Origins {
		fmt.Fprintf(&b, "%v = %s (%v)\n", o.Value.Path, o.Value.Text, o.Place)
	}
	return b.String()
}

// TestRead guards against values that an overlay loses or overrides wrongly,
// and against values that name the wrong file.
func TestRead(t *testing.T) {
	r, err := Read(t.Context(), source(t, "base.ini"), source(t, "overlay.ini"))
	assert.NilError(t, err)
	golden.Assert(t, rendered(r), "origins.golden")
	golden.Assert(t, Write(r.Config), "written.golden")
}

// TestReadMistakes guards against mistakes that are not found, or found only
// after others are corrected, and against secrets in messages.
func TestReadMistakes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		sources []Source
	}{
		{"badBase", []Source{source(t, "badBase.ini")}},
		{"badOverlay", []Source{source(t, "base.ini"), source(t, "badOverlay.ini")}},
		{"badBoth", []Source{source(t, "badBase.ini"), source(t, "badOverlay.ini")}},
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

// TestReadEnds guards against a read that outlives its context.
func TestReadEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Read(ctx, source(t, "base.ini"))
	assert.Assert(t, errors.Is(err, context.Canceled))
}
