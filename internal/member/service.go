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
	// Deps are the calls that a Service makes.
	Deps struct {
		Table store.Table
		Self  Info
		// Local returns the state of this instance.
		Local func() State
		// Exchange sends a state to an instance and returns its answer.
		Exchange func(ctx context.Context, to Info, s State) (State, error)
		// Received is called with each state that another instance told.
		Received func(s State)
		Log      event.Log
	}

	// Service keeps the view up to date.
	Service struct {
		*View
		deps Deps
	}
)

const (
	exchangeEvery = time.Second
	// exchangesPerSecond bounds what an instance sends: an exchange takes about
	// 500 bytes, is answered as often as it is made, and an instance may use
	// 20 KB a second for control.
	exchangesPerSecond = 16
	exchangeTimeout    = time.Second
	scanEvery          = 2 * time.Second
	writeEvery         = 4 * time.Second
	storeTimeout       = 2 * time.Second
)

// NewService returns a service that has not started.
func NewService(d Deps) *Service {
	return &Service{View: NewView(d.Self), deps: d}
}

// Join writes the row of this instance and reads those of the others.
func (s *Service) Join(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := s.write(ctx); err != nil {
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

// Run keeps the rows and the exchanges going until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.every(ctx, s.exchangePeriod, s.Offer) })
	loops.Go(func() { s.every(ctx, fixed(scanEvery), func(ctx context.Context) { s.quietly(ctx, s.scan) }) })
	loops.Go(func() { s.every(ctx, fixed(writeEvery), func(ctx context.Context) { s.quietly(ctx, s.write) }) })
	loops.Wait()
}

// Offer sends the state of this instance to all live instances now and waits
// for their answers, at most for the timeout of an exchange.
func (s *Service) Offer(ctx context.Context) { s.exchangeAll(ctx) }

// Ask exchanges states with all instances that are known or listed and returns
// the number that answered. A new instance learns the configuration by it while
// the store is down.
func (s *Service) Ask(ctx context.Context) int { return s.exchangeAll(ctx) }

// Receive takes the state that another instance sent and returns the answer.
func (s *Service) Receive(from State) State {
	s.take(from)
	return s.stateFor(from)
}

func (s *Service) take(from State) {
	if s.heard(from, time.Now()) {
		s.deps.Log.Write(event.PeerFound, "peer", from.Instance)
	}
	if s.deps.Received != nil {
		s.deps.Received(from)
	}
}

// stateFor returns the local state, with the configuration only if the other
// side has a lower version and cannot read it from the store. At 250 workspaces
// a configuration has 115 KB, too much to send to everybody with each change.
func (s *Service) stateFor(theirs State) State {
	local := s.deps.Local()
	if !theirs.Wants || local.ConfigVersion <= theirs.ConfigVersion {
		local.Config = nil
	}
	return local
}

// exchangeAll returns the number of instances that answered.
func (s *Service) exchangeAll(ctx context.Context) int {
	var calls sync.WaitGroup
	var answered atomic.Int64
	for _, p := range s.reachable(time.Now()) {
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

// reportLost writes which instances no longer answer. It comes before the
// view forgets those whose rows are gone.
func (s *Service) reportLost(now time.Time) {
	for _, p := range s.lost(now) {
		s.deps.Log.Write(event.PeerLost, "peer", p.Instance, "silent", now.Sub(p.Heard), "stopping", p.State.Stopping)
	}
}

func (s *Service) exchange(ctx context.Context, p Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := s.deps.Exchange(ctx, p.Info, s.stateFor(p.State))
	if err != nil {
		return false
	}
	s.take(answer)
	return true
}

func (s *Service) scan(ctx context.Context) error {
	rows, err := s.deps.Table.Scan(ctx, record.MemberPrefix)
	if err != nil {
		return fmt.Errorf("scan instances: %w", err)
	}
	var seen []sighted
	for _, r := range rows {
		m, err := record.DecodeMember(r.Value)
		if err != nil {
			// A row of another version of the program must not hide the rest.
			continue
		}
		seen = append(seen, sighted{info: Info(m), version: r.Version})
	}
	now := time.Now()
	s.reportLost(now)
	return s.clean(ctx, s.observe(seen, now))
}

// clean deletes the rows of instances that are gone. The check on the version
// keeps the row of an instance that came back meanwhile.
func (s *Service) clean(ctx context.Context, old []sighted) error {
	for _, o := range old {
		key := record.MemberKey(o.info.Instance)
		_, err := s.deps.Table.Commit(ctx, store.Txn{
			Checks:  []store.Check{{Key: key, Version: o.version}},
			Deletes: []string{key},
		})
		if err != nil && !store.IsConflict(err) {
			return fmt.Errorf("delete row of instance %s: %w", o.info.Instance, err)
		}
	}
	return nil
}

func (s *Service) write(ctx context.Context) error {
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

// quietly runs a step whose failure the next round repairs.
func (s *Service) quietly(ctx context.Context, step func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_ = step(ctx)
}

func (s *Service) exchangePeriod() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.period()
}

func fixed(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// every runs f in rounds. The period varies by a tenth so that the instances
// of a site that started together do not act in step.
func (s *Service) every(ctx context.Context, next func() time.Duration, f func(context.Context)) {
	for {
		period := next()
		wait := period - period/20 + time.Duration(rand.Int64N(int64(period/10)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			f(ctx)
		}
	}
}
