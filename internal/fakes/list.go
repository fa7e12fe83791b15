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
	// List is the list of instances, in memory. Readers see it with a lag.
	List struct {
		Faults Faults

		lag time.Duration

		mu      sync.Mutex
		history map[string][]registration
	}

	// registration is the entry of an instance, valid from at to until.
	registration struct {
		at       time.Time
		until    time.Time
		instance plat.Instance
	}
)

const (
	// renewInterval is the time between renewals of a registration.
	renewInterval = time.Second
	// registrationTTL is the time after which a registration that is not
	// renewed expires.
	registrationTTL = 5 * time.Second
	// listTimeout bounds one call to the list.
	listTimeout = 2 * time.Second
)

// NewList returns an empty list whose readers see the state that it had lag ago.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, history: make(map[string][]registration)}
}

// Plat returns the calls to l.
func (l *List) Plat() plat.List {
	return plat.List{
		Read: func(ctx context.Context) ([]plat.Instance, error) {
			return storeCall(ctx, &l.Faults, false, func() ([]plat.Instance, error) { return l.read(time.Now()), nil })
		},
		Register: func(ctx context.Context, instance plat.Instance, ttl time.Duration) error {
			_, err := storeCall(ctx, &l.Faults, true, func() (struct{}, error) {
				now := time.Now()
				l.add(registration{at: now, until: now.Add(ttl), instance: instance})
				return struct{}{}, nil
			})
			return err
		},
		Remove: func(ctx context.Context, instance plat.Instance) error {
			_, err := storeCall(ctx, &l.Faults, true, func() (struct{}, error) {
				now := time.Now()
				l.add(registration{at: now, until: now, instance: instance})
				return struct{}{}, nil
			})
			return err
		},
	}
}

// read returns the instances whose registration was valid at now - lag, ordered
// by name.
func (l *List) read(now time.Time) []plat.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	visibleAt := now.Add(-l.lag)
	var instances []plat.Instance
	for name := range l.history {
		l.prune(name, visibleAt)
		if r, ok := latestAt(l.history[name], visibleAt); ok && visibleAt.Before(r.until) {
			instances = append(instances, r.instance)
		}
	}
	slices.SortFunc(instances, func(a, b plat.Instance) int { return strings.Compare(a.Name(), b.Name()) })
	return instances
}

func (l *List) add(r registration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := r.instance.Name()
	l.history[name] = append(l.history[name], r)
	l.prune(name, r.at.Add(-l.lag))
}

// prune removes the registrations of an instance that no reader can see any more.
// The lock is held.
func (l *List) prune(name string, visibleAt time.Time) {
	h := l.history[name]
	for len(h) > 1 && !h[1].at.After(visibleAt) {
		h = h[1:]
	}
	if len(h) == 1 && !h[0].until.After(visibleAt) {
		delete(l.history, name)
		return
	}
	l.history[name] = h
}

// latestAt returns the last registration made at or before visibleAt.
func latestAt(h []registration, visibleAt time.Time) (registration, bool) {
	for _, r := range slices.Backward(h) {
		if !r.at.After(visibleAt) {
			return r, true
		}
	}
	return registration{}, false
}

// Register keeps an instance registered until ctx ends and then removes it. It
// calls current for the entry of the instance at each renewal and each time
// changed receives a value; changed may be nil. A failed renewal is not retried
// before the next one is due.
func Register(ctx context.Context, l plat.List, changed <-chan struct{}, current func() plat.Instance) {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for {
		callList(ctx, func(ctx context.Context) error { return l.Register(ctx, current(), registrationTTL) })
		select {
		case <-tick.C:
		case <-changed:
		case <-ctx.Done():
			callList(context.WithoutCancel(ctx), func(ctx context.Context) error { return l.Remove(ctx, current()) })
			return
		}
	}
}

// callList makes one call to the list within listTimeout. It ignores the error:
// an instance whose renewals fail disappears from the list, which readers must
// handle anyway.
func callList(ctx context.Context, call func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	_ = call(ctx)
}
