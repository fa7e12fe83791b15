package worker

import (
	"cmp"
	"strings"
)

// compareAttempts orders attempts by workspace, job and number.
func compareAttempts(x, y Attempt) int {
	return cmp.Or(
		strings.Compare(string(x.Workspace), string(y.Workspace)),
		strings.Compare(string(x.Job), string(y.Job)),
		cmp.Compare(x.Number, y.Number),
	)
}
