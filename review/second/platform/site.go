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
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// site is a small deployment on loopback addresses: the store, the runners and
	// the instances of the program as processes. It records what it sees.
	site struct {
		begun     time.Time
		room      capacity
		record    *os.File
		folder    string
		store     *store
		storeAddr string
		runners   []*runner
		instances []*instance
		client    *http.Client

		mu sync.Mutex
		// ports has the ports that freePorts has returned.
		ports map[int]bool
		// steps has the steps of each job that was sent, and starts the starts that runners
		// have carried out, by job, and begunOf the tasks that they have started. gangs has
		// the gangs by step and run.
		steps   map[string][]step
		begunOf map[string]map[string]bool
		starts  map[string]int
		// lateJob is the job whose first start arrives late, and lateRunner its runner.
		lateJob    string
		lateRunner *runner
		gangs      map[string]*gang
	}

	// instance is one process of the program.
	instance struct {
		name, front, ready, settings string
		cmd                          *exec.Cmd
	}

	// job is the body of a submission.
	job struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
	}

	step struct {
		capacity
		Count       int    `json:"count"`
		EstimateMS  int64  `json:"estimate_ms,omitempty"`
		Requires    string `json:"requires,omitempty"`
		Affinity    string `json:"affinity,omitempty"`
		Gang        bool   `json:"gang,omitempty"`
		LongRunning bool   `json:"long_running,omitempty"`
		MayMiss     int    `json:"may_miss,omitempty"`
	}
)

// The figures of khangai-fontdesk.
const (
	service   = "licence-desk"
	host      = "desk.example"
	holdMaxMS = 10000
	callTime  = 3 * time.Second

	storeRegion = "ulaanbaatar"

	runnersPerZone = 16
	runnersPerRack = 8
)

var (
	zones     = []string{"ub-east", "ub-west", "erd-north"}
	regions   = map[string]string{"ub-east": storeRegion, "ub-west": storeRegion, "erd-north": "erdenet"}
	instances = map[string]int{"ub-east": 3, "erd-north": 3, "ub-west": 2}
	fullRoom  = capacity{CPU: 64000, MemoryMB: 262144, GPU: 8}
)

// placeholder is a field of the template of the settings.
var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)\}\}`)

// config is the operator's configuration: two tenants, and a queue for each priority.
const config = `{"version":7,"limits":{"max_body_bytes":262144},
"services":[{"name":"licence-desk","enforces_capacity":true}],
"routes":[
{"name":"urgent","host":"desk.example","path_prefix":"/urgent/","service":"licence-desk","priority":0,"max_attempts":3,"slack_factor":1.5,"slo_ms":500},
{"name":"plain","host":"desk.example","path_prefix":"/plain/","service":"licence-desk","priority":2,"max_attempts":3,"slack_factor":3,"slo_ms":3000}],
"tenants":[
{"name":"north","api_keys":["key-north"],"guaranteed":{"gpu":64}},
{"name":"south","api_keys":["key-south"],"guaranteed":{"gpu":64}}]}`

// newSite starts a site and waits until all instances are ready and know the runners.
func newSite(recordPath string, room capacity) *site {
	s := &site{
		room:  room,
		begun: time.Now(), store: newStore(), client: &http.Client{Timeout: callTime + time.Second},
		ports: make(map[int]bool), steps: make(map[string][]step), starts: make(map[string]int), gangs: make(map[string]*gang), begunOf: make(map[string]map[string]bool),
	}
	var err error
	s.record, err = os.Create(recordPath)
	s.check(err)
	s.folder, err = os.MkdirTemp("", "review-")
	s.check(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.check(err)
	s.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, s.store.handler()) }()
	s.store.put("op", "config", json.RawMessage(config))
	for z, zone := range zones {
		for i := range runnersPerZone {
			rack := fmt.Sprintf("r%d-%d", z+1, i/runnersPerRack+1)
			s.runners = append(s.runners, startRunner(s, fmt.Sprintf("i-%d%02d", z+1, i), zone, []string{"a", rack}, s.room))
		}
	}
	for _, zone := range zones {
		for i := range instances[zone] {
			in := s.newInstance(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
			s.instances = append(s.instances, in)
			s.startInstance(in)
		}
	}
	s.await("all instances are ready", 15*time.Second, func() bool {
		for _, in := range s.instances {
			if !s.isReady(in) {
				return false
			}
		}
		return true
	})
	// The leader calls the runners meanwhile.
	time.Sleep(3 * time.Second)
	return s
}

// check ends the case as one that could not run if err is not nil.
func (s *site) check(err error) {
	if err != nil {
		s.fail("the case could not run: %v", err)
	}
}

// fail ends the case as one that could not run.
func (s *site) fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	s.stop()
	os.Exit(exitNotRun)
}

// note records what someone did or saw.
func (s *site) note(who, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %-16s %s\n", time.Since(s.begun).Seconds(), who, fmt.Sprintf(format, args...))
}

// noteStart records a start that a runner has carried out.
func (s *site) noteStart(r *runner, task string, run int64) {
	s.mu.Lock()
	id := strings.Split(task, ".")[0]
	s.starts[id]++
	if s.begunOf[id] == nil {
		s.begunOf[id] = make(map[string]bool)
	}
	s.begunOf[id][task] = true
	s.mu.Unlock()
	s.note("runner "+r.id, "starts task %s run %d", task, run)
}

// startsOf returns the number of starts of a job that runners have carried out.
func (s *site) startsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[id]
}

// begunTasks returns the number of tasks of a job of which a run was started.
func (s *site) begunTasks(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.begunOf[id])
}

// stepOf returns the step of a task.
func (s *site) stepOf(task string) step {
	parts := strings.Split(task, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	index, err := strconv.Atoi(parts[2])
	if steps := s.steps[parts[0]]; err == nil && index < len(steps) {
		return steps[index]
	}
	return step{}
}

// await waits until a condition holds, and ends the case if it does not in time.
func (s *site) await(what string, limit time.Duration, holds func() bool) {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.fail("the case could not run: not after %v: %s", limit, what)
		}
	}
	s.note("case", "%s", what)
}

// loopback is the loopback address of this process. Connections that the system makes come
// from 127.0.0.1, so that none of them takes a port of an instance.
var loopback = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8%128, os.Getpid()%256)

// freePorts returns the first of two adjacent ports that are free and that it has not
// returned before.
func (s *site) freePorts() int {
	for {
		a, err := net.Listen("tcp", loopback+":0")
		s.check(err)
		port := a.Addr().(*net.TCPAddr).Port
		b, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, port+1))
		s.check(a.Close())
		if err != nil {
			continue
		}
		s.check(b.Close())
		if !s.ports[port] && !s.ports[port+1] {
			s.ports[port], s.ports[port+1] = true, true
			return port
		}
	}
}

// newInstance writes the settings of an instance by the template of the deploy file.
func (s *site) newInstance(name, zone string) *instance {
	front, ports := s.freePorts(), s.freePorts()
	in := &instance{
		name: name, front: fmt.Sprintf("%s:%d", loopback, front), ready: fmt.Sprintf("%s:%d", loopback, front+1),
		settings: filepath.Join(s.folder, name+".ini"),
	}
	template, err := os.ReadFile("deploy/settings.ini")
	s.check(err)
	fields := map[string]string{
		"node": name, "zone": zone, "region": regions[zone], "listen.front": in.front, "listen.ready": in.ready,
		"ip": loopback, "port_range.0": strconv.Itoa(ports), "port_range.1": strconv.Itoa(ports + 1),
		"platform.address": s.storeFor(zone), "limits.cpu_share": "0.4", "limits.link_mbps": "1000.0",
		"bounds.hold_max_ms": strconv.Itoa(holdMaxMS), "bounds.grace_s": "6", "bounds.status_s": "120",
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string { return fields[strings.Trim(p, "{}")] })
	s.check(os.WriteFile(in.settings, []byte(text), 0o600))
	return in
}

// storeFor returns the address at which the instances of a zone reach the store, which
// stands in ulaanbaatar.
func (s *site) storeFor(zone string) string {
	if regions[zone] == storeRegion {
		return s.storeAddr
	}
	return delayProxy(s, s.storeAddr)
}

// leaderZone returns the zone of the instance that leads, empty if there is none.
func (s *site) leaderZone() string {
	var lease struct{ Node string }
	if json.Unmarshal(s.store.get("term", "term", "lease"), &lease) != nil {
		return ""
	}
	for _, zone := range zones {
		if strings.Contains(lease.Node, zone) {
			return zone
		}
	}
	return ""
}

// startInstance starts the process of an instance with the command of the deploy file.
func (s *site) startInstance(in *instance) {
	log, err := os.OpenFile(in.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.check(err)
	in.cmd = exec.Command("target/baobabquayd", "--platform")
	in.cmd.Env = append(os.Environ(), "BAOBABQUAY_CONFIG="+in.settings)
	in.cmd.Stdout, in.cmd.Stderr = log, log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.check(in.cmd.Start())
	s.check(log.Close())
}

func (s *site) isReady(in *instance) bool {
	resp, err := s.client.Get("http://" + in.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes that the site has started.
func (s *site) stop() {
	for _, in := range s.instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Kill()
			_ = in.cmd.Wait()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" && s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
}

// call sends a call of a client to an instance and returns the answer. The status is 0
// if there is none.
func (s *site) call(in *instance, method, key, path string, body any) (int, []byte) {
	var sent io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		s.check(err)
		sent = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+in.front+path, sent)
	s.check(err)
	req.Host = host
	req.Header.Set("X-Baobabquay-Key", key)
	req.Header.Set("X-Baobabquay-Timeout-Ms", strconv.FormatInt(callTime.Milliseconds(), 10))
	req.Header.Set("Content-Type", "application/json")
	status, answer := 0, []byte(nil)
	if resp, err := s.client.Do(req); err == nil {
		status = resp.StatusCode
		answer, _ = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	s.note("client", "%s %s at %s: %d %s", method, path, in.name, status, answer)
	return status, answer
}

// submit hands a job in at an instance, which must accept it.
func (s *site) submit(in *instance, key, path, id string, j job) {
	s.mu.Lock()
	s.steps[id] = j.Steps
	s.mu.Unlock()
	if status, _ := s.call(in, http.MethodPost, key, path+id, j); status != http.StatusOK {
		s.fail("the case could not run: job %s was answered %d", id, status)
	}
}

// atWork returns the number of tasks of a job that run.
func (s *site) atWork(id string) int {
	n := 0
	for _, r := range s.runners {
		n += r.atWork(id)
	}
	return n
}

// idleRunners returns the number of runners that are up and run nothing.
func (s *site) idleRunners() int {
	n := 0
	for _, r := range s.runners {
		r.mu.Lock()
		if !r.down && len(r.runs) == 0 {
			n++
		}
		r.mu.Unlock()
	}
	return n
}
