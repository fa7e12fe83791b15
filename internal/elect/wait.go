package elect

import (
	"math"
	"time"
)

// maxRemaining is the remaining time while the lease cannot be acquired.
const maxRemaining = time.Duration(math.MaxInt64)

// acquirable reports whether the lease may be acquired now. The caller holds e.mu.
func (e *Elector) acquirable() bool { return !e.retired && e.remaining() <= 0 }

// remaining returns the time until the lease may be acquired, provided that it
// does not change and the store answers. The caller holds e.mu.
func (e *Elector) remaining() time.Duration {
	wait := e.delay()
	answered := max(wait+answeredTimeout-e.answered, 0)
	held := e.lease.Epoch != 0 && !e.lease.Released
	if held && e.lease.Holder != e.previousIncarnation {
		wait += leaseTimeout
	} else {
		answered = maxRemaining
		if held {
			wait = 0
		}
	}
	if e.changedAt.IsZero() {
		return answered
	}
	return min(max(wait-time.Since(e.changedAt), 0), answered)
}

// delay returns the time that this instance waits beyond leaseTimeout. It is the
// whole wait if there is no lease yet or the lease has been released.
func (e *Elector) delay() time.Duration {
	spread, fewCores := e.Self.step(jitterSteps)*jitterStep, e.Self.fewCoresWait()
	if e.storeLatency > slowLatency {
		spread = min(e.storeLatency*slowSpreadFactor, maxSlowSpread) * e.Self.step(slowSteps) / slowSteps
		fewCores *= slowFewCoresFactor
	}
	return min(e.storeLatency*latencyFactor, maxLatencyWait) + fewCores + e.yielding.wait(time.Now()) + spread
}

// step hashes the name of the incarnation to a number below steps.
func (s Self) step(steps int) time.Duration {
	h := 0
	for _, c := range s.Incarnation {
		h = (h*31 + int(c)) % steps
	}
	return time.Duration(h)
}

// fewCoresWait returns the additional wait of an instance with fewer cores than
// leaderCores, or 0 if Cores is not set.
func (s Self) fewCoresWait() time.Duration {
	if s.Cores <= 0 || s.Cores >= leaderCores {
		return 0
	}
	return min(time.Duration((leaderCores/s.Cores-1)*float64(fewCoresUnit)), maxFewCoresWait)
}

// timeout returns the timeout of a call at the current latency of the store.
func (e *Elector) timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.storeLatency > slowLatency {
		return slowCallTimeout
	}
	return callTimeout
}

// setStoreLatency records the latency of the store.
func (e *Elector) setStoreLatency(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeLatency = d
}
