package elect

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/store"
	"gotest.tools/v3/assert"
)

// lateSite has one instance whose acquisitions and feed are disturbed, and the table.
type lateSite struct {
	t     *testing.T
	table *fakes.Table
	terms chan Term
	// beforeEffect and beforeAnswer are called around the effect of an acquisition.
	// An error is returned instead of the answer, but for conflicts.
	beforeEffect, beforeAnswer func(ctx context.Context) error
	// feedCut makes the feed and the reads return the state before the acquisition.
	feedCut bool
	// sentAt is when the first acquisition was sent, in nanoseconds since 1970.
	sentAt atomic.Int64
}

// renewalTime is the time that the store takes for a renewal.
const renewalTime = 50 * time.Millisecond

// firstSent waits until an acquisition is sent, and returns when the first one was.
func (s *lateSite) firstSent() time.Time {
	for s.sentAt.Load() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Unix(0, s.sentAt.Load())
}

// next returns the next term, which must begin within a minute.
func (s *lateSite) next() Term {
	select {
	case term := <-s.terms:
		return term
	case <-time.After(time.Minute):
		s.t.Fatal("no term within a minute")
		return Term{}
	}
}

// run starts the elector. The returned function waits for its end.
func (s *lateSite) run(ctx context.Context) (*Elector, func()) {
	call := func(ctx context.Context, f func(context.Context) error) error {
		if f == nil {
			return nil
		}
		return f(ctx)
	}
	table, feed := s.table.Store(), s.table.Feed()
	commit, wait := table.Commit, feed.Wait
	table.Commit = func(ctx context.Context, txn store.Txn) (int64, error) {
		if len(txn.Puts) < 3 {
			time.Sleep(renewalTime)
			return commit(ctx, txn)
		}
		s.sentAt.CompareAndSwap(0, time.Now().UnixNano())
		if err := call(ctx, s.beforeEffect); err != nil {
			return 0, err
		}
		version, err := commit(ctx, txn)
		if lost := call(ctx, s.beforeAnswer); lost != nil && err == nil {
			return 0, lost
		}
		return version, err
	}
	get := table.Get
	table.Get = func(ctx context.Context, key string) (store.Row, error) {
		if s.feedCut {
			return store.Row{Key: key}, store.ErrNotFound
		}
		return get(ctx, key)
	}
	feed.Wait = func(ctx context.Context, name string, after int64, maxWait time.Duration) (store.Changes, error) {
		if s.feedCut {
			time.Sleep(maxWait)
			return store.Changes{Version: after}, nil
		}
		return wait(ctx, name, after, maxWait)
	}
	e := New(Deps{
		Table: table, Feed: feed, Self: Self{Instance: "late", Incarnation: "late-1", Peer: peer(1)}, Log: event.Discard(),
		Lead: func(ctx context.Context, term Term) error {
			s.terms <- term
			<-ctx.Done()
			return ctx.Err()
		},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	return e, func() { <-done }
}

// pause returns a function that holds a call for d, or until its caller gives up.
func pause(d time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", store.ErrUncertain, ctx.Err())
		}
	}
}

func lose(context.Context) error { return store.ErrUncertain }

// TestLateAcquisition guards against an epoch without a leader: the acquisition takes
// effect, but its answer comes after the time for which the candidate waits, or never.
func TestLateAcquisition(t *testing.T) {
	const late = 2 * time.Second
	for _, c := range []struct {
		name                       string
		beforeEffect, beforeAnswer func(context.Context) error
		feedCut                    bool
		// latest bounds the time from the first attempt to the term.
		latest time.Duration
	}{
		{"in time", nil, nil, false, 0},
		{"late effect, lost answer, shown by the feed", pause(late), lose, false, late},
		{"lost answer, shown by the feed", nil, lose, false, 0},
		{"late answer, shown by the feed", nil, pause(late), false, 0},
		{"late answer only", nil, pause(late), true, late},
		{"lost answer, shown by a conflict", nil, lose, true, late},
		{"answer after seconds", nil, pause(5 * time.Second), true, 5*time.Second + renewalTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &lateSite{
					t: t, table: fakes.NewTable(), terms: make(chan Term, 8),
					beforeEffect: c.beforeEffect, beforeAnswer: c.beforeAnswer, feedCut: c.feedCut,
				}
				_, wait := s.run(ctx)
				term := s.next()
				lastRenewal, took := term.LastRenewal(), time.Since(s.firstSent())
				assert.Assert(t, took <= c.latest, "the term begins after %v", took)
				assert.Equal(t, term.Epoch, int64(1), "an epoch passed without a leader")
				// Leases of workers are bounded by LastRenewal, the time at which an
				// acknowledged write was sent: the acquisition, or the renewal that
				// confirms an old one.
				if took > confirmAge {
					assert.Equal(t, time.Since(lastRenewal), renewalTime)
				} else {
					assert.Assert(t, lastRenewal.Equal(s.firstSent()))
				}
				time.Sleep(3 * time.Second)
				assert.Assert(t, time.Since(term.LastRenewal()) <= renewInterval+renewalTime, "last renewed %v ago", time.Since(term.LastRenewal()))
				assert.NilError(t, term.Writer.Commit(ctx, ledger.Batch{Puts: []store.Put{{Key: "progress/1"}}}))
				cancel()
				wait()
				assert.Equal(t, len(s.terms), 0, "the same epoch was led twice")
			})
		})
	}
}

// TestSupersededAcquisition guards against a term of an instance that learns of its
// acquisition after another instance has acquired the lease, as one that was suspended
// does.
func TestSupersededAcquisition(t *testing.T) {
	for _, knows := range []bool{false, true} {
		t.Run(fmt.Sprintf("knows=%v", knows), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &lateSite{
					t: t, table: fakes.NewTable(), terms: make(chan Term, 8), beforeAnswer: pause(5 * time.Second), feedCut: !knows,
				}
				_, wait := s.run(ctx)
				s.firstSent()
				synctest.Wait() // The store has carried the acquisition out.
				if knows {
					// The instance leads from the feed. The late answer comes after its
					// successor has acquired the lease.
					s.next()
				}
				row, err := s.table.Store().Get(ctx, ledger.LeaseKey)
				assert.NilError(t, err)
				other := &formerLeader{t: t, table: s.table.Store(), version: row.Version, key: ledger.LeaseKey}
				other.lease = ledger.Lease{Instance: "other", Holder: "other-1", Epoch: 2}
				value, err := ledger.Encode(other.lease)
				assert.NilError(t, err)
				assert.NilError(t, other.write(store.Put{Key: ledger.FormerLeaseKey, Value: value}))
				assert.NilError(t, other.renew(10*time.Second))
				assert.Equal(t, len(s.terms), 0, "a superseded instance leads")
				cancel()
				wait()
			})
		})
	}
}

// TestLateAcquisitionOfRetired guards against a term that begins during a planned stop,
// and against a successor that waits for the lease timeout because the lease that the
// retired instance acquired late is not released.
func TestLateAcquisitionOfRetired(t *testing.T) {
	for _, ended := range []bool{false, true} {
		t.Run(fmt.Sprintf("ended=%v", ended), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &lateSite{t: t, table: fakes.NewTable(), terms: make(chan Term, 8), beforeAnswer: pause(2 * time.Second), feedCut: true}
				e, wait := s.run(ctx)
				s.firstSent()
				e.Retire()
				if ended {
					cancel()
					wait()
				}
				time.Sleep(3 * time.Second)
				row, err := s.table.Store().Get(t.Context(), ledger.LeaseKey)
				assert.NilError(t, err)
				var lease ledger.Lease
				assert.NilError(t, ledger.Decode(row, &lease))
				assert.Assert(t, lease.Released)
				assert.Equal(t, len(s.terms), 0, "a retired instance leads")
				cancel()
				wait()
			})
		})
	}
}
