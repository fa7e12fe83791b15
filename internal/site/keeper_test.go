package site_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/site"
	"gotest.tools/v3/golden"
)

// script records what a keeper does.
type script struct {
	table *fakes.Table
	begin time.Time
	out   strings.Builder
}

func (s *script) keeper(ctx context.Context) *site.Keeper {
	k := site.NewKeeper(site.Deps{Table: s.table.Store(), Log: event.Discard()})
	go k.Run(ctx)
	return k
}

func (s *script) apply(ctx context.Context, k *site.Keeper, base int64) {
	c, err := k.Apply(ctx, base, &config.Config{Site: "test", Limits: config.DefaultLimits()})
	if err != nil {
		s.note("apply on %d: %v", base, err)
		return
	}
	s.note("apply on %d: accepted as %d", base, c.Version)
}

func (s *script) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "%6v %s\n", time.Since(s.begin).Truncate(100*time.Millisecond), fmt.Sprintf(format, args...))
}

func (s *script) show(name string, k *site.Keeper) {
	s.note("%s: in force %d, wants a copy %v", name, k.Current().Version, k.Wants())
}

// TestKeeper guards against a configuration that is accepted twice, that does
// not come in force, or that a restarted instance takes back.
func TestKeeper(t *testing.T) {
	tests := []struct {
		name string
		run  func(ctx context.Context, s *script)
	}{
		{"race", func(ctx context.Context, s *script) {
			a, b := s.keeper(ctx), s.keeper(ctx)
			s.apply(ctx, a, 0)
			s.apply(ctx, b, 0)
			s.apply(ctx, b, 1)
			time.Sleep(1500 * time.Millisecond)
			s.show("a", a)
			s.show("b", b)
		}},
		{"answerLost", func(ctx context.Context, s *script) {
			a := s.keeper(ctx)
			s.table.Faults.Set(fakes.Fault{Kind: fakes.Lost, Next: 1})
			s.apply(ctx, a, 0)
			s.show("a", a)
		}},
		{"heard", func(ctx context.Context, s *script) {
			a, b := s.keeper(ctx), s.keeper(ctx)
			time.Sleep(300 * time.Millisecond)
			s.apply(ctx, a, 0)
			b.Hear(1)
			synctest.Wait()
			s.show("b", b)
		}},
		{"storeDown", func(ctx context.Context, s *script) {
			a := s.keeper(ctx)
			s.apply(ctx, a, 0)
			lower := a.Current()
			s.apply(ctx, a, 1)
			s.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
			b := s.keeper(ctx)
			b.Hear(2)
			b.Learn(lower)
			time.Sleep(5 * time.Second)
			s.show("b with the lower version", b)
			b.Learn(a.Current())
			synctest.Wait()
			s.show("b with the heard version", b)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{table: fakes.NewTable(), begin: time.Now()}
				tc.run(t.Context(), s)
				golden.Assert(t, s.out.String(), tc.name+".golden")
			})
		})
	}
}

// TestNoStepBack guards against an older configuration that comes in force
// after a newer one, from a peer that is behind or from a late answer.
func TestNoStepBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &script{table: fakes.NewTable(), begin: time.Now()}
		k := s.keeper(ctx)
		s.apply(ctx, k, 0)
		s.apply(ctx, k, 1)
		time.Sleep(1500 * time.Millisecond)
		highest := int64(2)
		for _, version := range []int64{1, 2, 3, 2} {
			k.Learn(&config.Config{Version: version, Limits: config.DefaultLimits()})
			time.Sleep(500 * time.Millisecond)
			highest = max(highest, version)
			if got := k.Current().Version; got != highest {
				t.Errorf("after version %d: %d in force, want %d", version, got, highest)
			}
		}
	})
}
