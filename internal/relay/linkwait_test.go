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

// TestLinkWait guards against a request that keeps its endpoint or its queue slot
// while it waits for the link between regions, that is sent although it must
// wait, that counts the wait as an attempt, or that waits past its deadline, and
// against more waiting requests than allowed. The only endpoint has as many
// slots as requests may wait, so that the urgent request is delayed if waiting
// requests keep them.
func TestLinkWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		linkFree := begin.Add(5 * time.Second)
		h := newHarness(1, 1, func(c *Calls, s *Settings) {
			s.MaxLinkWaiters = 2
			c.LinkWait = func(_ route.Endpoint, req Request, now time.Time) (time.Duration, bool) {
				if req.Class == jobs.Urgent || !now.Before(linkFree) {
					return 0, true
				}
				return min(time.Second, linkFree.Sub(now)), req.Deadline.After(linkFree)
			}
		})
		h.endpoints[0].Slots = 2
		r := h.relays["entry-1"]
		r.UpdateEndpoints(h.list(), begin)
		var mu sync.Mutex
		var out []string
		do := func(id ident.Request, class jobs.Class, limit time.Duration) {
			go func() {
				answer := r.Do(t.Context(), Request{
					Workspace: "foundry", ID: id, Service: "proofs", Region: "coast", Class: class,
					Deadline: begin.Add(limit),
				})
				mu.Lock()
				defer mu.Unlock()
				out = append(out, fmt.Sprintf("%s after %v: %v %s\n", id, time.Since(begin), answer.Outcome, answer.Reason))
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
		golden.Assert(t, strings.Join(out, "")+fmt.Sprintf("sent %d\n", h.sends), "linkwait.golden")
	})
}
