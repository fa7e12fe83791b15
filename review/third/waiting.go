//go:build review3

package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// MIXED: an instance gives as waiting under half of the jobs without times that were accepted over
// visible_ms + 2 s before and have not begun.
const (
	visibleTime  = 3 * time.Second
	countAge     = 2 * time.Second
	unhealthyFor = 6500 * time.Millisecond
	waitingJobs  = 8
	countRunners = 12
)

// playWaiting: all runners are full. One of them becomes unhealthy, and then its task ends. Jobs that
// wait are started there, and all starts get 503.
func playWaiting(r *record) (bool, error) {
	s, err := startSystem(r, 3, config(), "planner")
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	for i := range countRunners {
		if _, err := s.fleet.add(fmt.Sprintf("i-%08x", 0xa1b2c3d0+i), "zone-a", fmt.Sprintf("r%d", i/8), amount{CPU: 64000, Memory: 262144, GPU: 8}); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	large, small := amount{CPU: 32000, Memory: 65536, GPU: 8}, amount{CPU: 4000, Memory: 8192, GPU: 1}
	step := func(count int, need amount, ms int) []any {
		return []any{map[string]any{"count": count, "cpu": need.CPU, "mem_mb": need.Memory, "gpu": need.GPU, "estimate_ms": ms}}
	}
	const longMS, shortMS, taskMS = 60000, 6000, 5000
	if !s.submit("/normal/00000000000000f1", "key-depot", map[string]any{"spec": spec(work{MS: longMS, Need: large}), "steps": step(countRunners-1, large, longMS)}) ||
		!s.submit("/normal/00000000000000f2", "key-depot", map[string]any{"spec": spec(work{MS: shortMS, Need: large}), "steps": step(1, large, shortMS)}) {
		return false, fmt.Errorf("the jobs that fill the runners were not accepted")
	}
	time.Sleep(2 * time.Second)
	sick := s.runnerOf("00000000000000f2.0.0.0")
	if sick == nil {
		return false, fmt.Errorf("the runners are not full")
	}
	accepted := make(map[string]time.Time)
	for i := range waitingJobs {
		id := fmt.Sprintf("%016x", i+1)
		if !s.submit("/normal/"+id, "key-depot", map[string]any{"spec": spec(work{MS: taskMS, Need: small}), "steps": step(1, small, taskMS)}) {
			return false, fmt.Errorf("a job was not accepted")
		}
		accepted[id] = time.Now()
	}
	time.Sleep(time.Second)
	if os.Getenv("TROUBLE") != "0" {
		s.setUnhealthy(sick, true)
		time.AfterFunc(unhealthyFor, func() { s.setUnhealthy(sick, false) })
	}
	held := true
	for end := time.Now().Add(16 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, inst := range s.instances {
			asked := time.Now()
			status, answer := s.call(inst, "GET", "/normal/", "key-depot", nil)
			count, ok := answer["waiting"].(float64)
			if status != 200 || !ok {
				continue
			}
			owed := 0
			for id, at := range accepted {
				if asked.Sub(at) > visibleTime+countAge && !s.begun(id) {
					owed++
				}
			}
			if 2*int(count) < owed {
				r.add("BROKEN MIXED: %s gives %d as waiting, but %d jobs that were accepted over 5 s before have not begun", inst.name, int(count), owed)
				held = false
			}
		}
	}
	return held, nil
}

func (s *system) setUnhealthy(w *runner, on bool) {
	s.fleet.mu.Lock()
	w.unhealthy = on
	s.fleet.mu.Unlock()
	s.record.add("DISRUPTION runner %s answers 503 to starts: %v", w.id, on)
}

// begun reports whether a task of the job has begun on a runner.
func (s *system) begun(id string) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, r := range s.fleet.all {
		if strings.HasPrefix(r.task, id+".") {
			return true
		}
	}
	return false
}
