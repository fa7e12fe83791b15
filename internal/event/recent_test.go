package event

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/golden"
)

// TestRecent guards against a query for a job that misses the events of its tasks
// or returns events of another job, and against a buffer that grows without
// bound.
func TestRecent(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out)
	l := New(s.Logger())
	l.Write(JobAccepted, "job", "a1")
	l.Write(JobAccepted, "job", "b1")
	l.Write(UnitPlaced, "job", "a1", "worker", "w1")
	l.Write(TaskEnded, "task", "a1.0.0.0", "how", "done")
	l.Write(JobReclaimed, "job", "b1", "for", "a1")
	var b bytes.Buffer
	for _, id := range []string{"a1", "b1", "c1"} {
		fmt.Fprintf(&b, "%s: %d lines\n", id, len(s.Recent.Find(id)))
	}
	for range recentLines {
		l.Write(JobAccepted, "job", "d1")
	}
	fmt.Fprintf(&b, "after %d others: %d lines\n", recentLines, len(s.Recent.Find("a1")))
	s.Close()
	golden.Assert(t, b.String(), "recent.golden")
}
