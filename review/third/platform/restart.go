package main

import (
	"fmt"
	"os"
	"time"
)

// The first task of a job ends while the store is down. The runner restarts, and then the store is
// back. The times count from the begin of the task.
const (
	firstTaskMS  = 2000
	secondTaskMS = 2000
	storeDownAt  = 500 * time.Millisecond
	crashAt      = 2150 * time.Millisecond
	crashFor     = 300 * time.Millisecond
	storeUpAt    = 2700 * time.Millisecond
	restartJobs  = 4
)

// playRestart plays the case several times, with one job each.
func playRestart(r *record) (bool, error) {
	s, err := startSystem(r, 3, config(), "planner")
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := s.fleet.add(fmt.Sprintf("i-%08x", 0xa1b2c3d0+i), "zone-a", "r1", amount{CPU: 64000, Memory: 262144, GPU: 8}); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	need := amount{CPU: 32000, Memory: 65536, GPU: 8}
	step := func(after ...int) map[string]any {
		return map[string]any{"count": 1, "cpu": need.CPU, "mem_mb": need.Memory, "gpu": need.GPU, "estimate_ms": firstTaskMS, "after": after}
	}
	// Two runners are busy all the time.
	if !s.submit("/normal/00000000000000f1", "key-depot", map[string]any{
		"spec": spec(work{MS: 90000, Need: need}), "steps": []any{map[string]any{
			"count": 2, "cpu": need.CPU, "mem_mb": need.Memory, "gpu": need.GPU, "estimate_ms": 90000,
		}},
	}) {
		return false, fmt.Errorf("the job that fills the runners was not accepted")
	}
	time.Sleep(time.Second)
	for n := range restartJobs {
		id := fmt.Sprintf("%016x", n+1)
		if !s.submit("/normal/"+id, "key-depot", map[string]any{"spec": spec(work{MS: secondTaskMS, Need: need}), "steps": []any{step(), step(0)}}) {
			return false, fmt.Errorf("a job was not accepted")
		}
		began := time.Now()
		for s.runnerOf(id+".0.0.0") == nil {
			if time.Since(began) > 5*time.Second {
				return false, fmt.Errorf("the job did not begin")
			}
			time.Sleep(time.Millisecond)
		}
		began = time.Now()
		w := s.runnerOf(id + ".0.0.0")
		if os.Getenv("TROUBLE") != "0" {
			time.Sleep(storeDownAt)
			s.storeDown(true)
			time.Sleep(time.Until(began.Add(crashAt)))
			if err := w.restart(crashFor); err != nil {
				return false, err
			}
			time.Sleep(time.Until(began.Add(storeUpAt)))
			s.storeDown(false)
		}
		time.Sleep(time.Until(began.Add(14 * time.Second)))
		s.call(s.instances[0], "GET", "/normal/"+id, "key-depot", nil)
	}
	return s.fleet.checkTwice(), nil
}
