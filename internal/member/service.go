package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// Deps are the dependencies of a Service.
	Deps struct {
		Table store.Table
		Self  Info
		// Local returns the state of this instance.
		Local func() State
		// Exchange sends a state to an instance and returns the state of that
		// instance.
		Exchange func(ctx context.Context, to Info, s State) (State, error)
		// OnState, if not nil, is called with each state received from another
		// instance.
		OnState func(s State)
		Log     event.Log
	}

	// Service keeps a View up to date by exchanges with the other instances and
	// by scans of their rows, and writes the row of this instance.
	Service struct {
		*View
		deps Deps
	}
)

const (
	minExchangeInterval = time.Second
	// maxExchangesPerSecond bounds the exchanges that an instance starts. An
	// exchange takes about 500 bytes, an instance answers as many exchanges as it
	// starts, and it may use 20 KB/s for control traffic.
	maxExchangesPerSecond = 16
	exchangeTimeout       = time.Second
	scanInterval          = 2 * time.Second
	writeInterval         = 4 * time.Second
	storeTimeout          = 2 * time.Second
)

// NewService returns a service whose loops are not running yet.
func NewService(d Deps) *Service {
	return &Service{View: NewView(d.Self), deps: d}
}

// Join writes the row of this instance and reads those of the others.
func (s *Service) Join(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := s.writeRow(ctx); err != nil {
		return err
	}
	return s.scan(ctx)
}

// Leave deletes the row of this instance.
func (s *Service) Leave(ctx context.Context) error {
	key := record.MemberKey(s.deps.Self.Instance)
	if _, err := s.deps.Table.Commit(ctx, store.Txn{Deletes: []string{key}}); err != nil {
		return fmt.Errorf("delete row of this instance: %w", err)
	}
	return nil
}

// Run exchanges states, scans the rows and writes the row of this instance
// periodically until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.runPeriodically(ctx, s.exchangeInterval, s.ExchangeNow) })
	loops.Go(func() {
		s.runPeriodically(ctx, constantInterval(scanInterval), func(ctx context.Context) { s.tryStep(ctx, s.scan) })
	})
	loops.Go(func() {
		s.runPeriodically(ctx, constantInterval(writeInterval), func(ctx context.Context) { s.tryStep(ctx, s.writeRow) })
	})
	loops.Wait()
}

// ExchangeNow exchanges states with all live and listed instances now. It
// returns when they have answered, at the latest after the timeout of an
// exchange.
func (s *Service) ExchangeNow(ctx context.Context) { s.exchangeWithAll(ctx) }

// ExchangeAll exchanges states with all live and listed instances and returns
// the number that answered. While the store is down, a new instance gets the
// configuration this way.
func (s *Service) ExchangeAll(ctx context.Context) int { return s.exchangeWithAll(ctx) }

// Receive records the state that another instance sent and returns the state to
// answer with.
func (s *Service) Receive(from State) State {
	s.handleState(from)
	return s.stateFor(from)
}

func (s *Service) handleState(from State) {
	if s.recordExchange(from, time.Now()) {
		s.deps.Log.Write(event.PeerFound, "peer", from.Instance)
	}
	if s.deps.OnState != nil {
		s.deps.OnState(from)
	}
}

// stateFor returns the local state for an instance with the state remote. It
// includes the configuration only if that instance has a lower version and cannot
// read it from the store: with 250 workspaces a configuration has 115 KB, too
// much to send to all instances on each change.
func (s *Service) stateFor(remote State) State {
	local := s.deps.Local()
	if !remote.WantsConfig || local.ConfigVersion <= remote.ConfigVersion {
		local.Config = nil
	}
	return local
}

// exchangeWithAll exchanges states with all live and listed instances concurrently
// and returns the number that answered.
func (s *Service) exchangeWithAll(ctx context.Context) int {
	var calls sync.WaitGroup
	var answered atomic.Int64
	for _, p := range s.exchangeTargets(time.Now()) {
		calls.Go(func() {
			if s.exchange(ctx, p) {
				answered.Add(1)
			}
		})
	}
	calls.Wait()
	s.reportLost(time.Now())
	return int(answered.Load())
}

// reportLost logs the instances that no longer count as alive. It must run before
// observeRows, which removes instances without a row from the view.
func (s *Service) reportLost(now time.Time) {
	for _, p := range s.markLost(now) {
		s.deps.Log.Write(event.PeerLost, "peer", p.Instance, "silent", now.Sub(p.LastExchange), "stopping", p.State.Stopping)
	}
}

func (s *Service) exchange(ctx context.Context, p Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := s.deps.Exchange(ctx, p.Info, s.stateFor(p.State))
	if err != nil {
		return false
	}
	s.handleState(answer)
	return true
}

func (s *Service) scan(ctx context.Context) error {
	rows, err := s.deps.Table.Scan(ctx, record.MemberPrefix)
	if err != nil {
		return fmt.Errorf("scan instances: %w", err)
	}
	var found []memberRow
	for _, r := range rows {
		m, err := record.DecodeMember(r.Value)
		if err != nil {
			// A row that another version of the program wrote must not prevent
			// the others from being read.
			continue
		}
		found = append(found, memberRow{info: Info(m), version: r.Version})
	}
	now := time.Now()
	s.reportLost(now)
	return s.deleteRows(ctx, s.observeRows(found, now))
}

// deleteRows deletes stale rows. The check of the version keeps the row of an
// instance that has written it again in the meantime.
func (s *Service) deleteRows(ctx context.Context, stale []memberRow) error {
	for _, r := range stale {
		key := record.MemberKey(r.info.Instance)
		_, err := s.deps.Table.Commit(ctx, store.Txn{
			Checks:  []store.Check{{Key: key, Version: r.version}},
			Deletes: []string{key},
		})
		if err != nil && !store.IsConflict(err) {
			return fmt.Errorf("delete row of instance %s: %w", r.info.Instance, err)
		}
	}
	return nil
}

func (s *Service) writeRow(ctx context.Context) error {
	value, err := record.EncodeMember(record.Member(s.deps.Self))
	if err != nil {
		return fmt.Errorf("write row of this instance: %w", err)
	}
	put := store.Put{Key: record.MemberKey(s.deps.Self.Instance), Value: value}
	if _, err := s.deps.Table.Commit(ctx, store.Txn{Puts: []store.Put{put}}); err != nil {
		return fmt.Errorf("write row of this instance: %w", err)
	}
	return nil
}

// tryStep runs a step with a timeout. It ignores the error, since the step is
// repeated after the next interval.
func (s *Service) tryStep(ctx context.Context, step func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_ = step(ctx)
}

func (s *Service) exchangeInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchangeIntervalLocked()
}

func constantInterval(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// runPeriodically runs f after each interval until ctx ends. Random jitter of 5 %
// of the interval either way keeps the instances of a site that started together
// from acting at the same time.
func (s *Service) runPeriodically(ctx context.Context, nextInterval func() time.Duration, f func(context.Context)) {
	for {
		interval := nextInterval()
		wait := interval - interval/20 + time.Duration(rand.Int64N(int64(interval/10)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			f(ctx)
		}
	}
}
