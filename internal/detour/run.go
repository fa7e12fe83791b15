package detour

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// ways are the two ways of a call. With late, the direct call has already
	// waited for its whole time.
	ways[T any] struct {
		// waits is how long the call waits for a change, 0 for an immediate answer.
		waits    time.Duration
		directly func(ctx context.Context) (T, error)
		via      func(ctx context.Context, via netip.AddrPort, late bool) (T, error)
	}

	// result is the outcome of one way, invalid via for the direct one.
	result[T any] struct {
		value T
		err   error
		via   netip.AddrPort
		took  time.Duration
	}

	// attempt is a call under way.
	attempt[T any] struct {
		*Detour
		ways[T]
		ctx     context.Context
		begun   time.Time
		results chan result[T]
		// rest are the instances that are not asked yet, once asked is set.
		rest  []netip.AddrPort
		asked bool
		// pending counts the ways without an outcome, and direct reports whether
		// the direct one is among them.
		pending int
		direct  bool
		// current is the instance asked last, invalid once it has answered.
		current netip.AddrPort
		// evident reports whether the direct way had a start of patience, so that
		// a quicker answer of another way tells against it.
		evident bool
		// conflict is a conflict while another copy is under way, and failure
		// what is returned if no way is answered.
		conflict *result[T]
		failure  error
	}
)

// run makes a call by the direct way and, where that fails or is late, through
// other instances one after another. It returns the first answer.
func run[T any](ctx context.Context, d *Detour, w ways[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempt[T]{
		Detour: d, ways: w, ctx: ctx, begun: time.Now(), results: make(chan result[T], 1+mostOthers), direct: true, pending: 1,
	}
	go func() {
		value, err := w.directly(ctx)
		a.results <- result[T]{value: value, err: err, took: time.Since(a.begun)}
	}()
	alarm := d.alarmed()
	patience := d.patience()
	first := w.waits + patience
	if patience == 0 {
		a.next()
		first = a.viaPatience()
	} else {
		a.evident = true
	}
	timer := time.NewTimer(first)
	defer timer.Stop()
	for a.pending > 0 {
		select {
		case <-timer.C:
			if a.conflict != nil {
				return a.conflict.value, a.conflict.err
			}
			a.giveUp()
			a.next()
			timer.Reset(a.viaPatience())
		case <-alarm:
			alarm = nil
			if w.waits > 0 && !a.asked {
				a.next()
			}
		case r := <-a.results:
			if a.take(r) {
				return r.value, r.err
			}
			if a.conflict != nil {
				timer.Reset(leastPatience)
			}
		}
	}
	if a.conflict != nil {
		return a.conflict.value, a.conflict.err
	}
	var none T
	return none, a.failure
}

// take notes an outcome and reports whether it is the answer.
func (a *attempt[T]) take(r result[T]) bool {
	a.pending--
	ok := answered(r.err)
	switch {
	case !r.via.IsValid():
		a.direct = false
		// A call that was given up by its caller says nothing about the way.
		if ok || a.ctx.Err() == nil {
			a.note(ok, r.took-a.waits)
		}
	case ok && a.direct && a.evident:
		// Another instance was quicker although it was asked later.
		a.note(false, 0)
	}
	if r.via == a.current {
		a.current = netip.AddrPort{}
	}
	switch {
	case store.IsConflict(r.err) && a.pending > 0:
		a.conflict = &r
		return false
	case ok:
		return a.conflict == nil || r.err == nil || a.pending == 0
	}
	a.fail(r)
	if r.via.IsValid() || a.pending == 0 {
		a.next()
	}
	return false
}

// fail keeps the failure that says most: a call is refused only if all its
// copies were.
func (a *attempt[T]) fail(r result[T]) {
	switch {
	case !r.via.IsValid() || a.ctx.Err() != nil:
	case errors.Is(r.err, store.ErrUnavailable) && !errors.Is(r.err, ErrNotReached):
		a.noteOut()
	default:
		a.Failed(r.via)
	}
	if a.failure == nil || errors.Is(r.err, store.ErrUncertain) {
		a.failure = r.err
		if r.via.IsValid() {
			a.failure = fmt.Errorf("through %v: %w", r.via, r.err)
		}
	}
}

// viaPatience returns how long another instance is waited for before the next
// one is asked as well.
func (a *attempt[T]) viaPatience() time.Duration {
	if a.waits > 0 {
		return a.waits + leastPatience
	}
	return viaPatience
}

// giveUp puts an instance that has not answered in time behind the others, so
// that the next call does not wait for it too: it may be cut off as well.
func (a *attempt[T]) giveUp() {
	if a.current.IsValid() {
		a.Failed(a.current)
		a.current = netip.AddrPort{}
	}
}

// next makes the call through the next instance, if there is one.
func (a *attempt[T]) next() {
	if !a.asked {
		a.asked, a.rest = true, a.others()
	}
	if len(a.rest) == 0 || a.ctx.Err() != nil {
		return
	}
	via := a.rest[0]
	a.rest, a.current = a.rest[1:], via
	a.pending++
	late := a.waits > 0 && time.Since(a.begun) >= a.waits
	go func() {
		value, err := a.via(a.ctx, via, late)
		a.results <- result[T]{value: value, err: err, via: via}
	}()
}
