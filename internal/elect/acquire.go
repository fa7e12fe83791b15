package elect

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

// acquisition is an attempt to acquire the lease. Attempts with the same epoch and
// versions are copies of one transaction, of which at most one takes effect.
type acquisition struct {
	epoch int64
	// rowVersion and formerVersion are the versions that the transaction checks.
	rowVersion    int64
	formerVersion int64
	// sentAt is the time at which the first copy was sent.
	sentAt time.Time
	// formerChange is the time of the last change of the former lease.
	formerChange time.Time
	// uncertain reports whether a copy without an answer may have taken effect.
	uncertain bool
}

const (
	// answerTimeout bounds the wait for the late answer of an acquisition. The
	// store was observed to hold calls for 4 s; a slow one queues a transaction
	// for 1 s and serves it within another.
	answerTimeout = 6 * time.Second
	// confirmAge is the age of an acquisition from which a renewal must show that
	// it still holds before the term begins, for example after the process was
	// suspended. Another instance acquires the lease leaseTimeout after it has
	// seen the last change, at the earliest, and a slow store takes about as long
	// again for its transaction. A younger acquisition may be superseded too; then
	// the first renewal or commit of the term fails.
	confirmAge = 2 * leaseTimeout
	// confirmInterval is the pause between two attempts to confirm an acquisition.
	confirmInterval = 100 * time.Millisecond
)

var (
	errSuperseded = errors.New("another instance has acquired the lease since")
	errNoAnswer   = errors.New("no answer yet")
)

// campaign acquires the lease if that is still possible, and leads until the term
// ends. An earlier acquisition that has taken effect counts, however late this
// instance learns of it.
func (e *Elector) campaign(ctx context.Context) {
	if e.releasePrevious(ctx) {
		return
	}
	err := e.acquire(ctx)
	if errors.Is(err, errNotExpired) {
		return
	}
	if err != nil {
		e.Log.Write(event.LeaseMissed, "reason", err.Error())
		e.restartTimeout()
		return
	}
	term, ok := e.takeTerm()
	if !ok {
		return
	}
	if e.isRetired() {
		e.release(term.Epoch)
		return
	}
	if err := e.confirm(ctx, term.Epoch); err != nil {
		e.Log.Write(event.LeaseLost, "epoch", term.Epoch, "reason", err.Error())
	} else {
		e.lead(ctx, term)
	}
	if ctx.Err() != nil {
		e.release(term.Epoch)
	}
}

func (e *Elector) isRetired() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retired
}

// lead leads until the term ends.
func (e *Elector) lead(ctx context.Context, term Term) {
	e.logTerm(term)
	termCtx, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { e.renew(termCtx, term.Epoch, end) })
	err := e.Lead(termCtx, term)
	end()
	wg.Wait()
	e.Log.Write(event.TermEnded, "epoch", term.Epoch, "reason", reason(err))
	if e.takeOffer(term.Epoch) && ctx.Err() == nil {
		e.release(term.Epoch)
	}
}

// logTerm logs the begin of a term and how long its steps took.
func (e *Elector) logTerm(term Term) {
	e.mu.Lock()
	a := e.attempt
	e.mu.Unlock()
	noticed := time.Duration(0)
	if !a.formerChange.IsZero() {
		noticed = a.sentAt.Sub(a.formerChange)
	}
	e.Log.Write(event.TermBegun, "epoch", term.Epoch, "noticed", noticed.String(), "acquired", time.Since(a.sentAt).String())
}

// restartTimeout restarts the lease timeout after a failed acquisition. A store
// that refuses writes refuses those of the leader too, which must be able to
// renew before the others try again.
func (e *Elector) restartTimeout() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.changedAt.IsZero() {
		e.changedAt = time.Now()
	}
	// The time before the attempt does not count again.
	e.answered, e.resultAt = min(e.answered, answeredTimeout-leaseTimeout), time.Now()
}

// hasUnledTerm reports whether the newest known lease is an acquisition by this
// instance that has not begun a term yet. The row of the lease is then the one that
// the acquisition wrote, since nobody renews the lease before. The caller holds e.mu.
func (e *Elector) hasUnledTerm() bool {
	l := e.lease
	return l.Holder == e.Self.Incarnation && l.Epoch == e.attempt.epoch && l.Epoch > e.ledEpoch &&
		l.Renewal == 0 && !l.Released
}

// acquire acquires the lease with the next epoch. The transaction fails if the
// lease has changed. If its answer is late, acquire returns as soon as the feed or
// the conflict of another copy shows that it has taken effect.
func (e *Elector) acquire(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, e.timeout())
	defer cancel()
	if e.unled() {
		return nil
	}
	e.readFormer(waitCtx)
	lease, attempt, err := e.prepare()
	if err != nil {
		return err
	}
	value, err := ledger.Encode(lease)
	if err != nil {
		return fmt.Errorf("acquire lease: %w", err)
	}
	results := make(chan error, 1)
	e.calls.Go(func() { results <- e.send(ctx, attempt, value) })
	for !e.unled() {
		select {
		case err = <-results:
			if err == nil && !e.unled() {
				err = errSuperseded
			}
		case <-e.wake:
			continue
		case <-waitCtx.Done():
			err = errNoAnswer
		}
		if err != nil && !e.unled() {
			return fmt.Errorf("acquire lease at epoch %d: %w", attempt.epoch, err)
		}
	}
	return nil
}

// prepare returns the lease to acquire and records the attempt.
func (e *Elector) prepare() (ledger.Lease, acquisition, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.acquirable() {
		// The lease has changed since the candidate was woken.
		return ledger.Lease{}, acquisition{}, errNotExpired
	}
	a := acquisition{
		epoch: e.lease.Epoch + 1, rowVersion: e.row.Version, formerVersion: e.formerVersion, sentAt: time.Now(),
		formerChange: e.leaseSeenAt,
	}
	if last := e.attempt; last.epoch == a.epoch && last.rowVersion == a.rowVersion && last.formerVersion == a.formerVersion {
		// An earlier copy may take effect instead of this one.
		a.sentAt, a.uncertain = last.sentAt, last.uncertain
	}
	e.attempt = a
	return ledger.Lease{
		Instance: e.Self.Instance, Holder: e.Self.Incarnation, Peer: e.Self.Peer,
		Epoch: a.epoch, Former: e.Self.formerLeaders(e.lease),
	}, a, nil
}

// send sends the transaction of an acquisition and applies its answer.
func (e *Elector) send(ctx context.Context, a acquisition, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	version, err := e.Table.Commit(ctx, store.Txn{
		Checks: []store.Check{
			{Key: ledger.LeaseKey, Version: a.rowVersion}, {Key: ledger.FormerLeaseKey, Version: a.formerVersion},
		},
		Puts: []store.Put{
			{Key: ledger.LeaseKey, Value: value},
			{Key: ledger.FormerLeaseKey, Value: value},
			{Key: ledger.SequenceKey, Value: ledger.SequenceValue(a.epoch, 0)},
		},
	})
	if e.applyConflict(err) {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if errors.Is(err, store.ErrUncertain) && e.attempt.epoch == a.epoch {
		e.attempt.uncertain = true
	}
	if err != nil {
		return err
	}
	e.formerVersion = max(e.formerVersion, version)
	e.applyRow(store.Row{Key: ledger.LeaseKey, Value: value, Version: version})
	return nil
}

func (e *Elector) unled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hasUnledTerm()
}

// takeTerm returns the term of an acquisition that has not begun one yet, and false
// if there is none.
func (e *Elector) takeTerm() (Term, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hasUnledTerm() {
		return Term{}, false
	}
	epoch, version, former := e.lease.Epoch, e.row.Version, e.lease.Former
	e.ledEpoch = epoch
	e.formerVersion = max(e.formerVersion, version)
	e.renewedAt = e.attempt.sentAt
	writer := ledger.NewWriter(e.Table, epoch, version)
	return Term{
		Epoch: epoch, Version: version, Writer: writer,
		LastRenewal: func() time.Time {
			renewed, confirmed := e.lastRenewal(), writer.Confirmed()
			if confirmed.After(renewed) {
				return confirmed
			}
			return renewed
		},
		FormerChange:      e.attempt.formerChange,
		LeaseVersion:      e.LeaseVersion,
		FormerLeaders:     slices.DeleteFunc(slices.Clone(former), func(a netip.AddrPort) bool { return a == e.Self.Peer }),
		MarkFormerSettled: func() { e.markFormerSettled(epoch) },
	}, true
}

// confirm renews a lease that was acquired more than confirmAge ago, until the store
// has answered. The error wraps ledger.ErrDeposed if another instance has acquired
// the lease since.
func (e *Elector) confirm(ctx context.Context, epoch int64) error {
	for time.Since(e.lastRenewal()) > confirmAge {
		err := e.writeLease(ctx, epoch, false)
		if err == nil || errors.Is(err, errRenewalResolved) {
			return nil
		}
		if errors.Is(err, ledger.ErrDeposed) {
			return fmt.Errorf("confirm late acquisition: %w", err)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("confirm late acquisition: %w", ctx.Err())
		case <-time.After(confirmInterval):
		}
	}
	return nil
}

// releaseUnled releases the lease if an acquisition has taken effect but its term
// has not begun. If that is uncertain, it asks the store once.
func (e *Elector) releaseUnled() {
	e.mu.Lock()
	uncertain := e.attempt.uncertain && e.attempt.epoch > e.lease.Epoch
	e.mu.Unlock()
	if uncertain {
		ctx, cancel := context.WithTimeout(context.Background(), e.timeout())
		defer cancel()
		if rows, err := e.Table.ReadCurrent(ctx, ledger.LeaseKey); err == nil && rows[0].Version > 0 {
			e.apply(store.Changes{Rows: []store.Change{{Row: rows[0]}}}, false)
		}
	}
	if term, ok := e.takeTerm(); ok {
		e.release(term.Epoch)
	}
}

// formerLeaders returns the former leaders that may have progress that is not
// stored when s acquires the lease l. If the holder of l has not stored the
// progress of those before it, perhaps because it never learnt that it held the
// lease, its successor takes them over.
func (s Self) formerLeaders(l ledger.Lease) []netip.AddrPort {
	former := slices.Clone(l.Former)
	previousIncarnation := l.Instance == s.Instance && l.Holder != s.Incarnation
	if l.Released || previousIncarnation || !l.Peer.IsValid() || slices.Contains(former, l.Peer) {
		return former
	}
	if len(former) >= maxFormer {
		if l.Renewal == 0 {
			// The holder never renewed the lease, so that it led briefly or not at
			// all, while the instances listed before it did lead.
			return former
		}
		former = former[:maxFormer-1]
	}
	return append(former, l.Peer)
}
