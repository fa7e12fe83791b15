package detour

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// Calls are the calls of the table service as another instance makes them.
	Calls struct {
		Get    func(ctx context.Context, via netip.AddrPort, key string) (store.Row, error)
		Commit func(ctx context.Context, via netip.AddrPort, t store.Txn) (int64, error)
		Read   func(ctx context.Context, via netip.AddrPort, table string) (store.Changes, error)
		Wait   func(ctx context.Context, via netip.AddrPort, table string, after int64, most time.Duration) (store.Changes, error)
	}

	// Deps is what a detour needs.
	Deps struct {
		Table store.Table
		Feed  store.Feed
		Via   Calls
		// Others returns the addresses of other instances, the most promising
		// first.
		Others func() []netip.AddrPort
		// Failed is told an instance that has not answered.
		Failed func(netip.AddrPort)
		Log    event.Log
	}

	// Detour is safe for concurrent use.
	Detour struct {
		Deps

		mu sync.Mutex
		// failed is when the last direct call failed, zero if it was answered.
		failed time.Time
		// trouble is when a direct call last failed at all, and told reports
		// whether the log has it.
		trouble time.Time
		told    bool
		// alarm is closed and replaced when the direct way begins to fail, so that
		// calls that wait for a change go other ways too.
		alarm chan struct{}
		// out is when another instance was last refused too.
		out time.Time
		// usual follows the longest times of direct answers.
		usual time.Duration
	}
)

const (
	// usualFactor is the multiple of the usual time after which a call without
	// an answer is also made through another instance, within the bounds. A slow
	// service, which takes about 60 times its 4 ms, must not get each call twice.
	usualFactor   = 3
	leastPatience = 250 * time.Millisecond
	mostPatience  = 800 * time.Millisecond
	// viaPatience is how long another instance is waited for before the next one:
	// two round trips between regions. With leastPatience it leaves time for an
	// answer within the 500 ms of a renewal of the lease.
	viaPatience = 120 * time.Millisecond
	// usualParts is the part by which the usual time falls with each answer.
	usualParts = 16
	// failedFor is how long a failure makes the next calls take both ways at once.
	failedFor = 3 * time.Second
	// settled is the time without a failure after which the direct way counts as
	// working again in the log.
	settled = time.Second
	// outFor is how long no other instance is asked after one was refused by the
	// service as well.
	outFor = 500 * time.Millisecond
	// mostOthers bounds the instances that one call is made through.
	mostOthers = 2
)

// ErrNotReached is wrapped by errors of calls that another instance has not
// passed on.
var ErrNotReached = errors.New("the other instance did not take the call")

// New returns a detour whose direct way is taken to work.
func New(d Deps) *Detour { return &Detour{Deps: d, alarm: make(chan struct{})} }

// Table returns the calls on rows.
func (d *Detour) Table() store.Table {
	return store.Table{
		Get: func(ctx context.Context, key string) (store.Row, error) {
			return run(ctx, d, ways[store.Row]{
				directly: func(ctx context.Context) (store.Row, error) { return d.Deps.Table.Get(ctx, key) },
				via: func(ctx context.Context, via netip.AddrPort, _ bool) (store.Row, error) {
					return d.Via.Get(ctx, via, key)
				},
			})
		},
		Scan: d.Deps.Table.Scan,
		Commit: func(ctx context.Context, t store.Txn) (int64, error) {
			return run(ctx, d, ways[int64]{
				directly: func(ctx context.Context) (int64, error) { return d.Deps.Table.Commit(ctx, t) },
				via: func(ctx context.Context, via netip.AddrPort, _ bool) (int64, error) {
					return d.Via.Commit(ctx, via, t)
				},
			})
		},
	}
}

// Feed returns the calls that follow tables.
func (d *Detour) Feed() store.Feed {
	return store.Feed{
		Read: func(ctx context.Context, table string) (store.Changes, error) {
			return run(ctx, d, ways[store.Changes]{
				directly: func(ctx context.Context) (store.Changes, error) { return d.Deps.Feed.Read(ctx, table) },
				via: func(ctx context.Context, via netip.AddrPort, _ bool) (store.Changes, error) {
					return d.Via.Read(ctx, via, table)
				},
			})
		},
		Wait: func(ctx context.Context, table string, after int64, most time.Duration) (store.Changes, error) {
			return run(ctx, d, ways[store.Changes]{
				waits:    most,
				directly: func(ctx context.Context) (store.Changes, error) { return d.Deps.Feed.Wait(ctx, table, after, most) },
				via: func(ctx context.Context, via netip.AddrPort, late bool) (store.Changes, error) {
					left := most
					if late {
						// The direct call has used the time up.
						left = 0
					}
					return d.Via.Wait(ctx, via, table, after, left)
				},
			})
		},
	}
}

// answered reports whether err is nil or an answer of the service.
func answered(err error) bool {
	return err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrCompacted) ||
		errors.Is(err, store.ErrInvalid) || store.IsConflict(err)
}

// patience returns how long a direct call is waited for before another way is
// taken as well.
func (d *Detour) patience() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.failed.IsZero() && time.Since(d.failed) < failedFor {
		return 0
	}
	return min(max(usualFactor*d.usual, leastPatience), mostPatience)
}

// alarmed returns a channel that is closed when the direct way begins to fail.
func (d *Detour) alarmed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.alarm
}

// note keeps the outcome of a direct call that took the given time beyond what
// it was to wait.
func (d *Detour) note(ok bool, took time.Duration) {
	d.mu.Lock()
	now := time.Now()
	if ok {
		d.failed = time.Time{}
		d.usual = max(took, d.usual-d.usual/usualParts)
	} else {
		if d.failed.IsZero() {
			close(d.alarm)
			d.alarm = make(chan struct{})
		}
		d.failed, d.trouble = now, now
	}
	// A store that refuses some calls and answers others is told once.
	news := !ok && !d.told || ok && d.told && now.Sub(d.trouble) > settled
	d.told = d.told != news
	d.mu.Unlock()
	if news {
		d.Log.Write(event.StoreWay, "direct", ok)
	}
}

// noteOut notes that the service refuses other instances too.
func (d *Detour) noteOut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.out = time.Now()
}

// others returns the instances through which a call may be made.
func (d *Detour) others() []netip.AddrPort {
	d.mu.Lock()
	out := !d.out.IsZero() && time.Since(d.out) < outFor
	d.mu.Unlock()
	if out {
		return nil
	}
	list := d.Others()
	return list[:min(len(list), mostOthers)]
}
