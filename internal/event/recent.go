package event

import (
	"bytes"
	"sync"
)

// Recent keeps the last lines of a log, so that operators can ask a running
// instance for the decisions about one job. It is safe for concurrent use.
type Recent struct {
	mu    sync.Mutex
	lines [][]byte
	next  int
}

// recentLines is the number of lines that are kept; at 300 bytes a line they
// take little over a megabyte, and a busy leader writes about 100 a second.
const recentLines = 4096

// NewRecent returns an empty log.
func NewRecent() *Recent { return &Recent{lines: make([][]byte, recentLines)} }

// Add keeps a line, which the caller must not change any more, in place of the
// oldest one.
func (r *Recent) Add(line []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines[r.next] = line
	r.next = (r.next + 1) % len(r.lines)
}

// Find returns the lines in which a value is or begins with the identifier,
// the oldest first.
func (r *Recent) Find(id string) [][]byte {
	r.mu.Lock()
	kept := append(append([][]byte(nil), r.lines[r.next:]...), r.lines[:r.next]...)
	r.mu.Unlock()
	value := []byte(`:"` + id)
	var found [][]byte
	for _, line := range kept {
		if bytes.Contains(line, value) {
			found = append(found, line)
		}
	}
	return found
}
