package relay

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/route"
)

// TestHold guards against a request that keeps an endpoint while it or its place in the queue
// while it waits for the link, that is sent although it was told to wait, that counts the wait as
// an attempt, or that waits past its deadline, and against more waiting
// requests than allowed. The only endpoint has as many slots
// as there are waiting requests.
func TestHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		open := begin.Add(5 * time.Second)
		w := newWorld(1, 1, func(c *Calls, s *Settings) {
			s.MaxHeld = 2
			c.Share = func(_ route.Endpoint, q Request, now time.Time) (time.Duration, bool) {
				if q.Class == jobs.Urgent || !now.Before(open) {
					return 0, true
				}
				return min(time.Second, open.Sub(now)), q.Deadline.After(open)
			}
		})
		w.backends[0].Slots = 2
		r := w.relays["entry-1"]
		r.UpdateEndpoints(w.list(), begin)
		var mu sync.Mutex
		var out []string
		do := func(id ident.Request, class jobs.Class, limit time.Duration) {
			go func() {
				ans := r.Do(t.Context(), Request{
					Workspace: "foundry", ID: id, Service: "proofs", Region: "coast", Class: class,
					Deadline: begin.Add(limit),
				})
				mu.Lock()
				defer mu.Unlock()
				out = append(out, fmt.Sprintf("%s after %v: %v %s\n", id, time.Since(begin), ans.Outcome, ans.Reason))
			}()
			synctest.Wait()
		}
		do("short", jobs.Background, 2*time.Second)
		do("bulk1", jobs.Background, time.Minute)
		do("bulk2", jobs.Normal, time.Minute)
		do("bulk3", jobs.Background, time.Minute)
		do("urgent", jobs.Urgent, time.Minute)
		advance(10 * time.Second)
		synctest.Wait()
		slices.Sort(out)
		golden.Assert(t, strings.Join(out, "")+fmt.Sprintf("sent %d\n", w.sends), "hold.golden")
	})
}
