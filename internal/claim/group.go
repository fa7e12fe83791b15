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
	// Settings bound the group commit and the life of claims.
	Settings struct {
		// MaxBatch bounds the claims of one transaction.
		MaxBatch int
		// CommitTimeout bounds one transaction.
		CommitTimeout time.Duration
		// Retention is the time for which a claim is kept.
		Retention time.Duration
		// MaxOld bounds the own claims that are remembered for deletion. The
		// Sweeper deletes the others.
		MaxOld int
		// Backoff is used between reads of a claim whose commit is uncertain.
		Backoff limit.Backoff
	}

	// Result tells who holds a claim.
	Result struct {
		// Mine is true if this call's nonce is in the row.
		Mine     bool
		Claimant ident.Instance
	}

	// Group takes claims for one instance. It is safe for concurrent use. Use
	// New.
	Group struct {
		table    store.Table
		instance ident.Instance
		settings Settings

		mu      sync.Mutex
		running bool
		pending []*call
		old     ageing
	}

	// call is one Take in progress. Until done is sent it belongs to either
	// the pending list, the transaction or its resolution.
	call struct {
		ctx   context.Context
		key   string
		value []byte
		nonce string
		// uncertain is true once a commit of this claim may have taken effect.
		uncertain bool
		// commits counts the commits without a known effect.
		commits int
		// done has a capacity of 1, so that the sender never blocks.
		done chan answer
	}

	answer struct {
		res Result
		err error
	}
)

// ErrUnresolved means that it is not known whether the claim was made.
var ErrUnresolved = errors.New("claim not resolved")

// DefaultSettings returns the settings in use where none are given.
func DefaultSettings() Settings {
	return Settings{
		MaxBatch:      64,
		CommitTimeout: 5 * time.Second,
		Retention:     time.Hour,
		MaxOld:        100_000,
		Backoff:       limit.DefaultBackoff(),
	}
}

// NewNonce returns a value that no other claim has.
func NewNonce() string { return uuid.NewString() }

// New returns a group that claims for the instance.
func New(t store.Table, instance ident.Instance, s Settings) *Group {
	return &Group{table: t, instance: instance, settings: s}
}

// Take claims the request with the nonce. A second Take of the same request
// by the same caller uses the same nonce, so that it finds its own claim.
func (g *Group) Take(ctx context.Context, ws ident.Workspace, id ident.Request, nonce string) (Result, error) {
	value, err := record.EncodeClaim(record.Claim{Instance: g.instance, Nonce: nonce, Taken: time.Now()})
	if err != nil {
		return Result{}, fmt.Errorf("encode claim: %w", err)
	}
	c := &call{ctx: ctx, key: record.ClaimKey(ws, id), value: value, nonce: nonce, done: make(chan answer, 1)}
	g.enqueue(c)
	select {
	case a := <-c.done:
		return a.res, a.err
	case <-ctx.Done():
		return Result{}, fmt.Errorf("%s before the store answered: %w", ctx.Err().Error(), ErrUnresolved)
	}
}

// enqueue adds calls to the next transaction and starts the thread that
// commits, which ends when nothing is pending.
func (g *Group) enqueue(calls ...*call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending = append(g.pending, calls...)
	if !g.running && len(g.pending) > 0 {
		g.running = true
		go g.run()
	}
}

func (g *Group) run() {
	for {
		batch, old := g.next()
		if batch == nil {
			return
		}
		g.commit(batch, old)
	}
}

// next returns the calls of the next transaction, and old claims to delete in
// the same one. It returns nil if nothing is pending.
func (g *Group) next() ([]*call, []aged) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var batch, rest []*call
	keys := make(map[string]bool)
	for _, c := range g.pending {
		switch {
		case c.ctx.Err() != nil:
			c.end(Result{}, fmt.Errorf("%s before the commit: %w", c.ctx.Err().Error(), ErrUnresolved))
		case len(batch) == g.settings.MaxBatch || keys[c.key]:
			// One transaction cannot hold two claims of one request.
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
	return batch, g.old.due(time.Now(), g.settings.MaxBatch)
}

func (g *Group) commit(batch []*call, old []aged) {
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.CommitTimeout)
	defer cancel()
	version, err := g.table.Commit(ctx, transaction(batch, old))
	var conflict *store.ConflictError
	switch {
	case err == nil:
		g.committed(batch, version)
	case errors.As(err, &conflict):
		g.conflicted(batch, old, conflict)
	case errors.Is(err, store.ErrUnavailable):
		g.putBack(old)
		g.refuse(batch, err)
	default:
		g.putBack(old)
		for _, c := range batch {
			c.uncertain = true
			go g.resolve(c)
		}
	}
}

func (g *Group) committed(batch []*call, version int64) {
	now := time.Now()
	g.mu.Lock()
	for _, c := range batch {
		g.old.add(aged{key: c.key, version: version, due: now.Add(g.settings.Retention)}, g.settings.MaxOld)
	}
	g.mu.Unlock()
	for _, c := range batch {
		c.end(Result{Mine: true, Claimant: g.instance}, nil)
	}
}

// conflicted resolves the calls whose rows exist and commits the others again.
// An old claim whose row has changed is forgotten.
func (g *Group) conflicted(batch []*call, old []aged, conflict *store.ConflictError) {
	named := make(map[string]bool, len(conflict.Keys))
	for _, k := range conflict.Keys {
		named[k] = true
	}
	var again []*call
	for _, c := range batch {
		if named[c.key] {
			go g.resolve(c)
			continue
		}
		again = append(again, c)
	}
	var keep []aged
	for _, o := range old {
		if !named[o.key] {
			keep = append(keep, o)
		}
	}
	if len(again) == len(batch) && len(keep) == len(old) {
		// The store named no row of ours, so the rows have to be read.
		again = nil
		for _, c := range batch {
			go g.resolve(c)
		}
	}
	g.putBack(keep)
	g.enqueueFirst(again)
}

func (g *Group) enqueueFirst(calls []*call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending = append(calls, g.pending...)
}

// refuse answers calls whose transaction had no effect. A call that was
// uncertain before stays so, because its earlier transaction may still arrive.
// Its error must then not wrap store.ErrUnavailable, which callers take as
// proof that no claim was made.
func (g *Group) refuse(batch []*call, err error) {
	for _, c := range batch {
		if c.uncertain {
			c.end(Result{}, fmt.Errorf("commit again: %s: %w", err.Error(), ErrUnresolved))
			continue
		}
		c.end(Result{}, fmt.Errorf("commit claim: %w", err))
	}
}

func (g *Group) putBack(old []aged) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.old.putBack(old)
}

func (c *call) end(res Result, err error) { c.done <- answer{res: res, err: err} }

func transaction(batch []*call, old []aged) store.Txn {
	var t store.Txn
	for _, c := range batch {
		t.Checks = append(t.Checks, store.Check{Key: c.key})
		t.Puts = append(t.Puts, store.Put{Key: c.key, Value: c.value})
	}
	for _, o := range old {
		t.Checks = append(t.Checks, store.Check{Key: o.key, Version: o.version})
		t.Deletes = append(t.Deletes, o.key)
	}
	return t
}
