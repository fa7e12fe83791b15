package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
	"github.com/pkg/errors"
)

type (
	// front stands for the load balancer: it knows which instances are ready.
	front struct {
		instances []PlanInstance
		operator  string
		client    *http.Client

		mu       sync.Mutex
		random   *rand.Rand
		ready    []PlanInstance
		versions []Version
	}

	// message is one HTTP request.
	message struct {
		method, path, key string
		header            map[string]string
		body              []byte
	}

	// response is a whole HTTP response.
	response struct {
		status int
		header http.Header
		body   []byte
	}
)

const (
	// pollEvery is the period of readiness checks. The instances serve on for
	// 2 s after the begin of a planned stop.
	pollEvery = 200 * time.Millisecond
	// pollLimit bounds one readiness check.
	pollLimit = time.Second
	// callLimit bounds one call, above the longest wait for a job.
	callLimit = 15 * time.Second
	// idleConnections per instance keep the load off the connection set-up.
	idleConnections = 64
)

var errStatus = errors.New("unexpected status")

func newFront(instances []PlanInstance, operator string, seed uint64) *front {
	t := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	return &front{
		instances: instances, operator: operator,
		client: &http.Client{Transport: t},
		random: rand.New(rand.NewPCG(seed, uint64(len(instances)))),
	}
}

// watch polls the instances until ctx ends.
func (f *front) watch(ctx context.Context) {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		f.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// poll asks all instances at once, so that one that does not answer delays the
// others by no more than pollLimit.
func (f *front) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	ready := make([]bool, len(f.instances))
	versions := make([]Version, len(f.instances))
	var polls sync.WaitGroup
	for i, in := range f.instances {
		polls.Go(func() {
			r, err := f.send(ctx, in.Address, message{method: http.MethodGet, path: wire.PathReady})
			ready[i] = err == nil && r.status == http.StatusOK
			if ready[i] {
				versions[i] = f.version(ctx, in)
			}
		})
	}
	polls.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = f.ready[:0]
	for i, in := range f.instances {
		if ready[i] {
			f.ready = append(f.ready, in)
		}
		if versions[i].Version > 0 {
			f.versions = append(f.versions, versions[i])
		}
	}
}

// version returns the version in force at an instance, -1 without an answer.
func (f *front) version(ctx context.Context, in PlanInstance) Version {
	v := Version{Instance: in.Name, Version: -1}
	if s, err := f.status(ctx, in); err == nil {
		v.Version = s.Version
	}
	v.At = time.Now()
	return v
}

func (f *front) status(ctx context.Context, in PlanInstance) (wire.Status, error) {
	var s wire.Status
	r, err := f.send(ctx, in.Address, message{method: http.MethodGet, path: wire.PathAdmin + "/status", key: f.operator})
	if err != nil {
		return s, err
	}
	if r.status != http.StatusOK {
		return s, fmt.Errorf("status of %s: %d: %w", in.Name, r.status, errStatus)
	}
	if err := json.Unmarshal(r.body, &s); err != nil {
		return s, fmt.Errorf("decode status of %s: %w", in.Name, err)
	}
	return s, nil
}

// pick returns a random instance that is ready, or any one if none is.
func (f *front) pick() PlanInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := f.ready
	if len(from) == 0 {
		from = f.instances
	}
	return from[f.random.IntN(len(from))]
}

// isReady reports whether all instances but the spare ones are ready.
func (f *front) isReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	want := 0
	for _, in := range f.instances {
		if !in.Spare {
			want++
		}
	}
	return len(f.ready) >= want
}

// seen returns the versions that were read so far.
func (f *front) seen() []Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Version(nil), f.versions...)
}

// send makes one call and reads the whole response.
func (f *front) send(ctx context.Context, to netip.AddrPort, m message) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return send(ctx, f.client, to, m)
}
