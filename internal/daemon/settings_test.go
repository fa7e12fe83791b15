package daemon

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/inifmt"
)

// TestSettings guards against a mistake in a settings file that is not reported
// or that hides other mistakes.
func TestSettings(t *testing.T) {
	b, err := os.ReadFile("testdata/settings.txt")
	assert.NilError(t, err)
	var all strings.Builder
	for block := range strings.SplitSeq(string(b), "---\n") {
		file, text, _ := strings.Cut(block, "\n")
		s, mistakes := parseSettings(file, text)
		if len(mistakes) > 0 {
			fmt.Fprintf(&all, "%v\n\n", mistakes)
			continue
		}
		fmt.Fprintf(&all, "%s: %+v\n\n", file, s)
	}
	golden.Assert(t, all.String(), "settings.golden")
}

// TestReadSettings guards against errors that callers cannot match with
// errors.Is and errors.As.
func TestReadSettings(t *testing.T) {
	_, err := ReadSettings(filepath.Join(t.TempDir(), "absent.ini"))
	assert.ErrorIs(t, err, os.ErrNotExist)
	_, err = ReadSettings("testdata/settings.txt")
	assert.ErrorIs(t, err, ErrSettings)
	var mistakes inifmt.Mistakes
	assert.Assert(t, errors.As(err, &mistakes))
}
