package main

import (
	"fmt"
	"os"
	"time"
)

// LOST, as in lasting.go, for tasks that last and have not begun: their turn comes with the ack.
const (
	usualWidth = 1000
	burstWidth = 2200
	wideTime   = 45 * time.Second
)

// playWide: a job has 1,000 tasks that last, and 2,200 in the burst. There is room for all.
func playWide(r *record) (bool, error) {
	s, err := startSystem(r, 3, config(), "planner")
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	const runners = 48
	for i := range runners {
		if _, err := s.fleet.add(fmt.Sprintf("i-%08x", 0xa1b2c3d0+i), "zone-a", fmt.Sprintf("r%d", i/8), amount{CPU: 128000, Memory: 262144, GPU: 8}); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	width := burstWidth
	if os.Getenv("TROUBLE") == "0" {
		width = usualWidth
	}
	need := amount{CPU: 500, Memory: 512}
	if !s.submit("/normal/"+lastingJob, "key-depot", map[string]any{
		"spec":  spec(work{Need: need}),
		"steps": []any{map[string]any{"count": width, "cpu": need.CPU, "mem_mb": need.Memory, "long_running": true}},
	}) {
		return false, fmt.Errorf("the job was not accepted")
	}
	acked := time.Now()
	idle, longest := time.Time{}, time.Duration(0)
	for now := time.Now(); now.Sub(acked) < wideTime; now = time.Now() {
		begun, room := s.running(), s.room(need)
		switch {
		case begun == width || room < 2 || now.Sub(acked) < lastingGrace:
			idle = time.Time{}
		case idle.IsZero():
			idle = now
			r.add("%d of %d tasks run, room for %d more", begun, width, room)
		default:
			longest = max(longest, now.Sub(idle))
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.add("%d of %d tasks run at the end; some did not for %v, with room twice over", s.running(), width, longest.Round(time.Millisecond))
	if longest >= lastingWindow {
		r.add("BROKEN LOST")
	}
	return longest < lastingWindow, nil
}

// room returns how often a task with the demand fits on all runners.
func (s *system) room(need amount) int64 {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	n := int64(0)
	for _, w := range s.fleet.runners {
		if w.alive {
			n += w.room(need)
		}
	}
	return n
}
