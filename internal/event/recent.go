package event

import (
	"bytes"
	"sync"
)

// Recent is a ring buffer of the last lines of a log, from which operators can
// query the decisions about one job while the instance runs. It is safe for
// concurrent use.
type Recent struct {
	mu    sync.Mutex
	lines [][]byte
	next  int
}

// recentLines is the number of lines that are kept; at 300 bytes a line they
// take little over a megabyte, and a busy leader writes about 100 a second.
const recentLines = 4096

// NewRecent returns an empty buffer.
func NewRecent() *Recent { return &Recent{lines: make([][]byte, recentLines)} }

// Add stores a line in place of the oldest one. The caller must not change the
// line afterwards.
func (r *Recent) Add(line []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines[r.next] = line
	r.next = (r.next + 1) % len(r.lines)
}

// Find returns the lines that have a string value which equals the identifier or
// begins with it, the oldest first.
func (r *Recent) Find(id string) [][]byte {
	r.mu.Lock()
	ordered := append(append([][]byte(nil), r.lines[r.next:]...), r.lines[:r.next]...)
	r.mu.Unlock()
	value := []byte(`:"` + id)
	var found [][]byte
	for _, line := range ordered {
		if bytes.Contains(line, value) {
			found = append(found, line)
		}
	}
	return found
}
