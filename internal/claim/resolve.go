package claim

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

// resolve reads the row of a call whose commit was uncertain or met another
// row, and answers the call. It repeats a read that fails, with back-off,
// until the call's deadline.
func (g *Group) resolve(c *call) {
	for n := 0; ; n++ {
		row, err := g.table.Get(c.ctx, c.key)
		switch {
		case err == nil:
			c.end(g.compare(c, row))
			return
		case errors.Is(err, store.ErrNotFound):
			// The row is absent: the lost transaction had no effect so far,
			// or the other claim was deleted. The same nonce is committed
			// again, with back-off in case the store loses every answer.
			c.commits++
			if c.sleep(g.settings.Backoff.Delay(c.commits)) {
				g.enqueue(c)
				return
			}
		}
		if !c.sleep(g.settings.Backoff.Delay(n)) {
			c.end(Result{}, fmt.Errorf("read claim: %s: %w", err.Error(), ErrUnresolved))
			return
		}
	}
}

func (g *Group) compare(c *call, row store.Row) (Result, error) {
	held, err := record.DecodeClaim(row.Value)
	if err != nil {
		return Result{}, fmt.Errorf("row %s: %s: %w", row.Key, err.Error(), ErrUnresolved)
	}
	mine := held.Instance == g.instance && held.Nonce == c.nonce
	if mine {
		g.mu.Lock()
		g.old.add(aged{key: c.key, version: row.Version, due: held.Taken.Add(g.settings.Retention)}, g.settings.MaxOld)
		g.mu.Unlock()
	}
	return Result{Mine: mine, Claimant: held.Instance}, nil
}

// sleep waits for d and reports whether the call is still wanted.
func (c *call) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}
