package perf

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/pkg/errors"
)

type (
	// Settings configure a run.
	Settings struct {
		// Plain and Instance are the addresses of the two targets, the plain
		// handler and the entry instance.
		Plain    netip.AddrPort
		Instance netip.AddrPort
		// PlainPID and InstancePID are the process ids of the targets.
		PlainPID    int
		InstancePID int
		Service     string
		Key         string
		// Rounds is the number of measurements of each target.
		Rounds int
		// Threads is the number of concurrent requests.
		Threads int
		// Duration is the length of one measurement.
		Duration time.Duration
		BodySize int
	}

	// Sample is one measurement of one target.
	Sample struct {
		// Requests counts the requests that succeeded.
		Requests int
		Failures int
		Elapsed  time.Duration
		// Median and P99 are percentiles of the latency of these requests.
		Median time.Duration
		P99    time.Duration
		// ProcessorTime is the processor time used by the target.
		ProcessorTime time.Duration
	}

	// Round holds one measurement of each target.
	Round struct {
		Plain    Sample
		Instance Sample
	}

	// sender sends the requests of all threads to one target.
	sender struct {
		settings Settings
		address  netip.AddrPort
		pid      int
		label    string
		client   *http.Client
		body     []byte
	}

	// tally holds the results of one thread.
	tally struct {
		latencies []time.Duration
		failures  int
	}
)

// p99Quantile is the quantile that Sample.P99 reports.
const p99Quantile = 0.99

var errNoSuccess = errors.New("no request to one of the targets succeeded")

// Run measures both targets in each round. It discards an additional first
// round, in which connections are opened and the adaptive concurrency limits of
// the endpoints rise.
func Run(ctx context.Context, s Settings) ([]Round, error) {
	plain := newSender(s, s.Plain, s.PlainPID, "plain")
	instance := newSender(s, s.Instance, s.InstancePID, "instance")
	var rounds []Round
	for n := range s.Rounds + 1 {
		var r Round
		order := []func() error{
			func() (err error) { r.Plain, err = plain.measure(ctx, n); return err },
			func() (err error) { r.Instance, err = instance.measure(ctx, n); return err },
		}
		if n%2 == 1 {
			slices.Reverse(order)
		}
		for _, measure := range order {
			if err := measure(); err != nil {
				return rounds, fmt.Errorf("round %d: %w", n, err)
			}
		}
		if r.Plain.Requests == 0 || r.Instance.Requests == 0 {
			return rounds, fmt.Errorf("round %d: %w", n, errNoSuccess)
		}
		if n > 0 {
			rounds = append(rounds, r)
		}
	}
	return rounds, nil
}

func newSender(s Settings, address netip.AddrPort, pid int, label string) *sender {
	return &sender{
		settings: s, address: address, pid: pid, label: label, client: newClient(), body: []byte(strings.Repeat("x", s.BodySize)),
	}
}

// measure runs the load of all threads once.
func (s *sender) measure(ctx context.Context, round int) (Sample, error) {
	before, err := processorTime(s.pid)
	if err != nil {
		return Sample{}, err
	}
	start := time.Now()
	end := start.Add(s.settings.Duration)
	tallies := make([]tally, s.settings.Threads)
	var threads sync.WaitGroup
	for i := range tallies {
		threads.Go(func() { tallies[i] = s.loop(ctx, fmt.Sprintf("%s-%d-%d", s.label, round, i), end) })
	}
	threads.Wait()
	sample := summarize(tallies, time.Since(start))
	after, err := processorTime(s.pid)
	sample.ProcessorTime = after - before
	return sample, err
}

// loop sends one request after the other until end.
func (s *sender) loop(ctx context.Context, prefix string, end time.Time) tally {
	var t tally
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		start := time.Now()
		if s.send(ctx, fmt.Sprintf("%s-%d", prefix, n)) {
			t.latencies = append(t.latencies, time.Since(start))
		} else {
			t.failures++
		}
	}
	return t
}

// send sends one request and reports whether it received the complete response
// to it. The response must contain the request identifier, so that a response
// to another request counts as a failure.
func (s *sender) send(ctx context.Context, id string) bool {
	url := "http://" + s.address.String() + wire.PathServices + "/" + s.settings.Service + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(s.body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+s.settings.Key)
	req.Header.Set("Content-Type", "text/plain")
	req.Header.Set(wire.HeaderRequestID, id)
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && bytes.Contains(body, []byte(`"`+id+`"`))
}

func summarize(tallies []tally, elapsed time.Duration) Sample {
	s := Sample{Elapsed: elapsed}
	var latencies []time.Duration
	for _, t := range tallies {
		latencies = append(latencies, t.latencies...)
		s.Failures += t.failures
	}
	s.Requests = len(latencies)
	if len(latencies) > 0 {
		slices.Sort(latencies)
		s.Median = latencies[len(latencies)/2]
		s.P99 = latencies[int(p99Quantile*float64(len(latencies)-1))]
	}
	return s
}

// ProcessorTimePerRequest returns the mean processor time of a request.
func (s Sample) ProcessorTimePerRequest() time.Duration {
	return s.ProcessorTime / time.Duration(max(s.Requests, 1))
}

// Throughput returns the successful requests per second.
func (s Sample) Throughput() float64 { return float64(s.Requests) / s.Elapsed.Seconds() }
