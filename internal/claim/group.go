package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/limit"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

type (
	// Settings are the limits of the group commit and the retention of claims.
	Settings struct {
		// MaxBatch bounds the claims of one transaction.
		MaxBatch int
		// CommitTimeout bounds one transaction.
		CommitTimeout time.Duration
		// Retention is the time for which a claim is kept.
		Retention time.Duration
		// MaxExpiring bounds the claims of this instance that it keeps in memory
		// in order to delete them. The Sweeper deletes the others.
		MaxExpiring int
		// Backoff is used between the reads and between the repeated commits of
		// a claim whose commit is uncertain.
		Backoff limit.Backoff
	}

	// Result is the outcome of a Take.
	Result struct {
		// Mine reports whether the claim was made with the nonce of this call.
		Mine bool
		// Claimant is the instance that made the claim.
		Claimant ident.Instance
	}

	// Group takes claims for one instance by group commit. It is safe for
	// concurrent use. Create it with New.
	Group struct {
		table    store.Table
		instance ident.Instance
		settings Settings

		mu       sync.Mutex
		running  bool
		pending  []*call
		expiring expiryQueue
	}

	// call is one Take in progress. Until its result is sent on done, it is
	// owned by either the pending list, commit or resolve.
	call struct {
		ctx   context.Context
		key   string
		value []byte
		nonce string
		// uncertain is true once a commit of this claim may have taken effect.
		uncertain bool
		// commits counts the commits after which the row was absent.
		commits int
		// done receives the result. It has a capacity of 1, so that the sender
		// never blocks.
		done chan callResult
	}

	callResult struct {
		result Result
		err    error
	}
)

// ErrUnresolved is returned if it is not known whether the claim was made.
var ErrUnresolved = errors.New("claim not resolved")

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MaxBatch:      64,
		CommitTimeout: 5 * time.Second,
		Retention:     time.Hour,
		MaxExpiring:   100_000,
		Backoff:       limit.DefaultBackoff(),
	}
}

// NewNonce returns a unique nonce.
func NewNonce() string { return uuid.NewString() }

// New returns a group that takes claims for the instance.
func New(t store.Table, instance ident.Instance, s Settings) *Group {
	return &Group{table: t, instance: instance, settings: s}
}

// Take claims the request with the nonce. A caller that repeats Take for the
// same request must pass the same nonce, so that it recognizes its own claim.
func (g *Group) Take(ctx context.Context, ws ident.Workspace, id ident.Request, nonce string) (Result, error) {
	value, err := record.EncodeClaim(record.Claim{Instance: g.instance, Nonce: nonce, Taken: time.Now()})
	if err != nil {
		return Result{}, fmt.Errorf("encode claim: %w", err)
	}
	c := &call{ctx: ctx, key: record.ClaimKey(ws, id), value: value,
		nonce: nonce, done: make(chan callResult, 1)}
	g.enqueue(c)
	select {
	case a := <-c.done:
		return a.result, a.err
	case <-ctx.Done():
		return Result{}, fmt.Errorf("%s before the store answered: %w", ctx.Err().Error(), ErrUnresolved)
	}
}

// enqueue adds calls to the pending list and starts the goroutine that commits
// them unless it is running. The goroutine ends when no call is pending.
func (g *Group) enqueue(calls ...*call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending = append(g.pending, calls...)
	if !g.running && len(g.pending) > 0 {
		g.running = true
		go g.commitPending()
	}
}

// commitPending commits batches of pending calls until none is left.
func (g *Group) commitPending() {
	for {
		batch, expired := g.nextBatch()
		if batch == nil {
			return
		}
		g.commit(batch, expired)
	}
}

// nextBatch returns the calls of the next transaction, and expired claims to be
// deleted by it. It returns nil if no call is pending.
func (g *Group) nextBatch() ([]*call, []expiringClaim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var batch, rest []*call
	keys := make(map[string]bool)
	for _, c := range g.pending {
		switch {
		case c.ctx.Err() != nil:
			c.finish(Result{}, fmt.Errorf("%s before the commit: %w", c.ctx.Err().Error(), ErrUnresolved))
		case len(batch) == g.settings.MaxBatch || keys[c.key]:
			// A transaction cannot contain two claims of the same request.
			rest = append(rest, c)
		default:
			keys[c.key] = true
			batch = append(batch, c)
		}
	}
	g.pending = rest
	if batch == nil {
		g.running = false
		return nil, nil
	}
	return batch, g.expiring.popExpired(time.Now(), g.settings.MaxBatch)
}

// commit commits a batch and finishes its calls or hands them over for a further
// commit or for resolution.
func (g *Group) commit(batch []*call, expired []expiringClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.CommitTimeout)
	defer cancel()
	version, err := g.table.Commit(ctx, transaction(batch, expired))
	var conflict *store.ConflictError
	switch {
	case err == nil:
		g.finishCommitted(batch, version)
	case errors.As(err, &conflict):
		g.handleConflict(batch, expired, conflict)
	case errors.Is(err, store.ErrUnavailable):
		g.requeueExpired(expired)
		g.failBatch(batch, err)
	default:
		g.requeueExpired(expired)
		for _, c := range batch {
			c.uncertain = true
			go g.resolve(c)
		}
	}
}

// finishCommitted finishes calls whose transaction was committed at version and
// queues their claims for deletion.
func (g *Group) finishCommitted(batch []*call, version int64) {
	now := time.Now()
	g.mu.Lock()
	for _, c := range batch {
		g.expiring.add(expiringClaim{key: c.key, version: version, expires: now.Add(g.settings.Retention)},
			g.settings.MaxExpiring)
	}
	g.mu.Unlock()
	for _, c := range batch {
		c.finish(Result{Mine: true, Claimant: g.instance}, nil)
	}
}

// handleConflict resolves the calls whose rows exist and commits the others
// again. An expired claim whose row has changed is dropped.
func (g *Group) handleConflict(batch []*call, expired []expiringClaim, conflict *store.ConflictError) {
	conflicting := make(map[string]bool, len(conflict.Keys))
	for _, k := range conflict.Keys {
		conflicting[k] = true
	}
	var retry []*call
	for _, c := range batch {
		if conflicting[c.key] {
			go g.resolve(c)
			continue
		}
		retry = append(retry, c)
	}
	var unchanged []expiringClaim
	for _, e := range expired {
		if !conflicting[e.key] {
			unchanged = append(unchanged, e)
		}
	}
	if len(retry) == len(batch) && len(unchanged) == len(expired) {
		// The store reported no row of this transaction, so all rows have to
		// be read.
		retry = nil
		for _, c := range batch {
			go g.resolve(c)
		}
	}
	g.requeueExpired(unchanged)
	g.enqueueFront(retry)
}

// enqueueFront adds calls to the front of the pending list. It is called by the
// goroutine that commits, which therefore need not be started.
func (g *Group) enqueueFront(calls []*call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending = append(calls, g.pending...)
}

// failBatch finishes calls whose transaction had no effect. A call that was
// uncertain before remains uncertain, because its earlier transaction may still
// be applied. Its error then wraps ErrUnresolved and not store.ErrUnavailable,
// which callers take as proof that no claim was made.
func (g *Group) failBatch(batch []*call, err error) {
	for _, c := range batch {
		if c.uncertain {
			c.finish(Result{}, fmt.Errorf("commit claim again: %s: %w", err.Error(), ErrUnresolved))
			continue
		}
		c.finish(Result{}, fmt.Errorf("commit claim: %w", err))
	}
}

// requeueExpired returns expired claims that were not deleted to the queue.
func (g *Group) requeueExpired(expired []expiringClaim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expiring.pushFront(expired)
}

func (c *call) finish(res Result, err error) { c.done <- callResult{result: res, err: err} }

// transaction returns the transaction that adds the claims of the batch and
// deletes the expired ones.
func transaction(batch []*call, expired []expiringClaim) store.Txn {
	var t store.Txn
	for _, c := range batch {
		t.Checks = append(t.Checks, store.Check{Key: c.key})
		t.Puts = append(t.Puts, store.Put{Key: c.key, Value: c.value})
	}
	for _, e := range expired {
		t.Checks = append(t.Checks, store.Check{Key: e.key, Version: e.version})
		t.Deletes = append(t.Deletes, e.key)
	}
	return t
}
