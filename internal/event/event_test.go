package event

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestCatalogue guards against an event that is missing from docs/events.md, or
// whose number or meaning differs from that page.
func TestCatalogue(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Log events\n\nEach line of the log that reports a decision has the key `event` with one of these numbers.\n")
	b.WriteString("A number never changes its meaning.\n\n| number | name | meaning |\n| --- | --- | --- |\n")
	seen := make(map[ID]bool)
	last := ID(0)
	for _, e := range Catalogue() {
		assert.Assert(t, !seen[e.ID], "number %d is listed twice", e.ID)
		assert.Assert(t, e.ID > last, "number %d is out of order", e.ID)
		seen[e.ID], last = true, e.ID
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.ID, e.Name, e.Meaning)
	}
	// The page docs/events.md itself is the golden file.
	golden.Assert(t, b.String(), "../../../docs/events.md")
}

// TestSinkDrops guards against logging that blocks while the output accepts no
// lines, and against lines that are dropped without an event.
func TestSinkDrops(t *testing.T) {
	r, w := io.Pipe()
	s := NewSink(w)
	log := New(s.Logger())
	for range 2 * maxQueuedLines {
		log.Write(JobSeen)
	}
	got := make(chan string)
	go func() {
		b, err := io.ReadAll(r)
		if err != nil {
			b = []byte(err.Error())
		}
		got <- string(b)
	}()
	s.Close()
	assert.NilError(t, w.Close())
	text := <-got
	assert.Assert(t, strings.Count(text, `"jobSeen"`) >= maxQueuedLines)
	assert.Assert(t, strings.Contains(text, `"linesDropped"`))
}
