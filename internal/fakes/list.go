package fakes

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/plat"
)

type (
	// List is a list of instances in memory.
	List struct {
		Faults Faults

		lag time.Duration

		mu      sync.Mutex
		history map[string][]sighting
	}

	// sighting is a registration, valid from at to until.
	sighting struct {
		at       time.Time
		until    time.Time
		instance plat.Instance
	}
)

const (
	// renewEvery is the time between renewals of a registration.
	renewEvery = time.Second
	// renewTTL is the time after which an instance that stopped renewing is
	// taken off the list.
	renewTTL = 5 * time.Second
	// renewLimit bounds one call to the list.
	renewLimit = 2 * time.Second
)

// NewList returns an empty list whose readers see the state of lag ago.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, history: make(map[string][]sighting)}
}

// Plat returns the calls to l.
func (l *List) Plat() plat.List {
	return plat.List{
		Read: func(ctx context.Context) ([]plat.Instance, error) {
			return storeCall(ctx, &l.Faults, false, func() ([]plat.Instance, error) { return l.read(time.Now()), nil })
		},
		Register: func(ctx context.Context, i plat.Instance, ttl time.Duration) error {
			_, err := storeCall(ctx, &l.Faults, true, func() (struct{}, error) {
				now := time.Now()
				l.add(sighting{at: now, until: now.Add(ttl), instance: i})
				return struct{}{}, nil
			})
			return err
		},
		Remove: func(ctx context.Context, i plat.Instance) error {
			_, err := storeCall(ctx, &l.Faults, true, func() (struct{}, error) {
				now := time.Now()
				l.add(sighting{at: now, until: now, instance: i})
				return struct{}{}, nil
			})
			return err
		},
	}
}

// read returns the instances that were valid lag before now, ordered by name.
func (l *List) read(now time.Time) []plat.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := now.Add(-l.lag)
	var is []plat.Instance
	for name := range l.history {
		l.prune(name, seen)
		if s, ok := latest(l.history[name], seen); ok && seen.Before(s.until) {
			is = append(is, s.instance)
		}
	}
	slices.SortFunc(is, func(a, b plat.Instance) int { return strings.Compare(a.Name(), b.Name()) })
	return is
}

func (l *List) add(s sighting) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := s.instance.Name()
	l.history[name] = append(l.history[name], s)
	l.prune(name, s.at.Add(-l.lag))
}

// prune drops what no reader can see any more.
func (l *List) prune(name string, seen time.Time) {
	h := l.history[name]
	for len(h) > 1 && !h[1].at.After(seen) {
		h = h[1:]
	}
	if len(h) == 1 && !h[0].until.After(seen) {
		delete(l.history, name)
		return
	}
	l.history[name] = h
}

// latest returns the last sighting at or before seen.
func latest(h []sighting, seen time.Time) (sighting, bool) {
	for _, s := range slices.Backward(h) {
		if !s.at.After(seen) {
			return s, true
		}
	}
	return sighting{}, false
}

// Register keeps an instance on the list until ctx ends and then removes it.
// The state of the instance is asked for at each renewal and each time changed
// yields; changed may be nil. A failed renewal is repeated at the next one.
func Register(ctx context.Context, l plat.List, changed <-chan struct{}, current func() plat.Instance) {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		renew(ctx, func(ctx context.Context) error { return l.Register(ctx, current(), renewTTL) })
		select {
		case <-tick.C:
		case <-changed:
		case <-ctx.Done():
			renew(context.WithoutCancel(ctx), func(ctx context.Context) error { return l.Remove(ctx, current()) })
			return
		}
	}
}

// renew makes one call. The result is ignored: an instance whose renewals fail
// vanishes from the list, which is what readers must handle anyway.
func renew(ctx context.Context, do func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, renewLimit)
	defer cancel()
	_ = do(ctx)
}
