package shape

import (
	"math"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestBytesText guards against amounts that change when they are formatted by
// String and parsed by ParseBytes.
func TestBytesText(t *testing.T) {
	for _, tc := range []struct {
		amount Bytes
		want   string
	}{
		{0, "0B"}, {1, "1B"}, {1 << 10, "1KiB"}, {1025, "1025B"}, {512 * MiB, "512MiB"},
		{64 * GiB, "64GiB"}, {1 << 40, "1TiB"}, {-2 * GiB, "-2GiB"}, {math.MinInt64, "-8388608TiB"},
	} {
		assert.Equal(t, tc.amount.String(), tc.want)
		got, err := ParseBytes(tc.want)
		assert.NilError(t, err)
		assert.Equal(t, got, tc.amount)
	}
}

// TestParseBytesRejects guards against accepting amounts that overflow, have
// no unit or are malformed.
func TestParseBytesRejects(t *testing.T) {
	for _, s := range []string{"", "64", "GiB", "64 GiB", "1.5GiB", "64GB", "8388608TiB", "99999999999999999999B"} {
		_, err := ParseBytes(s)
		assert.Assert(t, errors.Is(err, ErrBytes), "%q: %v", s, err)
	}
}
