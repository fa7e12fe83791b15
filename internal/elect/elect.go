package elect

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ledger"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// Self describes this instance to the others.
	Self struct {
		// Instance is the name of the instance. Incarnation identifies one run
		// of its process: it is different after each restart.
		Instance    string
		Incarnation string
		// Peer is the address at which the other instances reach this one.
		Peer netip.AddrPort
		// Cores is the processor time available to the instance, in cores.
		Cores float64
	}

	// Term is the period in which one instance leads.
	Term struct {
		Epoch  int64
		Writer *ledger.Writer
		// Version is the version of the term's first write. All writes of earlier
		// leaders have lower versions.
		Version int64
		// FormerLeaders are the addresses of former leaders that may have
		// progress of their terms that is not stored.
		FormerLeaders []netip.AddrPort
		// MarkFormerSettled records that the progress of the former leaders is
		// stored. The next renewal drops them from the lease.
		MarkFormerSettled func()
		// LastRenewal returns the time at which the last renewal or transaction of
		// the term that the store acknowledged was sent. No successor had acquired
		// the lease by then.
		LastRenewal func() time.Time
		// LeaseVersion returns the latest version of the lease that is known
		// here.
		LeaseVersion func() int64
		// FormerChange is the time of the last change of the former lease that
		// was seen here, zero if there was none.
		FormerChange time.Time
	}

	// Deps holds the dependencies of an elector.
	Deps struct {
		Table store.Table
		Feed  store.Feed
		Self  Self
		// Lead acts as the leader until ctx ends. It is called once per term.
		Lead func(ctx context.Context, t Term) error
		Log  event.Log
	}

	// Elector takes part in the election of the leader. It is safe for concurrent
	// use.
	Elector struct {
		Deps

		mu sync.Mutex
		// row is the latest known row of the lease, and lease the latest lease
		// that is known from it or, with a higher epoch, from the row of earlier
		// versions of the program.
		row   store.Row
		lease ledger.Lease
		// formerVersion is the latest known version of the row of earlier
		// versions of the program, 0 if there is none.
		formerVersion int64
		// previousIncarnation is the incarnation of this instance that held the
		// lease when it was first read, or empty.
		previousIncarnation string
		// changedAt is the time from which leaseTimeout counts: the last change
		// of the lease, the last failed acquisition, or the first answer of the
		// store after an outage. It is zero while the store is unavailable.
		changedAt time.Time
		// leaseSeenAt is the time of the last change of the lease. answered is the
		// time since then in which the store has answered, and resultAt the time
		// of the last result of the feed.
		leaseSeenAt  time.Time
		answered     time.Duration
		resultAt     time.Time
		storeLatency time.Duration
		// renewedAt is the time at which the last acknowledged renewal was sent.
		renewedAt time.Time
		// settledEpoch is the last epoch in which the progress of all former
		// leaders has been stored.
		settledEpoch int64
		// attempt is the latest attempt to acquire the lease, and ledEpoch the
		// last epoch that this instance has led or released.
		attempt  acquisition
		ledEpoch int64
		retired  bool
		// yielding has the offers of the lease to larger instances.
		yielding yielding
		wake     chan struct{}
		// calls counts the attempts to acquire the lease that are under way.
		calls sync.WaitGroup
	}
)

const (
	// renewInterval is the interval between renewals of the leader, and
	// leaseTimeout the time without a renewal after which a leader is replaced.
	// It is three intervals long, so that one lost answer does not end a term.
	renewInterval = 400 * time.Millisecond
	leaseTimeout  = 1200 * time.Millisecond
	// refusedPause is the pause before a renewal that the store has refused is sent
	// again.
	refusedPause = 100 * time.Millisecond
	// answeredTimeout is the time in which the store has answered but the lease has
	// not changed, after which a leader is replaced although the store also fails.
	// A store that refuses four calls in five answers in about half of the time, so
	// that it takes over 4 s, in which a leader makes about 40 attempts to renew.
	answeredTimeout = 2 * leaseTimeout
	// feedPause is the longest pause of the feed after a failed call.
	feedPause = 150 * time.Millisecond
	// watchTimeout is how long one call to the store waits for a change of the
	// lease.
	watchTimeout = 600 * time.Millisecond
	// An instance waits latencyFactor times its latency to the store beyond
	// leaseTimeout, at most maxLatencyWait, so that instances near the store
	// acquire the lease first.
	latencyFactor  = 15
	maxLatencyWait = 800 * time.Millisecond
	// leaderCores is the processor time that an instance needs to acquire the
	// lease without a further wait: a leader of 350 workers uses about a third of
	// a core. An instance with c cores, fewer than leaderCores, waits for
	// (leaderCores/c - 1) * fewCoresUnit, at most maxFewCoresWait, so that larger
	// instances acquire the lease first.
	leaderCores     = 0.4
	fewCoresUnit    = 400 * time.Millisecond
	maxFewCoresWait = 800 * time.Millisecond
	// slowFewCoresFactor times as long is the wait for few cores at a slow store, where
	// the spread would otherwise hide it: of many small instances one has a short spread.
	slowFewCoresFactor = 4
	// Instances wait a number of jitter steps below jitterSteps, derived from
	// their names, so that they do not all write at once. The steps spread them
	// over one round trip to the store.
	jitterSteps = 8
	jitterStep  = 15 * time.Millisecond
	// slowLatency is the latency above which the store counts as slow: twice a
	// round trip between regions. The waits of the instances are then spread
	// over slowSteps steps within slowSpreadFactor times the latency, at most
	// maxSlowSpread, because a slow store serves about three transactions a
	// second, one after another, and acquisitions by all instances would crowd
	// out the leader's renewals.
	slowLatency      = 60 * time.Millisecond
	slowSteps        = 64
	slowSpreadFactor = 16
	maxSlowSpread    = 4 * time.Second
	// callTimeout is the timeout of one call; the store usually answers in 4 ms.
	// A slow store serves transactions one after another and lets a second's
	// worth of them queue, so that slowCallTimeout applies there. After it an
	// acquisition counts as failed, but its answer is still awaited.
	callTimeout     = 500 * time.Millisecond
	slowCallTimeout = 1500 * time.Millisecond
	// maxFormer is the largest number of former leaders in the lease. A new leader
	// queries them all at once, and a site has about this many instances near the
	// store.
	maxFormer = 8
)

var (
	errNotExpired = errors.New("lease has not expired")
	// errRenewalResolved means that an earlier renewal whose answer was lost
	// has taken effect, and that its row is known now.
	errRenewalResolved = errors.New("earlier renewal without an answer has taken effect")
)

// New returns an elector. It does nothing until Run is called.
func New(d Deps) *Elector {
	return &Elector{Deps: d, wake: make(chan struct{}, 1)}
}

// Leader returns the latest lease that is known here.
func (e *Elector) Leader() ledger.Lease {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease
}

// LeaseVersion returns the latest version of the lease that is known here.
// Renewals by this instance raise it even while the store delivers no changes.
func (e *Elector) LeaseVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.row.Version
}

// Leads reports whether this instance holds the lease as far as it knows.
func (e *Elector) Leads() bool {
	l := e.Leader()
	return l.Holder == e.Self.Incarnation && !l.Released
}

// Retire keeps the instance from acquiring the lease again.
func (e *Elector) Retire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retired = true
}

// Run takes part in the election until ctx ends. If the instance leads then, Run
// ends the term and releases the lease before it returns.
func (e *Elector) Run(ctx context.Context) {
	f := store.Follower{
		Feed: e.Feed, Table: ledger.LeaseTable, MaxWait: watchTimeout,
		Apply: e.apply, OnResult: e.observe, ObserveLatency: e.setStoreLatency, KnownVersion: e.LeaseVersion,
	}
	followCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(followCtx) })
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-e.wake:
			e.campaign(ctx)
		}
	}
	stop()
	wg.Wait()
	e.calls.Wait()
	e.releaseUnled()
}

// apply records the newest lease among the changes that the store returned.
func (e *Elector) apply(c store.Changes, _ bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ch := range c.Rows {
		if ch.Row.Key == ledger.LeaseKey && !ch.Deleted {
			e.applyRow(ch.Row)
		}
	}
}

// applyRow records the row of the lease if it is newer than the known one. If the
// row shows that an acquisition by this instance has taken effect, it wakes the
// candidate, which then leads. The caller holds e.mu.
func (e *Elector) applyRow(row store.Row) {
	var l ledger.Lease
	if row.Version <= e.row.Version {
		return
	}
	if err := ledger.Decode(row, &l); err != nil {
		e.Log.Write(event.RowUnread, "key", row.Key, "reason", err.Error())
		return
	}
	e.row = row
	if l.Epoch < e.lease.Epoch {
		// An instance of an earlier version leads since.
		return
	}
	if l.Epoch != e.lease.Epoch && l.Holder != e.Self.Incarnation {
		e.Log.Write(event.LeaderSeen, "leader", l.Holder, "epoch", l.Epoch)
	}
	if e.lease.Epoch == 0 && l.Instance == e.Self.Instance && l.Holder != e.Self.Incarnation {
		// A previous incarnation of this instance held the lease when this one
		// started.
		e.previousIncarnation = l.Holder
	}
	e.recordChange(l)
	if e.hasUnledTerm() {
		e.wakeCandidate()
	}
}

// readFormer reads the row of earlier versions of the program, which each
// acquisition checks and writes. If the read fails or is stale, the acquisition may
// meet a conflict, which carries the row.
func (e *Elector) readFormer(ctx context.Context) {
	row, err := e.Table.Get(ctx, ledger.FormerLeaseKey)
	switch {
	case err == nil:
		e.applyFormer(row)
	case !errors.Is(err, store.ErrNotFound):
		e.Log.Write(event.RowUnread, "key", ledger.FormerLeaseKey, "reason", err.Error())
	}
}

// applyFormer records the row of earlier versions of the program. A lease that an
// instance of these has acquired or renewed there counts as the present one.
func (e *Elector) applyFormer(row store.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if row.Version <= e.formerVersion {
		return
	}
	e.formerVersion = row.Version
	var l ledger.Lease
	if err := ledger.Decode(row, &l); err != nil {
		e.Log.Write(event.RowUnread, "key", row.Key, "reason", err.Error())
		return
	}
	if l.Holder == e.Self.Incarnation {
		// Only an acquisition by this instance writes its lease here, in the same
		// transaction as the lease row.
		e.applyRow(store.Row{Key: ledger.LeaseKey, Value: row.Value, Version: row.Version})
		return
	}
	if l.Epoch > e.lease.Epoch {
		e.Log.Write(event.LeaderSeen, "leader", l.Holder, "epoch", l.Epoch)
	} else if l.Epoch < e.lease.Epoch || l.Renewal <= e.lease.Renewal {
		// An acquisition by this version has written the row.
		return
	}
	e.recordChange(l)
}

// recordChange records a change of the lease. The caller holds e.mu.
func (e *Elector) recordChange(l ledger.Lease) {
	now := time.Now()
	e.lease, e.changedAt, e.leaseSeenAt, e.answered = l, now, now, 0
}

// observe records whether the store answered, and wakes the candidate when the
// lease can be acquired.
func (e *Elector) observe(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(e.resultAt)
	if e.changedAt.IsZero() {
		// The call began after the pause that follows a failed one.
		elapsed -= feedPause
	}
	e.resultAt = now
	if err != nil && !store.IsLagging(err) {
		// While the store is unavailable the leader cannot renew either. A store
		// that answers but cannot deliver changes still accepts renewals, and a
		// candidate that tries to acquire the lease learns of them by a conflict.
		e.changedAt = time.Time{}
		return
	}
	e.answered += max(min(elapsed, now.Sub(e.leaseSeenAt)), 0)
	if e.changedAt.IsZero() {
		e.changedAt = now
	}
	// The next answer of the store may take as long as watchTimeout.
	if wait := e.remaining(); !e.retired && wait < watchTimeout {
		time.AfterFunc(wait, e.wakeCandidate)
	}
}

// wakeCandidate wakes Run, which checks whether the lease can be acquired.
func (e *Elector) wakeCandidate() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func reason(err error) string {
	if err == nil {
		return "planned"
	}
	return err.Error()
}

// markFormerSettled makes the next renewal drop the former leaders from the lease.
func (e *Elector) markFormerSettled(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settledEpoch = epoch
}

func (e *Elector) lastRenewal() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.renewedAt
}

// renew renews the lease until ctx ends, for the first time renewInterval after its
// acquisition was sent. It calls end and returns if another instance has acquired
// the lease.
func (e *Elector) renew(ctx context.Context, epoch int64, end func()) {
	begun := time.Now()
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	var retry <-chan time.Time
	for late := time.Since(e.lastRenewal()) >= renewInterval; ; late = false {
		if !late {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			case <-retry:
			}
		}
		retry = nil
		sent := time.Now()
		err := e.writeLease(ctx, epoch, false)
		if errors.Is(err, errRenewalResolved) {
			err = e.writeLease(ctx, epoch, false)
		}
		if errors.Is(err, ledger.ErrDeposed) {
			e.Log.Write(event.LeaseLost, "epoch", epoch, "reason", err.Error())
			end()
			return
		}
		if err == nil && e.offerTerm(epoch, begun, time.Since(sent)) {
			end()
			return
		}
		if err != nil && ctx.Err() == nil {
			e.Log.Write(event.RenewalFailed, "epoch", epoch, "age", time.Since(e.lastRenewal()).String(), "reason", err.Error())
		}
		if errors.Is(err, store.ErrUnavailable) {
			retry = time.After(refusedPause)
		}
	}
}

// writeLease renews or releases the lease of the term.
func (e *Elector) writeLease(ctx context.Context, epoch int64, released bool) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout())
	defer cancel()
	e.mu.Lock()
	row, lease, settledEpoch := e.row, e.lease, e.settledEpoch
	e.mu.Unlock()
	if lease.Epoch != epoch {
		return fmt.Errorf("renew lease of epoch %d: %w", epoch, ledger.ErrDeposed)
	}
	lease.Renewal++
	if settledEpoch == epoch {
		lease.Former = nil
	}
	lease.Released = released
	value, err := ledger.Encode(lease)
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	begun := time.Now()
	version, err := e.Table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: ledger.LeaseKey, Version: row.Version}},
		Puts:   []store.Put{{Key: ledger.LeaseKey, Value: value}},
	})
	if e.applyConflict(err) {
		return e.conflictError(epoch)
	}
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if version > e.row.Version {
		e.row = store.Row{Key: ledger.LeaseKey, Value: value, Version: version}
		e.recordChange(lease)
	}
	e.renewedAt = begun
	return nil
}

// applyConflict reports whether err is a conflict, and records the lease that
// it holds. Reads and the feed may return older rows than the conflict.
func (e *Elector) applyConflict(err error) bool {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	if row := conflict.Row(ledger.LeaseKey); row.Version > 0 {
		e.apply(store.Changes{Rows: []store.Change{{Row: row}}}, false)
	}
	if row := conflict.Row(ledger.FormerLeaseKey); row.Version > 0 {
		e.applyFormer(row)
	}
	return true
}

// conflictError returns the error for a conflict with a renewal in the epoch. An
// earlier renewal whose answer was lost causes a conflict too; then the error is
// errRenewalResolved.
func (e *Elector) conflictError(epoch int64) error {
	if e.Leader().Epoch != epoch {
		return fmt.Errorf("lease of epoch %d: %w", epoch, ledger.ErrDeposed)
	}
	return errRenewalResolved
}

// release gives up the lease, so that the next leader need not wait for it to
// expire.
func (e *Elector) release(epoch int64) {
	err := e.writeLease(context.Background(), epoch, true)
	e.Log.Write(event.LeaseReleased, "epoch", epoch, "outcome", reason(err))
}
