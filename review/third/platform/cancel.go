package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// UNASKED: a task runs on stop_ms after cancel_ms after the cancelling of its job was acknowledged,
// with no disruption near but cancelled jobs.
const (
	cancelTime = 3 * time.Second
	// betweenRegions is the time of a packet from one region to the other.
	betweenRegions = 20 * time.Millisecond
	usualTasks     = 180
	// begunTimeout is the time in which all tasks have to begin.
	begunTimeout = 60 * time.Second
)

// playCancel: jobs of small tasks run on a runner of the other region, and are cancelled.
func playCancel(r *record) (bool, error) {
	s, err := startSystem(r, 3, config(), "planner")
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	for i, rack := range []string{"r1", "r1", "r2"} {
		w, err := s.fleet.add(fmt.Sprintf("i-%08x", 0xa1b2c3d0+i), "zone-"+rack, rack, amount{CPU: 64000, Memory: 262144, GPU: 8})
		if err != nil {
			return false, err
		}
		if rack == "r2" {
			w.delay = betweenRegions
		}
	}
	time.Sleep(3 * time.Second)
	// In the burst there are 2.2 times as many tasks.
	jobs := []int{usualTasks}
	if os.Getenv("TROUBLE") != "0" {
		jobs = []int{usualTasks, usualTasks, usualTasks / 5}
	}
	need, total := amount{CPU: 140, Memory: 512}, 0
	for i, tasks := range jobs {
		total += tasks
		if !s.submit(fmt.Sprintf("/normal/%016x", i+1), "key-depot", map[string]any{
			"spec": spec(work{MS: 80000, Need: need}),
			"steps": []any{map[string]any{
				"count": tasks, "cpu": need.CPU, "mem_mb": need.Memory, "estimate_ms": 80000, "requires": "r2",
			}},
		}) {
			return false, fmt.Errorf("a job was not accepted")
		}
	}
	for deadline := time.Now().Add(begunTimeout); s.running() < total; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false, fmt.Errorf("%d of %d tasks have begun", s.running(), total)
		}
	}
	time.Sleep(2 * time.Second)
	acks := make(map[string]time.Time)
	for i := range jobs {
		id := fmt.Sprintf("%016x", i+1)
		if status, _ := s.call(s.instances[i%len(s.instances)], "DELETE", "/normal/"+id, "key-depot", nil); status/100 != 2 {
			return false, fmt.Errorf("a cancel was not acknowledged")
		}
		acks[id] = time.Now()
	}
	time.Sleep(15 * time.Second)
	return s.fleet.checkCancelled(acks), nil
}

// running returns the number of runs under way.
func (s *system) running() int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	n := 0
	for _, w := range s.fleet.runners {
		n += len(w.runs)
	}
	return n
}

// checkCancelled reports whether the tasks of cancelled jobs were gone in time.
func (f *fleet) checkCancelled(acks map[string]time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	late, longest := 0, time.Duration(0)
	for _, x := range f.all {
		id, _, _ := strings.Cut(x.task, ".")
		end := x.ended
		if end.IsZero() {
			end = time.Now()
		}
		after := end.Sub(acks[id])
		longest = max(longest, after)
		if after > cancelTime+stopTime {
			late++
		}
	}
	f.record.add("%d runs; %d of cancelled jobs ran on for over %v after the ack, the longest for %v", len(f.all), late,
		cancelTime+stopTime, longest.Round(time.Millisecond))
	if late > 0 {
		f.record.add("BROKEN UNASKED: %d tasks", late)
	}
	return late == 0
}
