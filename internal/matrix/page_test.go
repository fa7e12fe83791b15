package matrix

import (
	"fmt"
	"strings"
)

// MinCells is the minimum number of cells of the whole matrix.
const MinCells = 250

const pageHead = `# Fault matrix

This page is written by ` + "`make matrix`" + ` from the results of the cells, with ` + "`-update`" + `, and compared with
them on every other run. A cell runs the same script of callers and operators on a small site; its
faults begin at the first call that performs the step. "then" means that the second fault begins
after the first has ended, "with" that both begin together. The promises are P1 to P9 of the design
page, and Jobs: no accepted job is lost or ends twice.

`

// Line returns the name of the cell, its unreached faults and its breaches in
// one line.
func (r Result) Line() string {
	parts := []string{r.Cell.Name()}
	for _, f := range r.Unreached {
		parts = append(parts, "unreached: "+f)
	}
	for _, b := range r.Breaches {
		parts = append(parts, b.Promise+": "+b.Detail)
	}
	return strings.Join(parts, "; ")
}

// Page returns the results as the Markdown page docs/fault-matrix.md.
func Page(seed uint64, results []Result) string {
	var b strings.Builder
	b.WriteString(pageHead)
	fmt.Fprintf(&b, "Seed %d, %d cells.\n\n", seed, len(results))
	b.WriteString("| step | faults | outcome of the script's jobs | promises |\n| --- | --- | --- | --- |\n")
	for _, r := range results {
		step, faults, _ := strings.Cut(r.Cell.Name(), "/")
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", step, faults, r.Outcome, r.promiseSummary())
	}
	return b.String()
}

// promiseSummary returns "held", or the broken promises and unreached faults.
func (r Result) promiseSummary() string {
	var problems []string
	seen := make(map[string]bool)
	for _, br := range r.Breaches {
		if !seen[br.Promise] {
			problems = append(problems, br.Promise+" broken")
		}
		seen[br.Promise] = true
	}
	for _, f := range r.Unreached {
		problems = append(problems, f+" unreached")
	}
	if len(problems) == 0 {
		return "held"
	}
	return strings.Join(problems, ", ")
}
