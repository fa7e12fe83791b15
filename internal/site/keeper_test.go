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

// fixture is a table for several keepers, with a record of their results.
type fixture struct {
	table   *fakes.Table
	started time.Time
	out     strings.Builder
}

func (f *fixture) keeper(ctx context.Context) *site.Keeper {
	k := site.NewKeeper(site.Deps{Table: f.table.Store(), Log: event.Discard()})
	go k.Run(ctx)
	return k
}

func (f *fixture) apply(ctx context.Context, k *site.Keeper, base int64) {
	c, err := k.Apply(ctx, base, &config.Config{Site: "test", Limits: config.DefaultLimits()})
	if err != nil {
		f.logf("apply on %d: %v", base, err)
		return
	}
	f.logf("apply on %d: accepted as %d", base, c.Version)
}

func (f *fixture) logf(format string, args ...any) {
	fmt.Fprintf(&f.out, "%6v %s\n", time.Since(f.started).Truncate(100*time.Millisecond), fmt.Sprintf(format, args...))
}

func (f *fixture) logState(name string, k *site.Keeper) {
	f.logf("%s: in force %d, wants a copy %v", name, k.Current().Version, k.Wants())
}

// TestKeeper guards against two changes that are accepted as the same version, a
// change that is not put in force, and a restarted instance that reverts to an
// earlier version.
func TestKeeper(t *testing.T) {
	tests := []struct {
		name string
		run  func(ctx context.Context, f *fixture)
	}{
		{"race", func(ctx context.Context, f *fixture) {
			a, b := f.keeper(ctx), f.keeper(ctx)
			f.apply(ctx, a, 0)
			f.apply(ctx, b, 0)
			f.apply(ctx, b, 1)
			time.Sleep(1500 * time.Millisecond)
			f.logState("a", a)
			f.logState("b", b)
		}},
		{"answerLost", func(ctx context.Context, f *fixture) {
			a := f.keeper(ctx)
			f.table.Faults.Set(fakes.Fault{Kind: fakes.Lost, Next: 1})
			f.apply(ctx, a, 0)
			f.logState("a", a)
		}},
		{"versionReported", func(ctx context.Context, f *fixture) {
			a, b := f.keeper(ctx), f.keeper(ctx)
			time.Sleep(300 * time.Millisecond)
			f.apply(ctx, a, 0)
			b.Hear(1)
			synctest.Wait()
			f.logState("b", b)
		}},
		{"storeDown", func(ctx context.Context, f *fixture) {
			a := f.keeper(ctx)
			f.apply(ctx, a, 0)
			lower := a.Current()
			f.apply(ctx, a, 1)
			f.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
			b := f.keeper(ctx)
			b.Hear(2)
			b.Learn(lower)
			time.Sleep(5 * time.Second)
			f.logState("b with the lower version", b)
			b.Learn(a.Current())
			synctest.Wait()
			f.logState("b with the reported version", b)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{table: fakes.NewTable(), started: time.Now()}
				test.run(t.Context(), f)
				golden.Assert(t, f.out.String(), test.name+".golden")
			})
		})
	}
}

// TestVersionNeverDecreases guards against an older configuration that is put in
// force after a newer one, such as one from an outdated peer or a late answer.
func TestVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fixture{table: fakes.NewTable(), started: time.Now()}
		k := f.keeper(ctx)
		f.apply(ctx, k, 0)
		f.apply(ctx, k, 1)
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
