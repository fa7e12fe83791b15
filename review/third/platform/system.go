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
	"slices"
	"strings"
	"syscall"
	"time"
)

type (
	// instance is a process of the system.
	instance struct {
		name, front, ready, settings string
		cmd                          *exec.Cmd
	}

	// system is the deployment: the processes, the store and the runners.
	system struct {
		record    *record
		store     *store
		fleet     *fleet
		instances []*instance
		dir       string
		storeAddr string
		client    *http.Client
		// taken are the addresses of the instances.
		taken []string
	}
)

const (
	// command and settingsTemplate are those of deploy/system.toml.
	command          = "target/baobabquayd"
	settingsTemplate = "deploy/settings.ini"
	readyTimeout     = 15 * time.Second
	callerTimeout    = 3 * time.Second
	host             = "desk.example"
)

// startSystem starts the store and the instances, and writes the config.
func startSystem(r *record, instances int, config map[string]any, service string) (*system, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	s := &system{record: r, store: newStore(), dir: dir, client: &http.Client{Timeout: callerTimeout}}
	s.fleet = newFleet(s.store, r, service)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, fmt.Errorf("store: %w", err)
	}
	s.storeAddr = l.Addr().String()
	go func() { _ = (&http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	s.store.put("op", "config", config)
	for i := range instances {
		inst, err := s.newInstance(fmt.Sprintf("edge-a-%d", i+1))
		if err != nil {
			return s, err
		}
		s.instances = append(s.instances, inst)
		if err := s.start(inst); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

// loopback is the loopback address of the instances of this process, so that no other process takes
// one of their ports before they start.
var loopback = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8%128, os.Getpid()%256)

// freeAddress returns an address of loopback whose port is free.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newInstance writes the settings of an instance, as the platform fills in the template.
func (s *system) newInstance(name string) (*instance, error) {
	var addresses [4]string
	for i := range addresses {
		for addresses[i] == "" || slices.Contains(s.taken, addresses[i]) {
			a, err := freeAddress()
			if err != nil {
				return nil, err
			}
			addresses[i] = a
		}
		s.taken = append(s.taken, addresses[i])
	}
	port := func(a string) string { return a[strings.LastIndexByte(a, ':')+1:] }
	text, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, fmt.Errorf("template: %w", err)
	}
	filled := strings.NewReplacer(
		"{{node}}", name, "{{zone}}", "zone-a", "{{region}}", "region-a", "{{listen.front}}", addresses[0], "{{listen.ready}}", addresses[1],
		"{{ip}}", loopback, "{{port_range.0}}", port(addresses[2]), "{{port_range.1}}", port(addresses[3]),
		"{{platform.address}}", s.storeAddr, "{{advice}}", "", "{{limits.cpu_share}}", "0.4", "{{limits.link_mbps}}", "1000.0",
		"{{bounds.hold_max_ms}}", "6000", "{{bounds.grace_s}}", "6", "{{bounds.status_s}}", "120",
	).Replace(string(text))
	inst := &instance{name: name, front: addresses[0], ready: addresses[1], settings: filepath.Join(s.dir, name+".ini")}
	if err := os.WriteFile(inst.settings, []byte(filled), 0o600); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return inst, nil
}

func (s *system) start(inst *instance) error {
	log, err := os.OpenFile(filepath.Join(s.dir, inst.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	inst.cmd = exec.Command(command, "--platform")
	inst.cmd.Env = []string{"BAOBABQUAY_CONFIG=" + inst.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	inst.cmd.Stdout, inst.cmd.Stderr = log, log
	// The instances end with this process, whatever ends it.
	inst.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := inst.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", inst.name, err)
	}
	s.record.add("instance %s starts", inst.name)
	return nil
}

func (s *system) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, inst := range s.instances {
			if resp, err := s.client.Get("http://" + inst.ready + "/v1/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.instances) {
			return nil
		}
	}
	return fmt.Errorf("the instances were not ready after %v", readyTimeout)
}

// stop ends the processes that were started, and removes the temporary folder.
func (s *system) stop() {
	for _, inst := range s.instances {
		if inst.cmd == nil || inst.cmd.Process == nil {
			continue
		}
		_ = inst.cmd.Process.Signal(syscall.SIGKILL)
		_ = inst.cmd.Wait()
	}
	if os.Getenv("REVIEW3_KEEP") != "" {
		fmt.Println("logs in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// call makes a call of a client at an instance. The status is 0 if there is no answer.
func (s *system) call(inst *instance, method, path, key string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		reader = bytes.NewReader(b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+inst.front+path, reader)
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("X-Baobabquay-Key", key)
	req.Header.Set("X-Baobabquay-Timeout-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		s.record.add("client: %s %s at %s: no answer: %v", method, path, inst.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	var answer map[string]any
	b, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(b, &answer)
	s.record.add("client: %s %s at %s: %d %s", method, path, inst.name, resp.StatusCode, bytes.TrimSpace(b))
	return resp.StatusCode, answer
}

// submit hands a job in, again at the next instance while there is no answer, a 502 or a 504.
func (s *system) submit(path, key string, job any) bool {
	for try := range 5 {
		status, _ := s.call(s.instances[try%len(s.instances)], http.MethodPost, path, key, job)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
