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
	// Settings tell what to measure.
	Settings struct {
		Plain    netip.AddrPort
		Instance netip.AddrPort
		// PlainProcess and InstanceProcess are the process ids of the sides.
		PlainProcess    int
		InstanceProcess int
		Service         string
		Key             string
		// Rounds is the number of measurements of each side.
		Rounds  int
		Threads int
		// For is the time of one measurement.
		For      time.Duration
		BodySize int
	}

	// Sample is one measurement of one side.
	Sample struct {
		Requests int
		Failures int
		Took     time.Duration
		// Median and High are times to answer, High that of 99%.
		Median time.Duration
		High   time.Duration
		// Processor is the processor time that the side used.
		Processor time.Duration
	}

	// Round has one measurement of each side.
	Round struct {
		Plain    Sample
		Instance Sample
	}

	// sender sends requests to one address.
	sender struct {
		settings Settings
		to       netip.AddrPort
		process  int
		label    string
		client   *http.Client
		body     []byte
	}

	// tally is what one thread counted.
	tally struct {
		times    []time.Duration
		failures int
	}
)

// highShare is the share of the requests that are answered within Sample.High.
const highShare = 0.99

var errNothing = errors.New("no request was answered")

// Run measures both sides in turn. The first round is not counted: connections
// are made and limits rise in it.
func Run(ctx context.Context, s Settings) ([]Round, error) {
	plain := newSender(s, s.Plain, s.PlainProcess, "plain")
	instance := newSender(s, s.Instance, s.InstanceProcess, "instance")
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
		for _, do := range order {
			if err := do(); err != nil {
				return rounds, fmt.Errorf("round %d: %w", n, err)
			}
		}
		if r.Plain.Requests == 0 || r.Instance.Requests == 0 {
			return rounds, fmt.Errorf("round %d: %w", n, errNothing)
		}
		if n > 0 {
			rounds = append(rounds, r)
		}
	}
	return rounds, nil
}

func newSender(s Settings, to netip.AddrPort, process int, label string) *sender {
	return &sender{
		settings: s, to: to, process: process, label: label, client: newClient(), body: []byte(strings.Repeat("x", s.BodySize)),
	}
}

// measure runs the closed loop once.
func (s *sender) measure(ctx context.Context, round int) (Sample, error) {
	before, err := processorTime(s.process)
	if err != nil {
		return Sample{}, err
	}
	begin := time.Now()
	end := begin.Add(s.settings.For)
	tallies := make([]tally, s.settings.Threads)
	var threads sync.WaitGroup
	for i := range tallies {
		threads.Go(func() { tallies[i] = s.loop(ctx, fmt.Sprintf("%s-%d-%d", s.label, round, i), end) })
	}
	threads.Wait()
	all := summary(tallies, time.Since(begin))
	after, err := processorTime(s.process)
	all.Processor = after - before
	return all, err
}

func (s *sender) loop(ctx context.Context, name string, end time.Time) tally {
	var t tally
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		begin := time.Now()
		if s.send(ctx, fmt.Sprintf("%s-%d", name, n)) {
			t.times = append(t.times, time.Since(begin))
		} else {
			t.failures++
		}
	}
	return t
}

// send reports whether the whole answer came.
func (s *sender) send(ctx context.Context, id string) bool {
	url := "http://" + s.to.String() + wire.PathServices + "/" + s.settings.Service + "/requests"
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
	answer, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && bytes.Contains(answer, []byte(`"`+id+`"`))
}

func summary(all []tally, took time.Duration) Sample {
	s := Sample{Took: took}
	var times []time.Duration
	for _, t := range all {
		times = append(times, t.times...)
		s.Failures += t.failures
	}
	s.Requests = len(times)
	if len(times) > 0 {
		slices.Sort(times)
		s.Median = times[len(times)/2]
		s.High = times[int(highShare*float64(len(times)-1))]
	}
	return s
}

// Cost returns the processor time of one request.
func (s Sample) Cost() time.Duration { return s.Processor / time.Duration(max(s.Requests, 1)) }

// Rate returns the answers per second.
func (s Sample) Rate() float64 { return float64(s.Requests) / s.Took.Seconds() }
