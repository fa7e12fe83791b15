package relay

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/store"
	"gotest.tools/v3/assert"
)

// crowd is callers that submit one request after another and retry refused ones.
type crowd struct {
	w       *world
	random  *rand.Rand
	mu      sync.Mutex
	done    int
	unknown int
	refused int
}

func (c *crowd) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *crowd) count(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch a.Outcome {
	case Done:
		c.done++
	case NotRun:
		c.refused++
	case Unknown:
		c.unknown++
	}
}

// caller submits requests until end, alternately of both kinds. A retry goes
// through any instance, as behind a load balancer.
func (c *crowd) caller(n int, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%s-%d-%d", []string{"any", "once"}[i%2], n, i)
		for {
			instance := ident.Instance(fmt.Sprint("entry-", 1+c.intN(len(c.w.relays))))
			ans := c.w.submit(instance, request(id))
			c.count(ans)
			if ans.Outcome != NotRun || !time.Now().Before(end) {
				break
			}
			advance(ans.RetryAfter + time.Duration(c.intN(2000))*time.Millisecond)
		}
		advance(time.Duration(c.intN(2000)) * time.Millisecond)
	}
}

func (c *crowd) run(callers int, d time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for n := range callers {
		wg.Go(func() { c.caller(n, end) })
	}
	wg.Wait()
}

func (w *world) counts() (sends, runs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sends, len(w.runs)
}

// curve records the attempts and the requests that ran, in steps of time.
func (w *world) curve(step time.Duration, steps int) func() string {
	var mu sync.Mutex
	var rows []string
	var sends, runs int
	n := 0
	var sample func()
	sample = func() {
		s, r := w.counts()
		mu.Lock()
		defer mu.Unlock()
		rows = append(rows, fmt.Sprintf("| %v | %d | %d | %.2f |",
			time.Duration(n)*step, r-runs, s-sends, float64(s-sends)/float64(max(r-runs, 1))))
		sends, runs = s, r
		if n++; n < steps {
			time.AfterFunc(step, sample)
		}
	}
	time.AfterFunc(step, sample)
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return "| from | requests | attempts | attempts per request |\n" + strings.Join(rows, "\n")
	}
}

// TestStoreOutage guards against a storm of attempts when the store returns
// after 10 minutes, and against idempotent requests that suffer meanwhile.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4, 1, nil)
		w.failCommits(store.ErrUnavailable, false, 0)
		c := &crowd{w: w, random: rand.New(rand.NewPCG(seed, seed))}
		var sends, runs int
		time.AfterFunc(10*time.Minute, func() {
			w.heal()
			sends, runs = w.counts()
		})
		curve := w.curve(30*time.Second, 24)
		c.run(75, 12*time.Minute)
		allSends, allRuns := w.counts()
		ratio := float64(allSends-sends) / float64(allRuns-runs)
		t.Logf("seed %d: %d requests and %.3f attempts per request in the recovery, %d done, %d refused, %d unknown",
			seed, allRuns-runs, ratio, c.done, c.refused, c.unknown)
		t.Log(curve())
		assert.Assert(t, ratio <= 1.2, "%.3f attempts per request", ratio)
		assert.Assert(t, runs > 0, "idempotent requests continue without the store")
		w.assertNoBreach(t)
	})
}

// TestHalfOfEndpointsDie guards against requests that fail, beyond those in
// flight, when half of the endpoints die at once.
func TestHalfOfEndpointsDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4, 10, nil)
		c := &crowd{w: w, random: rand.New(rand.NewPCG(seed, seed))}
		time.AfterFunc(30*time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, b := range w.backends[:5] {
				b.usual = unreachable
				b.script = []behaviour{diesAfter, diesBefore, diesAfter}
			}
		})
		curve := w.curve(10*time.Second, 12)
		c.run(100, 2*time.Minute)
		sends, runs := w.counts()
		t.Logf("seed %d: %d requests, %d attempts, %d done, %d refused, %d unknown", seed, runs, sends, c.done, c.refused, c.unknown)
		t.Log(curve())
		assert.Assert(t, c.unknown <= 15, "%d unknown, 15 attempts were lost", c.unknown)
		assert.Assert(t, c.refused <= 5, "%d refused", c.refused)
		assert.Assert(t, float64(sends) <= 1.2*float64(runs))
		w.assertNoBreach(t)
	})
}

// TestRandomFaults guards against a broken promise under random faults of
// endpoints, store and instances at once.
func TestRandomFaults(t *testing.T) {
	kinds := []behaviour{refuses, unreachable, diesBefore, diesAfter, late, truncated, previous}
	for s := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(3, 4, nil)
			c := &crowd{w: w, random: rand.New(rand.NewPCG(seed, s))}
			w.commitFault = func(_ ident.Instance, apply func() (int64, error)) (int64, error) {
				return c.randomCommit(apply)
			}
			w.readFault = func() error {
				if c.intN(4) == 0 {
					return store.ErrUnavailable
				}
				return nil
			}
			w.resolveFault = func() bool { return c.intN(4) == 0 }
			for _, b := range w.backends {
				for range 200 {
					do := answers
					if c.intN(3) == 0 {
						do = kinds[c.intN(len(kinds))]
					}
					b.script = append(b.script, do)
				}
			}
			time.AfterFunc(time.Minute, func() { w.kill("entry-3") })
			c.run(30, 2*time.Minute)
			advance(2 * time.Minute)
			assert.Assert(t, c.done > 0)
			t.Logf("seed %d/%d: %d done, %d refused, %d unknown, %d breaches", seed, s, c.done, c.refused, c.unknown, len(w.breach))
			w.assertNoBreach(t)
		})
	}
}

// randomCommit applies a commit at once, late, twice lost or not at all.
func (c *crowd) randomCommit(apply func() (int64, error)) (int64, error) {
	advance(time.Duration(c.intN(200)) * time.Millisecond)
	switch c.intN(12) {
	case 0:
		return 0, store.ErrUnavailable
	case 1:
		return 0, store.ErrUncertain
	case 2:
		_, _ = apply()
		return 0, store.ErrUncertain
	case 3:
		time.AfterFunc(time.Duration(c.intN(3000))*time.Millisecond, func() { _, _ = apply() })
		return 0, store.ErrUncertain
	}
	return apply()
}
