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

// fixture is a table for several managers, with a record of their results.
type fixture struct {
	table   *fakes.Table
	started time.Time
	out     strings.Builder
}

func (f *fixture) manager(ctx context.Context) *site.Manager {
	m := site.NewManager(site.Deps{Table: f.table.Store(), Log: event.Discard()})
	go m.Run(ctx)
	return m
}

func (f *fixture) apply(ctx context.Context, m *site.Manager, base int64) {
	c, err := m.Apply(ctx, base, &config.Config{Site: "test", Limits: config.DefaultLimits()})
	if err != nil {
		f.logf("apply on %d: %v", base, err)
		return
	}
	f.logf("apply on %d: accepted as %d", base, c.Version)
}

func (f *fixture) logf(format string, args ...any) {
	fmt.Fprintf(&f.out, "%6v %s\n", time.Since(f.started).Truncate(100*time.Millisecond), fmt.Sprintf(format, args...))
}

func (f *fixture) logState(name string, m *site.Manager) {
	f.logf("%s: in force %d, needs the configuration %v", name, m.Current().Version, m.NeedsConfig())
}

// TestManager guards against two changes that are accepted as the same version, a
// change that is not put in force, and a restarted instance that reverts to an
// earlier version.
func TestManager(t *testing.T) {
	tests := []struct {
		name string
		run  func(ctx context.Context, f *fixture)
	}{
		{"race", func(ctx context.Context, f *fixture) {
			a, b := f.manager(ctx), f.manager(ctx)
			f.apply(ctx, a, 0)
			f.apply(ctx, b, 0)
			f.apply(ctx, b, 1)
			time.Sleep(1500 * time.Millisecond)
			f.logState("a", a)
			f.logState("b", b)
		}},
		{"answerLost", func(ctx context.Context, f *fixture) {
			a := f.manager(ctx)
			f.table.Faults.Set(fakes.Fault{Kind: fakes.Lost, Next: 1})
			f.apply(ctx, a, 0)
			f.logState("a", a)
		}},
		{"versionReported", func(ctx context.Context, f *fixture) {
			a, b := f.manager(ctx), f.manager(ctx)
			time.Sleep(300 * time.Millisecond)
			f.apply(ctx, a, 0)
			b.ObserveVersion(1)
			synctest.Wait()
			f.logState("b", b)
		}},
		{"storeDown", func(ctx context.Context, f *fixture) {
			a := f.manager(ctx)
			f.apply(ctx, a, 0)
			lower := a.Current()
			f.apply(ctx, a, 1)
			f.table.Faults.Set(fakes.Fault{Kind: fakes.Down})
			b := f.manager(ctx)
			b.ObserveVersion(2)
			b.Observe(lower)
			time.Sleep(5 * time.Second)
			f.logState("b with the lower version", b)
			b.Observe(a.Current())
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
		m := f.manager(ctx)
		f.apply(ctx, m, 0)
		f.apply(ctx, m, 1)
		time.Sleep(1500 * time.Millisecond)
		highest := int64(2)
		for _, version := range []int64{1, 2, 3, 2} {
			m.Observe(&config.Config{Version: version, Limits: config.DefaultLimits()})
			time.Sleep(500 * time.Millisecond)
			highest = max(highest, version)
			if got := m.Current().Version; got != highest {
				t.Errorf("after version %d: %d in force, want %d", version, got, highest)
			}
		}
	})
}
