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

// callerPool simulates callers that submit one request after another and retry
// those that were not run. It counts the answers by outcome.
type callerPool struct {
	harness *harness
	random  *rand.Rand
	mu      sync.Mutex
	done    int
	unknown int
	notRun  int
}

func (c *callerPool) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *callerPool) recordOutcome(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch a.Outcome {
	case Done:
		c.done++
	case NotRun:
		c.notRun++
	case Unknown:
		c.unknown++
	}
}

// submitLoop submits idempotent and non-idempotent requests alternately until
// end. Each submission goes to a random instance, as behind a load balancer.
func (c *callerPool) submitLoop(n int, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%s-%d-%d", []string{"any", "once"}[i%2], n, i)
		for {
			instance := ident.Instance(fmt.Sprint("entry-", 1+c.intN(len(c.harness.relays))))
			answer := c.harness.submit(instance, request(id))
			c.recordOutcome(answer)
			if answer.Outcome != NotRun || !time.Now().Before(end) {
				break
			}
			advance(answer.RetryAfter + time.Duration(c.intN(2000))*time.Millisecond)
		}
		advance(time.Duration(c.intN(2000)) * time.Millisecond)
	}
}

// run runs the given number of callers for d and waits until they have ended.
func (c *callerPool) run(callers int, d time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for n := range callers {
		wg.Go(func() { c.submitLoop(n, end) })
	}
	wg.Wait()
}

// totals returns the number of attempts sent and of requests that ran.
func (h *harness) totals() (sends, runs int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sends, len(h.runs)
}

// sampleRates starts to record the attempts and the requests that ran for the
// first time in each of the given number of intervals. The returned function
// formats the records as a table.
func (h *harness) sampleRates(step time.Duration, steps int) func() string {
	var mu sync.Mutex
	var rows []string
	var sends, runs int
	n := 0
	var sample func()
	sample = func() {
		allSends, allRuns := h.totals()
		mu.Lock()
		defer mu.Unlock()
		rows = append(rows, fmt.Sprintf("| %v | %d | %d | %.2f |",
			time.Duration(n)*step, allRuns-runs, allSends-sends, float64(allSends-sends)/float64(max(allRuns-runs, 1))))
		sends, runs = allSends, allRuns
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

// TestStoreOutage guards against a retry storm when the store recovers after an
// outage of 10 minutes, and against idempotent requests that stop during the
// outage.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(4, 1, nil)
		h.failCommits(store.ErrUnavailable, false, 0)
		c := &callerPool{harness: h, random: rand.New(rand.NewPCG(seed, seed))}
		var sends, runs int
		time.AfterFunc(10*time.Minute, func() {
			h.clearFaults()
			sends, runs = h.totals()
		})
		rateTable := h.sampleRates(30*time.Second, 24)
		c.run(75, 12*time.Minute)
		allSends, allRuns := h.totals()
		ratio := float64(allSends-sends) / float64(allRuns-runs)
		t.Logf("seed %d: %d requests and %.3f attempts per request in the recovery, %d done, %d not run, %d unknown",
			seed, allRuns-runs, ratio, c.done, c.notRun, c.unknown)
		t.Log(rateTable())
		assert.Assert(t, ratio <= 1.2, "%.3f attempts per request", ratio)
		assert.Assert(t, runs > 0, "no idempotent request ran while the store was unavailable")
		h.assertNoBreach(t)
	})
}

// TestHalfOfEndpointsDie guards against failed requests, other than those in
// flight, when half of the endpoints die at once.
func TestHalfOfEndpointsDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(4, 10, nil)
		c := &callerPool{harness: h, random: rand.New(rand.NewPCG(seed, seed))}
		time.AfterFunc(30*time.Second, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			for _, f := range h.endpoints[:5] {
				f.defaultBehaviour = unreachable
				f.script = []behaviour{diesAfterRun, diesBeforeRun, diesAfterRun}
			}
		})
		rateTable := h.sampleRates(10*time.Second, 12)
		c.run(100, 2*time.Minute)
		sends, runs := h.totals()
		t.Logf("seed %d: %d requests, %d attempts, %d done, %d not run, %d unknown", seed, runs, sends, c.done, c.notRun, c.unknown)
		t.Log(rateTable())
		assert.Assert(t, c.unknown <= 15, "%d unknown, but only 15 attempts were lost", c.unknown)
		assert.Assert(t, c.notRun <= 5, "%d not run", c.notRun)
		assert.Assert(t, float64(sends) <= 1.2*float64(runs))
		h.assertNoBreach(t)
	})
}

// TestRandomFaults guards against a broken promise under simultaneous random
// faults of endpoints, store and instances.
func TestRandomFaults(t *testing.T) {
	kinds := []behaviour{refuses, unreachable, diesBeforeRun, diesAfterRun, answersLate, truncated, answersPrevious}
	for s := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(3, 4, nil)
			c := &callerPool{harness: h, random: rand.New(rand.NewPCG(seed, s))}
			h.commitFault = func(_ ident.Instance, apply func() (int64, error)) (int64, error) {
				return c.randomCommit(apply)
			}
			h.readFault = func() error {
				if c.intN(4) == 0 {
					return store.ErrUnavailable
				}
				return nil
			}
			h.resolveFault = func() bool { return c.intN(4) == 0 }
			for _, f := range h.endpoints {
				for range 200 {
					do := answers
					if c.intN(3) == 0 {
						do = kinds[c.intN(len(kinds))]
					}
					f.script = append(f.script, do)
				}
			}
			time.AfterFunc(time.Minute, func() { h.kill("entry-3") })
			c.run(30, 2*time.Minute)
			advance(2 * time.Minute)
			assert.Assert(t, c.done > 0)
			t.Logf("seed %d/%d: %d done, %d not run, %d unknown, %d breaches", seed, s, c.done, c.notRun, c.unknown, len(h.breaches))
			h.assertNoBreach(t)
		})
	}
}

// randomCommit applies a commit after a short random delay. In 4 of 12 cases it
// fails instead: the store is unavailable, or the answer is lost, without effect,
// with effect, or with an effect that takes place later.
func (c *callerPool) randomCommit(apply func() (int64, error)) (int64, error) {
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
