package check

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// maxEdits is the number of changed characters up to which a name counts as a
	// misspelling of another. Two cover a swap of two letters.
	maxEdits = 2
	// maxShown is the number of bytes up to which names are shown and compared, so that
	// hostile names take little time and memory.
	maxShown = 64
	// maxCandidates bounds the names that a name is compared with.
	maxCandidates = 100
)

// Clip returns a name in a form that can be shown in a line of text: without control
// characters, and cut if it is long.
func Clip(name string) string {
	if len(name) > maxShown {
		name = strings.ToValidUTF8(name[:maxShown], "") + "..."
	}
	quoted := strconv.Quote(name)
	return quoted[1 : len(quoted)-1]
}

// quote returns a name in quotes, cut if it is long.
func quote(name string) string { return fmt.Sprintf(`"%s"`, Clip(name)) }

// Similar returns the candidate that a name is a likely misspelling of, and whether
// there is one. Names of up to four characters are compared with one edit only.
func Similar(name string, candidates []string) (string, bool) {
	best, limit := "", maxEdits+1
	if len(name) <= 4 {
		limit = maxEdits
	}
	if len(name) > maxShown {
		return "", false
	}
	for _, c := range candidates[:min(len(candidates), maxCandidates)] {
		if gap := len(c) - len(name); gap >= limit || -gap >= limit {
			continue
		}
		if n := edits(name, c); n < limit {
			best, limit = c, n
		}
	}
	return best, best != ""
}

// edits returns the number of bytes to insert, remove or replace to get from a to b.
func edits(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
