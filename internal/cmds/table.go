package cmds

import (
	"strings"
	"unicode/utf8"
)

// table is text in columns. The first row holds the headings.
type table [][]string

const columnGap = "  "

// String returns the rows with aligned columns. An empty cell is printed as "-",
// so that programs that split rows at white space find the same number of words
// in each row.
func (t table) String() string {
	widths := make([]int, len(t[0]))
	for _, row := range t {
		for i, cell := range row {
			widths[i] = max(widths[i], 1, utf8.RuneCountInString(cell))
		}
	}
	var b strings.Builder
	for _, row := range t {
		for i, cell := range row {
			if cell == "" {
				cell = "-"
			}
			b.WriteString(cell)
			if i == len(row)-1 {
				b.WriteByte('\n')
				continue
			}
			b.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)) + columnGap)
		}
	}
	return b.String()
}
