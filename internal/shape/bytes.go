package shape

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// unit is a suffix of an amount of memory and its size.
type unit struct {
	suffix string
	size   Bytes
}

var (
	// ErrBytes is wrapped by the errors of ParseBytes.
	ErrBytes = errors.New("malformed amount of memory")

	// units is sorted from large to small, so that String uses the largest
	// unit that divides the amount. B is last because ParseBytes compares
	// suffixes in this order and the other units end in B as well.
	units = []unit{{"TiB", 1 << 40}, {"GiB", GiB}, {"MiB", MiB}, {"KiB", 1 << 10}, {"B", 1}}
)

// String returns the amount as a multiple of the largest unit that divides it,
// such as "64GiB". ParseBytes parses this form.
func (b Bytes) String() string {
	for _, u := range units {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.suffix
		}
	}
	return "0B"
}

// ParseBytes parses an integer followed by one of the units B, KiB, MiB, GiB
// and TiB.
func ParseBytes(s string) (Bytes, error) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%q: %w", s, ErrBytes)
		}
		if n > math.MaxInt64/int64(u.size) || n < math.MinInt64/int64(u.size) {
			return 0, fmt.Errorf("%q is too large: %w", s, ErrBytes)
		}
		return Bytes(n) * u.size, nil
	}
	return 0, fmt.Errorf("%q has no unit, want one of B, KiB, MiB, GiB and TiB: %w", s, ErrBytes)
}
