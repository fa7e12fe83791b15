package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// A task that lasts must be restarted however it ends. LOST: from 6 s after its last run, it has
// not run for 3 s though its turn has come and there is capacity for it twice over. The 3 s and
// the 4 s before them are without disruption.
const (
	lastingGrace  = 6 * time.Second
	lastingWindow = 3 * time.Second
	calmBefore    = 4 * time.Second
	watchInterval = 20 * time.Millisecond
)

// lastingWatch looks for a task that lasts and is not restarted.
type lastingWatch struct {
	fleet *fleet
	tasks []string
	need  amount
	// disruptedAt is the time of the last disruption.
	disruptedAt time.Time
	// idleSince is, by task, since when it has not run and there has been room for it twice over.
	idleSince map[string]time.Time
	broken    string
	longest   time.Duration
}

// look makes one observation.
func (l *lastingWatch) look(now time.Time) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	room := int64(0)
	for _, w := range f.runners {
		if w.alive {
			room += w.room(l.need)
		}
	}
	for _, task := range l.tasks {
		var last time.Time
		running := false
		for _, r := range f.all {
			if r.task == task {
				running = running || r.ended.IsZero()
				last = r.ended
			}
		}
		if running || last.IsZero() || room < 2 || now.Sub(last) < lastingGrace || now.Sub(l.disruptedAt) < calmBefore {
			delete(l.idleSince, task)
			continue
		}
		if l.idleSince[task].IsZero() {
			l.idleSince[task] = now
		}
		idle := now.Sub(l.idleSince[task])
		l.longest = max(l.longest, idle)
		if idle >= lastingWindow && l.broken == "" {
			l.broken = fmt.Sprintf("%s has not run for %v since its last run, for the last %v with room for it %d times over",
				task, now.Sub(last).Round(time.Millisecond), idle.Round(time.Millisecond), room)
			f.record.add("BROKEN LOST: %s", l.broken)
		}
	}
}

func spec(w work) string {
	b, _ := json.Marshal(w)
	return string(b)
}

func config() map[string]any {
	route := func(name, prefix string, priority int, slack float64, slo int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": slo, "priority": priority,
			"service": "planner", "max_attempts": 3, "slack_factor": slack, "public": false, "allowed_regions": []string{},
		}
	}
	return map[string]any{
		"version":  3,
		"routes":   []any{route("r-urgent", "/urgent/", 0, 1.5, 500), route("r-normal", "/normal/", 1, 3, 1200)},
		"services": []any{map[string]any{"name": "planner", "health_path": "/health", "max_conns": 64, "enforces_capacity": true, "spare": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants": []any{
			map[string]any{"name": "dispatch", "api_keys": []string{"key-dispatch"}, "priority": 1, "guaranteed": map[string]any{"gpu": 32}},
			map[string]any{"name": "depot", "api_keys": []string{"key-depot"}, "priority": 1, "guaranteed": map[string]any{"gpu": 0}},
		},
	}
}

// lastingCase is a case of a job that lasts, of which a runner crashes.
type lastingCase struct {
	racks    []string // the rack of each runner
	step     map[string]any
	need     amount
	count    int
	duration time.Duration
	// traffic is called once the job runs, with a channel that is closed at the end.
	traffic func(s *system, done <-chan struct{})
}

const (
	lastingJob = "00000000000000aa"
	// settleTime is the time from the start of the traffic to the crash.
	settleTime = 9 * time.Second
)

func (c *lastingCase) play(r *record) (bool, error) {
	s, err := startSystem(r, 3, config(), "planner")
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	for i, rack := range c.racks {
		if _, err := s.fleet.add(fmt.Sprintf("i-%08x", 0xa1b2c3d0+i), "zone-a", rack, amount{CPU: 64000, Memory: 262144, GPU: 8}); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	if !s.submit("/normal/"+lastingJob, "key-depot", map[string]any{"spec": spec(work{Need: c.need}), "steps": []any{c.step}}) {
		return false, fmt.Errorf("the job was not accepted")
	}
	watch := &lastingWatch{fleet: s.fleet, need: c.need, idleSince: make(map[string]time.Time)}
	for i := range c.count {
		watch.tasks = append(watch.tasks, fmt.Sprintf("%s.0.0.%d", lastingJob, i))
	}
	for deadline := time.Now().Add(5 * time.Second); s.runnerOf(watch.tasks[len(watch.tasks)-1]) == nil || s.runnerOf(watch.tasks[0]) == nil; {
		if time.Now().After(deadline) {
			return false, fmt.Errorf("the job did not begin")
		}
		time.Sleep(watchInterval)
	}
	done := make(chan struct{})
	defer close(done)
	if c.traffic != nil {
		go c.traffic(s, done)
	}
	started, crashed := time.Now(), false
	for now := started; now.Sub(started) < c.duration; now = time.Now() {
		if !crashed && now.Sub(started) >= settleTime && os.Getenv("TROUBLE") != "0" {
			crashed = true
			s.runnerOf(watch.tasks[0]).crash()
			watch.disruptedAt = time.Now()
		}
		watch.look(now)
		time.Sleep(watchInterval)
	}
	for _, inst := range s.instances {
		s.call(inst, "GET", "/normal/"+lastingJob, "key-depot", nil)
	}
	r.add("longest time without a run while there was room twice over, after 6 s of grace: %v", watch.longest.Round(time.Millisecond))
	return watch.broken == "", nil
}

// runnerOf returns the runner of a task, nil if it does not run.
func (s *system) runnerOf(task string) *runner {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, w := range s.fleet.runners {
		if w.runs[task] != nil {
			return w
		}
	}
	return nil
}

// headroom: urgent jobs of one second come every 4.5 s. In between all their capacity is idle.
func headroomCase() *lastingCase {
	need := amount{CPU: 2000, Memory: 8192, GPU: 1}
	urgent := amount{CPU: 7500, Memory: 22000, GPU: 4}
	const members = 8
	return &lastingCase{
		racks: []string{"r1", "r1", "r1", "r1", "r1"}, need: need, count: 1, duration: 45 * time.Second,
		step: map[string]any{"count": 1, "cpu": need.CPU, "mem_mb": need.Memory, "gpu": need.GPU, "long_running": true},
		traffic: func(s *system, done <-chan struct{}) {
			for n := 1; ; n++ {
				s.submit(fmt.Sprintf("/urgent/%016x", n), "key-dispatch", map[string]any{
					"spec": spec(work{MS: 1000, Need: urgent}),
					"steps": []any{map[string]any{
						"count": members, "cpu": urgent.CPU, "mem_mb": urgent.Memory, "gpu": urgent.GPU, "estimate_ms": 1000,
					}},
				})
				select {
				case <-done:
					return
				case <-time.After(4500 * time.Millisecond):
				}
			}
		},
	}
}
