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
	// balancer sends calls to the ready instances of one site, as a load
	// balancer in front of them would do.
	balancer struct {
		instances   []PlanInstance
		operatorKey string
		client      *http.Client

		mu       sync.Mutex
		random   *rand.Rand
		ready    []PlanInstance
		versions []VersionSample
	}

	// callSpec is what one call sends. The key is the API key of the workspace
	// or operator.
	callSpec struct {
		method, path, key string
		header            map[string]string
		body              []byte
	}

	// callResponse is the HTTP response to one call, read to its end.
	callResponse struct {
		status int
		header http.Header
		body   []byte
	}
)

const (
	// pollInterval is the period of readiness checks. It is well below the 2 s
	// for which an instance still serves after the begin of a planned stop.
	pollInterval = 200 * time.Millisecond
	// pollTimeout bounds one readiness check.
	pollTimeout = time.Second
	// callTimeout bounds one call. It is above jobWait, the longest time for
	// which a call waits for the end of a job.
	callTimeout = 15 * time.Second
	// idleConnections is the number of idle connections kept to each instance,
	// so that few calls have to set up a connection.
	idleConnections = 64
)

var errStatus = errors.New("unexpected status")

func newBalancer(instances []PlanInstance, operatorKey string, seed uint64) *balancer {
	t := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	return &balancer{
		instances: instances, operatorKey: operatorKey,
		client: &http.Client{Transport: t},
		random: rand.New(rand.NewPCG(seed, uint64(len(instances)))),
	}
}

// watch polls the instances until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		b.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// poll checks the readiness of all instances concurrently and reads the
// version of those that are ready, so that one that does not answer delays the
// others by no more than pollTimeout.
func (b *balancer) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	ready := make([]bool, len(b.instances))
	versions := make([]VersionSample, len(b.instances))
	var polls sync.WaitGroup
	for i, in := range b.instances {
		polls.Go(func() {
			resp, err := b.send(ctx, in.Address, callSpec{method: http.MethodGet, path: wire.PathReady})
			ready[i] = err == nil && resp.status == http.StatusOK
			if ready[i] {
				versions[i] = b.version(ctx, in)
			}
		})
	}
	polls.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = b.ready[:0]
	for i, in := range b.instances {
		if ready[i] {
			b.ready = append(b.ready, in)
		}
		if versions[i].Version > 0 {
			b.versions = append(b.versions, versions[i])
		}
	}
}

// version reads the configuration version in force at an instance. It is -1 if
// the instance does not answer.
func (b *balancer) version(ctx context.Context, in PlanInstance) VersionSample {
	v := VersionSample{Instance: in.Name, Version: -1}
	if s, err := b.status(ctx, in); err == nil {
		v.Version = s.Version
	}
	v.At = time.Now()
	return v
}

func (b *balancer) status(ctx context.Context, in PlanInstance) (wire.Status, error) {
	var s wire.Status
	resp, err := b.send(ctx, in.Address, callSpec{method: http.MethodGet, path: wire.PathAdmin + "/status", key: b.operatorKey})
	if err != nil {
		return s, err
	}
	if resp.status != http.StatusOK {
		return s, fmt.Errorf("status of %s: HTTP %d: %w", in.Name, resp.status, errStatus)
	}
	if err := json.Unmarshal(resp.body, &s); err != nil {
		return s, fmt.Errorf("decode status of %s: %w", in.Name, err)
	}
	return s, nil
}

// pick returns a random ready instance, or a random one of all if none is
// ready.
func (b *balancer) pick() PlanInstance {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := b.ready
	if len(from) == 0 {
		from = b.instances
	}
	return from[b.random.IntN(len(from))]
}

// isReady reports whether as many instances are ready as there are without the
// spares.
func (b *balancer) isReady() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	want := 0
	for _, in := range b.instances {
		if !in.Spare {
			want++
		}
	}
	return len(b.ready) >= want
}

// polledVersions returns the versions that the polls have read so far.
func (b *balancer) polledVersions() []VersionSample {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]VersionSample(nil), b.versions...)
}

// send makes one call within callTimeout and reads the whole response.
func (b *balancer) send(ctx context.Context, address netip.AddrPort, spec callSpec) (callResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return send(ctx, b.client, address, spec)
}
