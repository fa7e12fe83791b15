package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// capacity is the capacity of a runner or the demand of a task.
	capacity struct {
		CPU      int64 `json:"cpu,omitempty"`
		MemoryMB int64 `json:"mem_mb,omitempty"`
		GPU      int64 `json:"gpu,omitempty"`
	}

	// runner is a stand-in for a runner under its id, also over restarts. Its tasks and
	// gangs take as long as their spec says, and it guards its capacity.
	runner struct {
		site   *site
		id     string
		zone   string
		labels []string
		room   capacity
		// address is the listed one, and port the one on which the runner listens. They
		// differ if a proxy with the delay between the regions is before it.
		address string
		port    string
		server  *http.Server
		mux     *http.ServeMux

		mu       sync.Mutex
		born     time.Time
		down     bool
		fence    int64
		leaseEnd int64
		runs     map[string]*run
		// last is the highest run of each task that was stopped or has ended.
		last map[string]int64
		// ends are those that are not acknowledged, and ended counts all of them.
		ends    []end
		ended   int64
		changed chan struct{}
	}

	// run is a task at work. A lasting one has no end of its own.
	run struct {
		number  int64
		needs   capacity
		begun   time.Time
		work    time.Duration
		lasting bool
		// stopping is set once a stop was ordered.
		stopping bool
		// gang is the gang of the run, nil if it has none.
		gang *gang
	}

	// gang is one run of a gang. The mutex of the site guards it.
	gang struct {
		missing int
		// complete is the time from which all members are there. broken is set once one
		// has ended without being done.
		complete time.Time
		broken   bool
	}

	end struct {
		number int64
		task   string
		run    int64
		how    string
	}

	order struct {
		Task       string `json:"task"`
		Run        int64  `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMS int64  `json:"deadline_ms"`
		Fence      int64  `json:"fencing_token"`
		AckCursor  int64  `json:"ack_cursor"`
		WaitMS     int64  `json:"wait_ms"`
	}
)

const (
	heartbeat = 1500 * time.Millisecond
	// silenceBeats is the number of heartbeats after which a silent runner is removed
	// from the list.
	silenceBeats = 3
	// startup is the time after which a lasting task is at work, and stopTime that of a
	// stop, of stop_ms at most.
	startup  = 300 * time.Millisecond
	stopTime = 100 * time.Millisecond
	tick     = 10 * time.Millisecond
	maxWait  = 2000
	maxEnds  = 500
	// lateTime is the delay of an order that is carried out late.
	lateTime = 8 * time.Second
	// gangTime is the time for which a member of a gang waits for the others.
	gangTime = 3 * time.Second
)

// startRunner starts a runner and registers it.
func startRunner(s *site, id, zone string, labels []string, room capacity) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.check(err)
	address := l.Addr().String()
	if regions[zone] != storeRegion {
		// The leader is in the region of the store.
		address = delayProxy(s, address)
	}
	r := &runner{
		site: s, id: id, zone: zone, labels: labels, room: room, address: address, port: l.Addr().String(), born: time.Now(),
		runs: make(map[string]*run), last: make(map[string]int64), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", r.serve(r.start))
	mux.HandleFunc("POST /v1/run-stop", r.serve(r.stop))
	mux.HandleFunc("POST /v1/hold", r.serve(r.hold))
	r.mux, r.server = mux, &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }()
	go r.live()
	return r
}

// register writes the entry of the runner into the list. While the store is down, it
// can't.
func (r *runner) register(seq int) {
	if r.site.store.down.Load() {
		return
	}
	r.site.store.put("servers", r.id, map[string]any{
		"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "phase": "ready",
		"cold_left_ms": 0, "seq": seq, "capacity": r.room, "labels": r.labels, "born": r.born.UnixMilli(),
	})
}

// live sends heartbeats and advances the runs until the runner crashes. The platform
// then removes its entry after some silence.
func (r *runner) live() {
	next := time.Now()
	for seq := 0; ; {
		r.mu.Lock()
		if r.down {
			born := r.born
			r.mu.Unlock()
			if r.awaitRestart(born, silenceBeats*heartbeat) {
				next = time.Now()
				continue
			}
			r.site.store.remove("servers", r.id)
			r.site.note("platform", "removes the silent runner %s from the list", r.id)
			return
		}
		r.advance()
		r.mu.Unlock()
		if !time.Now().Before(next) && !r.site.store.down.Load() {
			seq++
			next = time.Now().Add(heartbeat)
			r.register(seq)
		}
		time.Sleep(tick)
	}
}

// awaitRestart waits for the next life of a runner that has crashed, and reports whether
// it has begun in time.
func (r *runner) awaitRestart(born time.Time, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(tick) {
		r.mu.Lock()
		restarted := !r.born.Equal(born)
		r.mu.Unlock()
		if restarted {
			return true
		}
	}
	return false
}

// restart begins another life of a crashed runner, under its id and address.
func (r *runner) restart() {
	l, err := net.Listen("tcp", r.port)
	r.site.check(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server = &http.Server{Handler: r.mux}
	go func() { _ = r.server.Serve(l) }()
	r.born, r.down, r.fence, r.leaseEnd, r.ended, r.ends = time.Now(), false, 0, 0, 0, nil
	r.last = make(map[string]int64)
	r.site.note("runner "+r.id, "has restarted, born %d", r.born.UnixMilli())
}

// crash ends the process of the runner: its port is closed and its runs are gone.
func (r *runner) crash() {
	r.mu.Lock()
	r.down = true
	tasks := len(r.runs)
	r.runs = make(map[string]*run)
	r.mu.Unlock()
	_ = r.server.Close()
	r.site.note("runner "+r.id, "crashes with %d runs", tasks)
}

// clock returns the runner's clock in milliseconds.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1000 }

// advance ends the runs whose work is done or whose lease has expired. The caller holds
// mu.
func (r *runner) advance() {
	for task, x := range r.runs {
		switch {
		case r.clock() > r.leaseEnd:
			r.end(task, x, "lapsed")
		case x.gang != nil:
			if how := r.site.gangEnd(x); how != "" {
				r.end(task, x, how)
			}
		case !x.lasting && time.Since(x.begun) >= x.work:
			r.end(task, x, "done")
		}
	}
}

// end lists the end of a run. The caller holds mu.
func (r *runner) end(task string, x *run, how string) {
	delete(r.runs, task)
	if x.gang != nil && how != "done" {
		r.site.breakGang(x.gang)
	}
	r.last[task] = max(r.last[task], x.number)
	r.ended++
	r.ends = append(r.ends, end{r.ended, task, x.number, how})
	close(r.changed)
	r.changed = make(chan struct{})
	r.site.note("runner "+r.id, "task %s run %d ends %s", task, x.number, how)
}

// serve decodes an order and checks the intended runner and the fencing token.
func (r *runner) serve(f func(context.Context, *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if to := q.Header.Get("X-Baobabquay-Expect-Instance"); to != "" && to != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
			writeJSON(w, http.StatusBadRequest, map[string]any{"clock_ms": r.clock()})
			return
		}
		r.mu.Lock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Fence >= r.fence {
			r.fence = o.Fence
			status, body = f(q.Context(), &o)
		}
		body["clock_ms"], body["born"] = r.clock(), r.born.UnixMilli()
		r.mu.Unlock()
		writeJSON(w, status, body)
	}
}

// extend extends the leases. The caller holds mu.
func (r *runner) extend(deadlineMS int64) {
	r.leaseEnd = max(r.leaseEnd, min(deadlineMS, r.clock()+holdMaxMS))
}

// start starts a run. The caller holds mu.
func (r *runner) start(ctx context.Context, o *order) (int, map[string]any) {
	if r.site.isLate(r, o.Task) {
		r.delay(ctx, o)
		return http.StatusServiceUnavailable, map[string]any{}
	}
	refuse := func(reason string) (int, map[string]any) {
		r.site.note("runner "+r.id, "refuses the start of task %s run %d: %s", o.Task, o.Run, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	r.advance()
	if o.DeadlineMS <= r.clock() {
		return refuse("late")
	}
	r.extend(o.DeadlineMS)
	if x := r.runs[o.Task]; x != nil && x.number == o.Run {
		return http.StatusOK, map[string]any{}
	} else if x != nil || r.last[o.Task] >= o.Run {
		return refuse("old")
	}
	of := r.site.stepOf(o.Task)
	x := &run{number: o.Run, needs: of.capacity, begun: time.Now(), lasting: o.Spec == "lasting"}
	if ms, ok := strings.CutPrefix(o.Spec, "work "); ok {
		n, err := strconv.Atoi(ms)
		r.site.check(err)
		x.work = time.Duration(n) * time.Millisecond
	}
	if !r.fits(x.needs) {
		return refuse("room")
	}
	if of.Gang {
		x.gang = r.site.joinGang(o.Task, o.Run, of.Count)
	}
	r.runs[o.Task] = x
	r.site.noteStart(r, o.Task, o.Run)
	return http.StatusOK, map[string]any{}
}

// delay leaves a start without an answer and has it arrive lateTime later. The caller
// holds mu.
func (r *runner) delay(ctx context.Context, o *order) {
	r.site.note("runner "+r.id, "start of task %s run %d is on its way for %v", o.Task, o.Run, lateTime)
	late := *o
	time.AfterFunc(lateTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.site.note("runner "+r.id, "start of task %s run %d arrives late", late.Task, late.Run)
		if !r.down && late.Fence >= r.fence {
			r.fence = late.Fence
			r.start(context.Background(), &late)
		}
	})
	r.mu.Unlock()
	<-ctx.Done()
	r.mu.Lock()
}

// isLate reports whether a start is the first one of the job lateJob, and records its
// runner.
func (s *site) isLate(r *runner, task string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lateRunner != nil || s.lateJob == "" || !strings.HasPrefix(task, s.lateJob+".") {
		return false
	}
	s.lateRunner = r
	return true
}

// fits reports whether a further task fits. The caller holds mu.
func (r *runner) fits(needs capacity) bool {
	used := needs
	for _, x := range r.runs {
		used = capacity{used.CPU + x.needs.CPU, used.MemoryMB + x.needs.MemoryMB, used.GPU + x.needs.GPU}
	}
	return used.CPU <= r.room.CPU && used.MemoryMB <= r.room.MemoryMB && used.GPU <= r.room.GPU
}

// stop stops a run. The caller holds mu.
func (r *runner) stop(_ context.Context, o *order) (int, map[string]any) {
	r.last[o.Task] = max(r.last[o.Task], o.Run)
	x := r.runs[o.Task]
	if x == nil || x.number != o.Run || x.stopping {
		return http.StatusOK, map[string]any{}
	}
	x.stopping = true
	r.site.note("runner "+r.id, "is told to stop task %s run %d", o.Task, o.Run)
	time.AfterFunc(stopTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs[o.Task] == x {
			r.end(o.Task, x, "stopped")
		}
	})
	return http.StatusOK, map[string]any{}
}

// hold extends the leases, forgets acknowledged ends and waits for an end. The caller
// holds mu.
func (r *runner) hold(ctx context.Context, o *order) (int, map[string]any) {
	r.extend(o.DeadlineMS)
	for len(r.ends) > 0 && r.ends[0].number <= o.AckCursor {
		r.site.note("runner "+r.id, "the end of task %s run %d is taken note of", r.ends[0].task, r.ends[0].run)
		r.ends = r.ends[1:]
	}
	timeout := time.After(time.Duration(min(o.WaitMS, maxWait)) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(r.ends) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		r.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for task, x := range r.runs {
		running = append(running, []any{task, x.number, "", r.percent(x), 0})
	}
	for _, e := range r.ends[:min(len(r.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// joinGang adds a member to a run of a gang with the given size.
func (s *site) joinGang(task string, run int64, size int) *gang {
	key := fmt.Sprintf("%s/%d", task[:strings.LastIndexByte(task, '.')], run)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gangs[key]
	if g == nil {
		g = &gang{missing: size}
		s.gangs[key] = g
	}
	if g.missing--; g.missing == 0 && !g.broken {
		g.complete = time.Now()
	}
	return g
}

// breakGang ends a run of a gang, of which a member has ended.
func (s *site) breakGang(g *gang) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.broken = true
}

// gangEnd returns how a member of a gang ends now, empty if it does not.
func (s *site) gangEnd(x *run) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case x.gang.broken:
		return "broken"
	case x.gang.complete.IsZero() && time.Since(x.begun) >= gangTime:
		return "alone"
	case !x.gang.complete.IsZero() && time.Since(x.gang.complete) >= x.work:
		return "done"
	}
	return ""
}

// gangComplete reports whether all members of a run of a gang have been there together.
func (s *site) gangComplete(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, g := range s.gangs {
		if strings.HasPrefix(key, id+".") && !g.complete.IsZero() {
			return true
		}
	}
	return false
}

// percent returns the progress of a run. A member of a gang gives none before the gang is
// complete.
func (r *runner) percent(x *run) int {
	full, begun := x.work, x.begun
	if x.gang != nil {
		r.site.mu.Lock()
		begun = x.gang.complete
		r.site.mu.Unlock()
		if begun.IsZero() {
			return 0
		}
	}
	if x.lasting {
		full = startup
	}
	return int(min(100*time.Since(begun)/max(full, 1), 100))
}

// atWork returns the number of tasks of a job that run on the runner.
func (r *runner) atWork(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task := range r.runs {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}
