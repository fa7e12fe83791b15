package shape

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// unit is a suffix of amounts of memory.
type unit struct {
	suffix string
	size   Bytes
}

var (
	// ErrBytes is wrapped by the errors of ParseBytes.
	ErrBytes = errors.New("malformed amount of memory")

	// units are sorted from large to small, so that String takes the largest
	// one that divides the amount. B is last because all others end in it.
	units = []unit{{"TiB", 1 << 40}, {"GiB", GiB}, {"MiB", MiB}, {"KiB", 1 << 10}, {"B", 1}}
)

// String returns the amount in the largest unit that divides it, such as
// "64GiB". ParseBytes reads this form.
func (b Bytes) String() string {
	for _, u := range units {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.suffix
		}
	}
	return "0B"
}

// ParseBytes returns the amount that s gives as a whole number and one of the
// units B, KiB, MiB, GiB and TiB.
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
	return 0, fmt.Errorf("%q has none of the units B, KiB, MiB, GiB and TiB: %w", s, ErrBytes)
}
