package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

type (
	demand struct {
		CPU int64 `json:"cpu"`
		Mem int64 `json:"mem_mb"`
		GPU int64 `json:"gpu"`
	}

	// step is a step of a job as the caller sends it. The fields without a name on
	// the wire describe how its tasks behave on a runner.
	step struct {
		demand
		Count       int    `json:"count"`
		EstimateMS  int64  `json:"estimate_ms"`
		Affinity    string `json:"affinity,omitempty"`
		Requires    string `json:"requires,omitempty"`
		LongRunning bool   `json:"long_running,omitempty"`
		// work is the run time of a task near its data.
		work time.Duration
		// failAfter is the time after which each run of the task fails, 0 if none does.
		failAfter time.Duration
	}

	// order is the body of a call of a runner.
	order struct {
		Task     string
		Run      int64
		Spec     string
		Deadline int64 `json:"deadline_ms"`
		Fence    int64 `json:"fencing_token"`
		Ack      int64 `json:"ack_cursor"`
		Wait     int64 `json:"wait_ms"`
	}

	// run is one execution of a task.
	run struct {
		task    string
		number  int64
		runner  string
		kind    string
		service string
		job     *job
		begun   time.Time
		ended   time.Time
		how     string
	}

	// runner is a stand-in runner. Restarting it changes its incarnation, not its
	// id or address.
	runner struct {
		s            *scene
		id, service  string
		kind, rack   string
		address      string
		capacity     demand
		mu           sync.Mutex
		up           bool
		draining     bool
		born         time.Time
		clockZero    time.Time
		seq          int64
		fence        int64
		leaseEnd     int64
		running      map[string]*run
		lastRun      map[string]int64
		finished     [][]any
		lastEnd      int64
		acknowledged int64
		changed      chan struct{}
		connections  map[net.Conn]bool
		// late returns how long an order is delayed, 0 if it is carried out at once.
		late func(path, task string) time.Duration
	}
)

const (
	heartbeat   = 1500 * time.Millisecond
	stopTime    = 100 * time.Millisecond
	startupTime = 300 * time.Millisecond
	holdMax     = 10 * time.Second
	farFactor   = 3
)

func (s *scene) addRunner(id, service, kind, rack string, capacity demand) *runner {
	r := &runner{s: s, id: id, service: service, kind: kind, rack: rack, capacity: capacity, connections: make(map[net.Conn]bool)}
	l := listen()
	r.address = l.Addr().String()
	server := &http.Server{Handler: r, ConnState: func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(r.connections, c)
			return
		}
		r.connections[c] = true
		if !r.up {
			go c.Close()
		}
	}}
	go func() { _ = server.Serve(l) }()
	s.runners = append(s.runners, r)
	r.boot(kind)
	go r.beat()
	go r.advance()
	return r
}

// boot starts a new incarnation, which may be of another kind.
func (r *runner) boot(kind string) {
	r.mu.Lock()
	now := time.Now()
	r.up, r.kind, r.draining, r.born, r.clockZero = true, kind, false, now, now.Add(-time.Minute)
	r.seq, r.fence, r.leaseEnd, r.lastEnd, r.acknowledged = 0, 0, 0, 0, 0
	r.running, r.lastRun, r.finished = make(map[string]*run), make(map[string]int64), nil
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.s.logf("runner %s boots: kind %s, rack %s, service %s", r.id, kind, r.rack, r.service)
	r.report()
}

// crash ends the runner and all that runs on it, and closes its connections.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	for _, x := range r.running {
		r.s.endRun(x, "crashed")
	}
	r.running = make(map[string]*run)
	for c := range r.connections {
		go c.Close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.s.logf("runner %s crashes", r.id)
}

// drain reports the runner as draining, and ends it once it is empty and at least
// the given time has passed.
func (r *runner) drain(atLeast time.Duration) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.s.logf("runner %s drains", r.id)
	r.report()
	time.Sleep(atLeast)
	r.crash()
	r.s.store.put("servers", r.id, nil)
}

// report writes the runner's entry into the list of runners.
func (r *runner) report() {
	r.mu.Lock()
	r.seq++
	phase := "ready"
	if r.draining {
		phase = "draining"
	}
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": "zone-1", "version": "v1", "slots": 8, "phase": phase,
		"cold_left_ms": 0, "capacity": r.capacity, "labels": []string{r.kind, r.rack}, "clock_ms": r.clock(),
		"seq": r.seq, "born": r.born.UnixMilli(),
	}
	r.mu.Unlock()
	r.s.store.put("servers", r.id, entry)
}

// beat writes the entry at each heartbeat. The entry of a runner that is down is
// removed after three heartbeats.
func (r *runner) beat() {
	silent := 0
	for {
		time.Sleep(heartbeat)
		r.mu.Lock()
		up := r.up
		r.mu.Unlock()
		if up {
			silent = 0
			r.report()
			continue
		}
		if silent++; silent == 3 {
			r.s.store.put("servers", r.id, nil)
		}
	}
}

func (r *runner) clock() int64 { return time.Since(r.clockZero).Milliseconds() }

// advance ends runs whose work is done or whose lease has expired.
func (r *runner) advance() {
	for {
		time.Sleep(20 * time.Millisecond)
		r.mu.Lock()
		for _, x := range r.running {
			st, ran := x.step(), time.Since(x.begun)
			switch {
			case r.clock() > r.leaseEnd:
				r.end(x, "lapsed")
			case st.failAfter > 0 && ran > st.failAfter:
				r.end(x, "failed")
			case !st.LongRunning && ran > r.duration(st):
				r.end(x, "done")
			}
		}
		r.mu.Unlock()
	}
}

// duration returns the run time of a task of the step here.
func (r *runner) duration(st *step) time.Duration {
	if st.Affinity != "" && st.Affinity != r.rack {
		return farFactor * st.work
	}
	return st.work
}

// end ends a run and lists its end. The lock is held.
func (r *runner) end(x *run, how string) {
	if r.running[x.task] != x {
		return
	}
	delete(r.running, x.task)
	r.lastRun[x.task] = max(r.lastRun[x.task], x.number)
	r.lastEnd++
	r.finished = append(r.finished, []any{r.lastEnd, x.task, x.number, how, ""})
	r.s.endRun(x, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// free returns the free capacity. The lock is held.
func (r *runner) free() demand {
	d := r.capacity
	for _, x := range r.running {
		st := x.step()
		d.CPU, d.Mem, d.GPU = d.CPU-st.CPU, d.Mem-st.Mem, d.GPU-st.GPU
	}
	return d
}

func (d demand) fits(free demand) bool {
	return d.CPU <= free.CPU && d.Mem <= free.Mem && d.GPU <= free.GPU
}

func (x *run) step() *step {
	var index, k, i int
	_, rest, _ := strings.Cut(x.task, ".")
	_, _ = fmt.Sscanf(rest, "%d.%d.%d", &k, &index, &i)
	return &x.job.Steps[index]
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var c order
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		panic(http.ErrAbortHandler)
	}
	if r.late != nil {
		if d := r.late(req.URL.Path, c.Task); d > 0 {
			r.s.logf("%s of %s run %d at %s gets no answer and is carried out %v later", req.URL.Path, c.Task, c.Run, r.id, d)
			time.AfterFunc(d, func() { r.carryOut(httptest.NewRecorder(), req.Clone(context.Background()), c) })
			panic(http.ErrAbortHandler)
		}
	}
	r.handle(w, req, c)
}

// carryOut carries out an order that was delayed.
func (r *runner) carryOut(w *httptest.ResponseRecorder, req *http.Request, c order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.handle(w, req, c)
	r.s.logf("delayed %s of %s run %d at %s: %d %s", req.URL.Path, c.Task, c.Run, r.id, w.Code, strings.TrimSpace(w.Body.String()))
}

// handle carries out a call. The lock is held.
func (r *runner) handle(w http.ResponseWriter, req *http.Request, c order) {
	if want := req.Header.Get("X-Baobabquay-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	refuse := func(reason string) {
		respond(w, http.StatusConflict, map[string]any{"clock_ms": r.clock(), "reason": reason, "born": r.born.UnixMilli()})
	}
	if c.Fence < r.fence {
		refuse("fence")
		return
	}
	r.fence = c.Fence
	switch req.URL.Path {
	case "/v1/run-start":
		r.start(w, refuse, c.Task, c.Run, c.Spec, c.Deadline)
	case "/v1/run-stop":
		r.lastRun[c.Task] = max(r.lastRun[c.Task], c.Run)
		if x := r.running[c.Task]; x != nil && x.number == c.Run {
			r.s.logf("stop of %s run %d at %s, after %v", c.Task, c.Run, r.id, time.Since(x.begun).Round(10*time.Millisecond))
			time.AfterFunc(stopTime, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.end(x, "stopped")
			})
		}
		respond(w, http.StatusOK, map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli()})
	case "/v1/hold":
		r.extend(c.Deadline)
		r.acknowledge(c.Ack)
		r.hold(w, req, time.Duration(c.Wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// extend extends the leases to the given instant of the runner's clock.
func (r *runner) extend(deadline int64) {
	r.leaseEnd = max(r.leaseEnd, min(deadline, r.clock()+holdMax.Milliseconds()))
}

func (r *runner) start(w http.ResponseWriter, refuse func(string), task string, number int64, spec string, deadline int64) {
	id, _, _ := strings.Cut(task, ".")
	x := &run{task: task, number: number, runner: r.id, kind: r.kind, service: r.service, job: r.s.job(id), begun: time.Now()}
	present := r.running[task]
	switch {
	case x.job == nil || x.job.Spec != spec:
		r.s.logf("start of %s at %s that no client has sent", task, r.id)
		w.WriteHeader(http.StatusBadRequest)
		return
	case present != nil && present.number == number:
	case present != nil, number <= r.lastRun[task]:
		r.extend(deadline)
		refuse("old")
		return
	case deadline <= r.clock():
		refuse("late")
		return
	case !x.step().demand.fits(r.free()):
		r.extend(deadline)
		refuse("room")
		return
	default:
		r.running[task] = x
		r.s.beginRun(x)
	}
	r.extend(deadline)
	respond(w, http.StatusOK, map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli()})
}

func (r *runner) acknowledge(upTo int64) {
	if upTo > r.acknowledged && len(r.finished) > 0 {
		r.s.logf("ends of %s up to %d are taken note of", r.id, upTo)
	}
	r.acknowledged = max(r.acknowledged, upTo)
	for len(r.finished) > 0 && r.finished[0][0].(int64) <= r.acknowledged {
		r.finished = r.finished[1:]
	}
}

// hold answers once there is an end, or after the wait. The lock is held.
func (r *runner) hold(w http.ResponseWriter, req *http.Request, wait time.Duration) {
	born := r.born
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := wait == 0; len(r.finished) == 0 && !expired; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-req.Context().Done():
		case <-timer.C:
			expired = true
		case <-changed:
		}
		r.mu.Lock()
		if !r.up || !r.born.Equal(born) || req.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, r.finished[:min(len(r.finished), 500)]
	for _, x := range r.running {
		st := x.step()
		percent := 100
		if !st.LongRunning {
			percent = int(min(100, 100*time.Since(x.begun)/r.duration(st)))
		} else if time.Since(x.begun) < startupTime {
			percent = 0
		}
		running = append(running, []any{x.task, x.number, "", percent, st.CPU})
	}
	if finished == nil {
		finished = [][]any{}
	}
	respond(w, http.StatusOK, map[string]any{
		"clock_ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "finished": finished,
	})
}
