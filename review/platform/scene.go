package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// job is a job that a client has sent.
	job struct {
		ID         string `json:"-"`
		Queue      string `json:"-"`
		Spec       string `json:"spec"`
		Steps      []step `json:"steps"`
		Times      int    `json:"times,omitempty"`
		FirstMS    int64  `json:"first_ms,omitempty"`
		IntervalMS int64  `json:"interval_ms,omitempty"`
		// accepted is the time of the first 2xx answer, zero if there was none.
		accepted time.Time
	}

	// instance is an instance of the system. Its process is started again after it
	// has ended, or was killed for its memory, as the platform does.
	instance struct {
		s                  *scene
		name, front, ready string
		settings           string
		mu                 sync.Mutex
		cmd                *exec.Cmd
		exited             chan struct{}
		stopped            bool
		// ends counts how often the process has ended by itself or over its memory.
		ends int
	}

	// scene holds the stand-ins and the instances of one run of a case.
	scene struct {
		trouble   bool
		dir       string
		record    *os.File
		started   time.Time
		store     *store
		runners   []*runner
		instances []*instance
		// late is the runner that carries out an order late.
		late *runner

		mu       sync.Mutex
		jobs     map[string]*job
		runs     []*run
		nextID   int
		nextCall int
		breaches []string
	}

	route struct{ name, prefix, service string }
)

const (
	host     = "jobs.example"
	key      = "k-north"
	finishS  = 14 * time.Second
	idleTime = 3 * time.Second

	memoryMB     = 284
	restartDelay = time.Second
)

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		abort(err)
	}
	return l
}

// freeAddress returns a loopback address that nothing else uses. Connections that the
// system makes come from 127.0.0.1, so none of them can occupy its port.
func freeAddress() string {
	lastHost++
	l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", os.Getpid()%250, lastHost))
	if err != nil {
		abort(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// abort ends the program with the exit status for a case that could not run.
func abort(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	if current != nil {
		current.stop()
	}
	os.Exit(2)
}

var (
	// current is the scene that abort stops.
	current *scene
	// lastHost is the last part of the address that freeAddress has returned.
	lastHost = 1
	// starts takes functions that start processes. They run on one thread that
	// never ends, since a process is killed with the thread that has started it.
	starts = make(chan func())
)

func init() {
	go func() {
		runtime.LockOSThread()
		for f := range starts {
			f()
		}
	}()
}

func newScene(caseDir string, trouble bool) *scene {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		abort(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		abort(err)
	}
	s := &scene{trouble: trouble, dir: dir, record: record, started: time.Now(), store: newStore(), jobs: make(map[string]*job)}
	current = s
	return s
}

func (s *scene) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked(format, args...)
}

func (s *scene) logLocked(format string, args ...any) {
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule was broken.
func (s *scene) breach(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	s.breaches = append(s.breaches, text)
	s.logLocked("BROKEN %s", text)
}

// configure writes a version of the configuration.
func (s *scene) configure(version int, services []string, routes ...route) {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 3000,
			"priority": 1, "service": r.service, "max_attempts": 3, "slack_factor": 3.0, "public": false, "allowed_regions": []string{},
		})
		s.logf("configuration %d: queue %s is served by %s", version, r.prefix, r.service)
	}
	for _, name := range services {
		ss = append(ss, map[string]any{
			"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_s": 0.0,
			"cold_per_s": 0.0, "enforces_capacity": true, "spare": false,
		})
	}
	s.store.put("op", "config", map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "north", "api_keys": []string{key}, "priority": 1, "guaranteed": map[string]any{"gpu": 8}, "allowed_regions": []string{}}},
	})
}

// startInstances starts instances with the command of the deploy file and settings
// in the form of its template, and waits until they are ready.
func (s *scene) startInstances(n int) {
	l := listen()
	go func() { _ = http.Serve(l, s.store.handler()) }()
	for i := range n {
		inst := &instance{s: s, name: fmt.Sprintf("edge-%d", i+1), front: freeAddress(), ready: freeAddress()}
		inst.settings = filepath.Join(s.dir, inst.name+".ini")
		text := fmt.Sprintf("[instance]\nname = %s\ndomain = zone-1\nregion = region-1\nlisten = %s\nready = %s\npeer = %s\nmetrics = %s\n\n"+
			"[platform]\nstore = %s\nadvice = \n\n[limits]\ncores = 0.4\nlongestLease = %dms\ngrace = 6s\nretention = 120s\n\n[logs]\ndecisions = true\n",
			inst.name, inst.front, inst.ready, freeAddress(), freeAddress(), l.Addr(), holdMax.Milliseconds())
		if err := os.WriteFile(inst.settings, []byte(text), 0o600); err != nil {
			abort(err)
		}
		inst.start()
		go inst.watchMemory()
		s.instances = append(s.instances, inst)
	}
	for _, inst := range s.instances {
		for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			resp, err := http.Get("http://" + inst.ready + "/v1/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				abort(fmt.Errorf("%s is not ready; logs in %s", inst.name, s.dir))
			}
		}
	}
	s.logf("%d instances are ready", n)
}

// start starts the process of the instance. It is started again when it ends.
func (inst *instance) start() {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.stopped {
		return
	}
	out, err := os.OpenFile(filepath.Join(inst.s.dir, inst.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		abort(err)
	}
	defer out.Close()
	cmd := exec.Command("target/baobabquayd", "--platform")
	cmd.Env = append(os.Environ(), "BAOBABQUAY_CONFIG="+inst.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		abort(err)
	}
	inst.cmd, inst.exited = cmd, make(chan struct{})
	exited := inst.exited
	go func() {
		_ = cmd.Wait()
		inst.mu.Lock()
		inst.ends++
		stopped, ends := inst.stopped, inst.ends
		inst.mu.Unlock()
		close(exited)
		if !stopped {
			inst.s.logf("the process of %s has ended: %v, %d so far", inst.name, cmd.ProcessState, ends)
			time.Sleep(restartDelay)
			inst.start()
		}
	}()
}

// watchMemory kills the process when its memory exceeds the limit.
func (inst *instance) watchMemory() {
	for {
		time.Sleep(20 * time.Millisecond)
		inst.mu.Lock()
		pid := inst.cmd.Process.Pid
		inst.mu.Unlock()
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
		var size, resident int
		if err != nil {
			continue
		}
		if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
			continue
		}
		if mb := resident * os.Getpagesize() >> 20; mb > memoryMB {
			inst.s.logf("%s uses %d MB of memory, more than %d MB, and is killed", inst.name, mb, memoryMB)
			inst.mu.Lock()
			if inst.cmd.Process.Pid == pid {
				_ = inst.cmd.Process.Kill()
			}
			exited := inst.exited
			inst.mu.Unlock()
			<-exited
		}
	}
}

// stop ends all processes that the scene has started.
func (s *scene) stop() {
	for _, inst := range s.instances {
		inst.mu.Lock()
		inst.stopped = true
		exited := inst.exited
		_ = inst.cmd.Process.Kill()
		inst.mu.Unlock()
		<-exited
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// call makes a call of a client at the next instance. After no response, a 502 or a
// 504 it is repeated at another one.
func (s *scene) call(method, path string, body any) (int, string) {
	status, answer := 0, ""
	for range 5 {
		status, answer = s.callOnce(method, path, body)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status, answer
}

// callOnce makes a call of a client at the next instance.
func (s *scene) callOnce(method, path string, body any) (int, string) {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	s.mu.Lock()
	inst := s.instances[s.nextCall%len(s.instances)]
	s.nextCall++
	s.mu.Unlock()
	status, answer := send(method, inst.front, path, encoded)
	s.logf("%s %s at %s: %d %s", method, path, inst.name, status, answer)
	return status, answer
}

func send(method, address, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		abort(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Baobabquay-Key", key)
	req.Header.Set("X-Baobabquay-Timeout-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// submit sends a job of the given steps until it is accepted.
func (s *scene) submit(prefix string, steps ...step) *job {
	return s.submitJob(&job{Queue: prefix, Steps: steps})
}

// submitJob sends a job until it is accepted.
func (s *scene) submitJob(j *job) *job {
	if !s.offer(j) {
		abort(fmt.Errorf("job %s was not accepted", j.ID))
	}
	return j
}

// newJob gives a job its identifier and its text.
func (s *scene) newJob(j *job) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	j.ID = fmt.Sprintf("%016x", 0x5c0e7a2100000000+s.nextID)
	j.Spec = "spec of " + j.ID
	s.jobs[j.ID] = j
	return j
}

// offer sends a job and reports whether it was accepted.
func (s *scene) offer(j *job) bool {
	s.newJob(j)
	if status, _ := s.call(http.MethodPost, j.Queue+j.ID, j); status/100 != 2 {
		return false
	}
	s.mu.Lock()
	j.accepted = time.Now()
	s.mu.Unlock()
	return true
}

// phase asks for the state of a job.
func (s *scene) phase(j *job) string {
	status, answer := s.call(http.MethodGet, j.Queue+j.ID, nil)
	var p struct{ Phase string }
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &p) != nil {
		return fmt.Sprint(status)
	}
	return p.Phase
}

func (s *scene) job(id string) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id]
}

func (s *scene) beginRun(x *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, x)
	s.logLocked("run %d of %s begins at %s (kind %s, service %s)", x.number, x.task, x.runner, x.kind, x.service)
}

func (s *scene) endRun(x *run, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.ended, x.how = time.Now(), how
	s.logLocked("run %d of %s ends at %s: %s, after %v", x.number, x.task, x.runner, how, x.ended.Sub(x.begun).Round(10*time.Millisecond))
}

// taskRuns returns copies of the runs of a task, or of all tasks of a job.
func (s *scene) taskRuns(name string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []run
	for _, x := range s.runs {
		if x.task == name || strings.HasPrefix(x.task, name+".") {
			found = append(found, *x)
		}
	}
	return found
}

// roomFor returns how many tasks of a step fit on runners that may run them now,
// and the larger share of processors and accelerators in use on the services.
func (s *scene) roomFor(st *step, services []string) (int, float64) {
	room := 0
	var all, used demand
	for _, r := range s.runners {
		r.mu.Lock()
		usable := r.up && !r.draining && slices.Contains(services, r.service)
		if usable {
			free := r.free()
			all.CPU, all.GPU = all.CPU+r.capacity.CPU, all.GPU+r.capacity.GPU
			used.CPU, used.GPU = used.CPU+r.capacity.CPU-free.CPU, used.GPU+r.capacity.GPU-free.GPU
			for free := free; (st.Requires == "" || st.Requires == r.kind || st.Requires == r.rack) && st.demand.fits(free); room++ {
				free = demand{free.CPU - st.CPU, free.Mem - st.Mem, free.GPU - st.GPU}
			}
		}
		r.mu.Unlock()
	}
	return room, max(float64(used.CPU)/float64(max(all.CPU, 1)), float64(used.GPU)/float64(max(all.GPU, 1)))
}

// watch checks the part of LOST on jobs that stand still: for idleTime, a task has
// nothing running though its turn has come, there is room for it twice over and
// under half of the services' capacity is in use. The check of a task begins at
// from, and for tasks that last also 6 s after the end of their last run.
func (s *scene) watch(j *job, name string, from time.Time, services []string, until time.Time) {
	const afterLastRun = 6 * time.Second
	st := &j.Steps[0]
	var since time.Time
	reported := false
	for ; time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		running := false
		finished := make(map[string]bool)
		var last time.Time
		for _, x := range s.taskRuns(name) {
			running = running || x.ended.IsZero()
			if x.how == "done" {
				finished[x.task] = true
			}
			if x.ended.After(last) {
				last = x.ended
			}
		}
		done := len(finished) == st.Count
		room, used := s.roomFor(st, services)
		now := time.Now()
		held := done || running || now.Before(from) || room < 2 || used >= 0.5 ||
			st.LongRunning && now.Before(last.Add(afterLastRun))
		if held {
			since, reported = time.Time{}, false
			continue
		}
		if since.IsZero() {
			since = now
		}
		if !reported && now.Sub(since) >= idleTime {
			reported = true
			s.breach("LOST: %s has had nothing running for %v, though there is room for %d such tasks and %.0f%% of the capacity is in use; its job is shown as %s",
				name, now.Sub(since).Round(10*time.Millisecond), room, 100*used, s.phase(j))
		}
	}
}

// verdict prints the result and returns the exit status.
func (s *scene) verdict() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	const endsOfFault = 3
	faulty := 0
	for _, inst := range s.instances {
		inst.mu.Lock()
		if inst.ends >= endsOfFault {
			faulty++
		}
		inst.mu.Unlock()
	}
	// A tenth of the machines, two at least.
	if faulty >= max(2, (len(s.instances)+9)/10) {
		text := fmt.Sprintf("Fault: the processes of %d of %d machines have ended %d times or more", faulty, len(s.instances), endsOfFault)
		s.logLocked("BROKEN %s", text)
		s.breaches = append([]string{text}, s.breaches...)
	}
	if len(s.breaches) > 0 {
		fmt.Printf("broken, %d times; first: %s\n", len(s.breaches), s.breaches[0])
		return 1
	}
	fmt.Println("held")
	return 0
}
