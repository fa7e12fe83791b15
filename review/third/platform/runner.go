package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

type (
	// amount is a capacity or a demand.
	amount struct {
		CPU    int64 `json:"cpu"`
		Memory int64 `json:"mem_mb"`
		GPU    int64 `json:"gpu"`
	}

	// work is what the spec of a task tells the runner to do.
	work struct {
		// MS is the duration, 0 for a task that lasts. Gang is the number of members.
		MS   int    `json:"ms"`
		Gang int    `json:"gang"`
		Need amount `json:"need"`
	}

	// run is a run of a task.
	run struct {
		task   string
		number int64
		runner string
		work   work
		begun  time.Time
		// working is when the work began: for a gang, once all members have begun.
		working time.Time
		ended   time.Time
		how     string
		stopAt  time.Time
		end     int64
		// noted is set when ack_cursor has reached the end.
		noted bool
	}

	// runner is a stand-in for one life of a runner.
	runner struct {
		fleet    *fleet
		id       string
		rack     string
		zone     string
		capacity amount
		address  string
		server   *http.Server
		born     time.Time
		alive    bool
		// delay is the time of a packet to or from the runner.
		delay time.Duration
		// cut runners get no calls; healed is closed at the end of the cut.
		healed   chan struct{}
		fence    int64
		leaseEnd time.Time
		runs     map[string]*run
		lastRun  map[string]int64
		ends     []*run
		lastEnd  int64
		acked    int64
		changed  chan struct{}
	}

	// fleet is the set of all runners. One lock covers all of them.
	fleet struct {
		mu      sync.Mutex
		store   *store
		record  *record
		service string
		runners []*runner
		// all are all runs in the order of their begin.
		all []*run
	}
)

// The figures of sites/cedarline-bq.toml.
const (
	holdMax      = 6 * time.Second
	stopTime     = 200 * time.Millisecond
	gangTime     = 3 * time.Second
	startupTime  = 300 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	missedBeats  = 3
	clockAtBoot  = time.Minute
	simulateStep = 10 * time.Millisecond
)

func newFleet(s *store, r *record, service string) *fleet {
	f := &fleet{store: s, record: r, service: service}
	go func() {
		for range time.Tick(simulateStep) {
			f.mu.Lock()
			f.advance(time.Now())
			f.mu.Unlock()
		}
	}()
	return f
}

// add starts a runner.
func (f *fleet) add(id, zone, rack string, capacity amount) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("runner %s: %w", id, err)
	}
	w := &runner{
		fleet: f, id: id, zone: zone, rack: rack, capacity: capacity, address: l.Addr().String(), born: time.Now(), alive: true,
		runs: make(map[string]*run), lastRun: make(map[string]int64), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.serveStart)
	mux.HandleFunc("POST /v1/run-stop", w.serveStop)
	mux.HandleFunc("POST /v1/hold", w.serveHold)
	w.server = &http.Server{Handler: w.behindLink(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	f.mu.Lock()
	f.runners = append(f.runners, w)
	f.mu.Unlock()
	go w.beat()
	return w, nil
}

// behindLink holds calls back while the runner is cut off. A call whose caller has given up
// meanwhile is lost.
func (w *runner) behindLink(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.fleet.mu.Lock()
		healed := w.healed
		w.fleet.mu.Unlock()
		if healed != nil {
			select {
			case <-healed:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if w.delay > 0 {
			time.Sleep(w.delay)
			defer time.Sleep(w.delay)
		}
		h.ServeHTTP(rw, r)
	})
}

// cut cuts the runner off for the given time. What runs there goes on.
func (w *runner) cut(d time.Duration) {
	healed := make(chan struct{})
	w.fleet.mu.Lock()
	w.healed = healed
	w.signal()
	w.fleet.mu.Unlock()
	w.fleet.record.add("DISRUPTION runner %s is cut off for %v", w.id, d)
	time.AfterFunc(d, func() {
		w.fleet.mu.Lock()
		w.healed = nil
		w.fleet.mu.Unlock()
		close(healed)
		w.fleet.record.add("DISRUPTION runner %s is reached again", w.id)
	})
}

// beat writes the entry of the runner until it is gone, and removes it after three missed
// heartbeats.
func (w *runner) beat() {
	for seq := 1; ; seq++ {
		w.fleet.mu.Lock()
		alive := w.alive
		w.fleet.mu.Unlock()
		if !alive {
			break
		}
		w.fleet.store.put("servers", w.id, map[string]any{
			"service": w.fleet.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "phase": "ready", "cold_left_ms": 0,
			"capacity": w.capacity, "labels": []string{"a", w.rack}, "clock_ms": w.clock(time.Now()), "born": w.born.UnixMilli(), "seq": seq,
		})
		time.Sleep(heartbeat)
	}
	time.Sleep(missedBeats * heartbeat)
	for !w.fleet.store.drop("servers", w.id) {
		time.Sleep(100 * time.Millisecond)
	}
	w.fleet.record.add("entry of runner %s is removed", w.id)
}

// crash ends the runner for good. It reports nothing.
func (w *runner) crash() {
	w.fleet.mu.Lock()
	now := time.Now()
	w.alive = false
	for _, r := range w.runs {
		r.ended, r.how = now, "crashed"
		w.fleet.record.add("%s: %s run %d ends with its runner", w.id, r.task, r.number)
	}
	w.runs = make(map[string]*run)
	w.signal()
	w.fleet.mu.Unlock()
	w.fleet.record.add("DISRUPTION runner %s crashes and is lost for good", w.id)
	_ = w.server.Close()
}

// restart crashes the runner and starts it again after the given time under the same id, at the same
// address. It then knows nothing of before.
func (w *runner) restart(down time.Duration) error {
	w.fleet.record.add("DISRUPTION runner %s crashes", w.id)
	_ = w.server.Close()
	w.fleet.mu.Lock()
	for _, r := range w.runs {
		r.ended, r.how = time.Now(), "crashed"
		w.fleet.record.add("%s: %s run %d ends with its runner", w.id, r.task, r.number)
	}
	w.runs, w.lastRun = make(map[string]*run), make(map[string]int64)
	w.ends, w.lastEnd, w.acked, w.fence, w.leaseEnd = nil, 0, 0, 0, time.Time{}
	w.signal()
	w.fleet.mu.Unlock()
	time.Sleep(down)
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("restart runner %s: %w", w.id, err)
	}
	w.fleet.mu.Lock()
	w.born = time.Now()
	w.server = &http.Server{Handler: w.server.Handler, ReadHeaderTimeout: time.Minute}
	server := w.server
	w.fleet.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.fleet.record.add("runner %s starts again under its id", w.id)
	return nil
}

func (w *runner) signal() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *runner) clock(now time.Time) int64 { return (now.Sub(w.born) + clockAtBoot).Milliseconds() }

// until returns the instant of a deadline on the runner's clock, at most holdMax away.
func (w *runner) until(deadlineMS int64, now time.Time) time.Time {
	t := w.born.Add(time.Duration(deadlineMS)*time.Millisecond - clockAtBoot)
	if limit := now.Add(holdMax); t.After(limit) {
		return limit
	}
	return t
}

func (w *runner) extend(t time.Time) {
	if t.After(w.leaseEnd) {
		w.leaseEnd = t
	}
}

// used returns what the runs on the runner need.
func (w *runner) used() amount {
	var sum amount
	for _, r := range w.runs {
		sum.CPU, sum.Memory, sum.GPU = sum.CPU+r.work.Need.CPU, sum.Memory+r.work.Need.Memory, sum.GPU+r.work.Need.GPU
	}
	return sum
}

// room returns how often a task with the demand fits now.
func (w *runner) room(d amount) int64 {
	used := w.used()
	n := int64(1 << 20)
	for _, q := range [...][2]int64{
		{w.capacity.CPU - used.CPU, d.CPU}, {w.capacity.Memory - used.Memory, d.Memory}, {w.capacity.GPU - used.GPU, d.GPU},
	} {
		if q[1] > 0 {
			n = min(n, max(q[0], 0)/q[1])
		}
	}
	return n
}

// advance ends the runs whose time has come. The lock is held.
func (f *fleet) advance(now time.Time) {
	for _, w := range f.runners {
		for _, r := range w.runs {
			if n := r.work.Gang; n > 0 && r.working.IsZero() {
				if members := f.members(r); len(members) == n {
					for _, m := range members {
						m.working = now
					}
				} else if now.Sub(r.begun) > gangTime {
					w.finish(r, "alone", now)
				}
			}
		}
		for _, r := range w.runs {
			switch {
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				w.finish(r, "stopped", now)
				f.finishOthers(r, "broken", now)
			case now.After(w.leaseEnd):
				w.finish(r, "lapsed", now)
				f.finishOthers(r, "broken", now)
			case !r.working.IsZero() && r.work.MS > 0 && now.Sub(r.working) >= time.Duration(r.work.MS)*time.Millisecond:
				w.finish(r, "done", now)
				f.finishOthers(r, "done", now)
			}
		}
	}
}

// members returns the runs of the gang of r that are under way.
func (f *fleet) members(r *run) []*run {
	step := r.task[:strings.LastIndex(r.task, ".")]
	var list []*run
	for _, w := range f.runners {
		for _, m := range w.runs {
			if m.number == r.number && strings.HasPrefix(m.task, step+".") {
				list = append(list, m)
			}
		}
	}
	return list
}

func (f *fleet) finishOthers(r *run, how string, now time.Time) {
	if r.work.Gang == 0 {
		return
	}
	for _, m := range f.members(r) {
		for _, w := range f.runners {
			if w.runs[m.task] == m {
				w.finish(m, how, now)
			}
		}
	}
}

func (w *runner) finish(r *run, how string, now time.Time) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.lastRun[r.task] = max(w.lastRun[r.task], r.number)
	w.lastEnd++
	r.ended, r.how, r.end = now, how, w.lastEnd
	if r.end <= w.acked {
		r.noted = true
		w.fleet.record.add("%s: end %d is forgotten at once, since ack_cursor has reached %d", w.id, r.end, w.acked)
	} else {
		w.ends = append(w.ends, r)
	}
	w.fleet.record.add("%s: %s run %d ends: %s", w.id, r.task, r.number, how)
	w.signal()
}

// decode reads the body of a call, and refuses one that is meant for another runner.
func (w *runner) decode(rw http.ResponseWriter, r *http.Request, body any) bool {
	if r.Header.Get("X-Baobabquay-Expect-Instance") != w.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return false
	}
	return true
}

func (w *runner) serveStart(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Task     string `json:"task"`
		Run      int64  `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline_ms"`
		Fence    int64  `json:"fencing_token"`
	}
	if !w.decode(rw, r, &o) {
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	now := time.Now()
	until := w.until(o.Deadline, now)
	refuse := func(reason string) {
		w.fleet.record.add("%s: start of %s run %d refused: %s", w.id, o.Task, o.Run, reason)
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(now), "reason": reason})
	}
	if o.Fence < w.fence {
		refuse("fence")
		return
	}
	w.fence = o.Fence
	var wk work
	if err := json.Unmarshal([]byte(o.Spec), &wk); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{"clock_ms": w.clock(now)})
		return
	}
	have := w.runs[o.Task]
	switch {
	case have != nil && have.number == o.Run:
	case have != nil || o.Run <= w.lastRun[o.Task]:
		w.extend(until)
		refuse("old")
		return
	case !until.After(now):
		refuse("late")
		return
	case w.room(wk.Need) < 1:
		w.extend(until)
		refuse("room")
		return
	default:
		x := &run{task: o.Task, number: o.Run, runner: w.id, work: wk, begun: now}
		if wk.Gang == 0 {
			x.working = now
		}
		w.runs[o.Task] = x
		w.fleet.all = append(w.fleet.all, x)
		w.fleet.record.add("%s: %s run %d begins", w.id, o.Task, o.Run)
	}
	w.extend(until)
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(now)})
}

func (w *runner) serveStop(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Task  string `json:"task"`
		Run   int64  `json:"run"`
		Fence int64  `json:"fencing_token"`
	}
	if !w.decode(rw, r, &o) {
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	now := time.Now()
	if o.Fence < w.fence {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(now), "reason": "fence"})
		return
	}
	w.fence = o.Fence
	w.lastRun[o.Task] = max(w.lastRun[o.Task], o.Run)
	if x := w.runs[o.Task]; x != nil && x.number == o.Run && x.stopAt.IsZero() {
		w.fleet.record.add("%s: %s run %d is told to stop", w.id, o.Task, o.Run)
		x.stopAt = now.Add(stopTime)
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(now)})
}

func (w *runner) serveHold(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Deadline int64 `json:"deadline_ms"`
		Fence    int64 `json:"fencing_token"`
		Ack      int64 `json:"ack_cursor"`
		Wait     int64 `json:"wait_ms"`
	}
	if !w.decode(rw, r, &o) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(o.Wait, 2000))*time.Millisecond)
	defer cancel()
	w.fleet.mu.Lock()
	now := time.Now()
	if o.Fence >= w.fence {
		w.fence = o.Fence
		if o.Deadline > 0 {
			w.extend(w.until(o.Deadline, now))
		}
		if o.Ack > w.acked {
			w.acked = o.Ack
			w.fleet.record.add("%s: ack_cursor %d", w.id, o.Ack)
		}
		for _, x := range w.ends {
			x.noted = x.noted || x.end <= w.acked
		}
		w.ends = slices.DeleteFunc(w.ends, func(x *run) bool { return x.end <= w.acked })
	}
	for len(w.ends) == 0 && ctx.Err() == nil && w.alive && w.healed == nil && o.Wait > 0 {
		changed := w.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		w.fleet.mu.Lock()
	}
	for w.healed != nil {
		// The answer is held back by the cut, and lost if the caller has given up.
		healed := w.healed
		w.fleet.mu.Unlock()
		select {
		case <-healed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		w.fleet.mu.Lock()
	}
	defer w.fleet.mu.Unlock()
	now = time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.runs {
		running = append(running, []any{x.task, x.number, "", x.percent(now), 0})
	}
	for _, x := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{x.end, x.task, x.number, x.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(now), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}

// percent returns the progress of a run. A task that lasts is at work after its startup.
func (r *run) percent(now time.Time) int {
	switch {
	case r.working.IsZero():
		return 0
	case r.work.MS > 0:
		return int(min(100, 100*now.Sub(r.working).Milliseconds()/int64(r.work.MS)))
	case now.Sub(r.working) < startupTime:
		return 0
	}
	return 100
}
