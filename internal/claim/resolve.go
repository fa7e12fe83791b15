package claim

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

// resolve reads the row of a call whose commit was uncertain or conflicted, and
// finishes the call with the claimant in the row. It retries failed reads, with
// back-off, until the deadline of the call. If the row is absent, the call is
// committed again.
func (g *Group) resolve(c *call) {
	for reads := 0; ; reads++ {
		row, err := g.table.Get(c.ctx, c.key)
		switch {
		case err == nil:
			c.finish(g.checkClaimant(c, row))
			return
		case errors.Is(err, store.ErrNotFound):
			// Either the uncertain transaction has had no effect so far, or
			// the conflicting claim was deleted. The claim is committed again
			// with the same nonce, with back-off in case every answer of the
			// store is lost.
			c.commits++
			if c.sleep(g.settings.Backoff.Delay(c.commits)) {
				g.enqueue(c)
				return
			}
		}
		if !c.sleep(g.settings.Backoff.Delay(reads)) {
			c.finish(Result{}, fmt.Errorf("read claim: %s: %w", err.Error(), ErrUnresolved))
			return
		}
	}
}

// checkClaimant decodes the claim in the row and reports whether it was made
// with the nonce of the call. If so, the claim is queued for deletion.
func (g *Group) checkClaimant(c *call, row store.Row) (Result, error) {
	held, err := record.DecodeClaim(row.Value)
	if err != nil {
		return Result{}, fmt.Errorf("decode claim in row %s: %s: %w", row.Key, err.Error(), ErrUnresolved)
	}
	mine := held.Instance == g.instance && held.Nonce == c.nonce
	if mine {
		g.mu.Lock()
		g.expiring.add(expiringClaim{key: c.key, version: row.Version, expires: held.Taken.Add(g.settings.Retention)},
			g.settings.MaxExpiring)
		g.mu.Unlock()
	}
	return Result{Mine: mine, Claimant: held.Instance}, nil
}

// sleep waits for d. It returns false if the context of the call ends first.
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
