package inifmt

import (
	"reflect"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// FuzzRead guards against files that make Read panic or fail without a list of
// mistakes, and against configurations that Write does not render in full.
func FuzzRead(f *testing.F) {
	for _, base := range []string{"base.ini", "badBase.ini"} {
		for _, overlay := range []string{"overlay.ini", "badOverlay.ini"} {
			f.Add(source(f, base).Text, source(f, overlay).Text)
		}
	}
	f.Fuzz(func(t *testing.T, base, overlay string) {
		r, err := Read(t.Context(), Source{"base", base}, Source{"overlay", overlay})
		if err != nil {
			var mistakes Mistakes
			assert.Assert(t, errors.As(err, &mistakes) && len(mistakes) > 0, "%v", err)
			return
		}
		again, err := Read(t.Context(), Source{"written", Write(r.Config)})
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(r.Config, again.Config), "%s", Write(r.Config))
	})
}
