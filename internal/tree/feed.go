package tree

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// Deps are the dependencies of a Feed.
	Deps struct {
		// Direct reads the table at the store.
		Direct store.Feed
		// WaitCopy returns the changes of a parent's copy, and how long ago the store
		// has confirmed them.
		WaitCopy func(ctx context.Context, parent netip.AddrPort, table string, after int64, maxWait time.Duration) (
			store.Changes, time.Duration, error)
		// Parent returns the address of the parent, invalid if the instance is the
		// root.
		Parent func() netip.AddrPort
		// ParentFailed is called with the address of a parent that has not
		// answered.
		ParentFailed func(netip.AddrPort)
		Log          event.Log
	}

	// Feed follows tables at the parent of this instance, and at the store while the
	// parent does not answer. It is safe for concurrent use.
	Feed struct {
		Deps

		mu sync.Mutex
		// source is the address of the parent whose answer was last used, invalid
		// for the store.
		source netip.AddrPort
		// confirmedAt is when the store has confirmed the latest answer.
		confirmedAt time.Time
	}
)

const (
	// parentMargin is how much later than its wait the answer of a parent may begin.
	// With the wait it must leave time for a call to the store within the limits of
	// store.Follower.
	parentMargin = 300 * time.Millisecond
	// parentStall bounds the time between two parts of a parent's answer. It is shorter
	// than that of store.Follower, like parentMargin.
	parentStall = 500 * time.Millisecond
	// parentTransfer bounds the time of a parent's whole answer. The store may be
	// reached over a better path than a parent on a slow link.
	parentTransfer = 1500 * time.Millisecond
)

// New returns a Feed.
func New(d Deps) *Feed { return &Feed{Deps: d} }

// Feed returns the calls that read tables and their changes. Whole tables are read at the
// store.
func (f *Feed) Feed() store.Feed {
	return store.Feed{Read: f.read, Wait: f.wait}
}

// ConfirmedAt returns when the store has confirmed the latest answer.
func (f *Feed) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

func (f *Feed) read(ctx context.Context, table string) (store.Changes, error) {
	changes, err := f.Direct.Read(ctx, table)
	if err == nil {
		f.confirm(0)
	}
	return changes, err
}

func (f *Feed) wait(ctx context.Context, table string, after int64, maxWait time.Duration) (store.Changes, error) {
	parent := f.Parent()
	if !parent.IsValid() {
		return f.waitDirect(ctx, table, after, maxWait, "root")
	}
	started := time.Now()
	callCtx, cancel := store.AnswerTimeout{First: maxWait + parentMargin, Stall: parentStall, Transfer: parentTransfer}.Context(ctx)
	defer cancel()
	changes, age, err := f.WaitCopy(callCtx, parent, table, after, maxWait)
	switch {
	case err == nil:
		f.confirm(age)
		f.setSource(parent, "parent")
		return changes, nil
	case ctx.Err() != nil:
		return changes, err
	}
	f.ParentFailed(parent)
	return f.waitDirect(ctx, table, after, max(0, maxWait-time.Since(started)), err.Error())
}

// waitDirect waits for changes at the store, for the given reason.
func (f *Feed) waitDirect(ctx context.Context, table string, after int64, maxWait time.Duration, reason string) (store.Changes, error) {
	f.setSource(netip.AddrPort{}, reason)
	changes, err := f.Direct.Wait(ctx, table, after, maxWait)
	if err == nil {
		f.confirm(0)
	}
	return changes, err
}

// confirm records that the store has confirmed the latest answer so long ago.
func (f *Feed) confirm(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = time.Now().Add(-age)
}

// setSource records where changes come from, and logs a change of that.
func (f *Feed) setSource(source netip.AddrPort, reason string) {
	f.mu.Lock()
	changed := f.source != source
	f.source = source
	f.mu.Unlock()
	if changed {
		f.Log.Write(event.TableSource, "source", source.String(), "reason", reason)
	}
}
