package config

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/internal/shape"
)

// hashOf returns a hash with a salt derived from n, so that golden files are
// reproducible.
func hashOf(t testing.TB, n int) keys.Hash {
	t.Helper()
	h, err := keys.ParseHash(fmt.Sprintf("sha256:%032x:%064x", n, n))
	assert.NilError(t, err)
	return h
}

// validConfig returns a configuration without problems.
func validConfig(t testing.TB) *Config {
	t.Helper()
	return &Config{
		Site:    "khangai",
		Domains: []Domain{{"ub1", "ulaanbaatar", true}, {"erd1", "erdenet", true}},
		Workspaces: []Workspace{{
			Name: "foundryA", Weight: 3, Keys: []keys.Hash{hashOf(t, 1)}, MaxQueuedJobs: 100,
			Guarantees: []Guarantee{{
				Name: "proofing", Count: 2, Homes: []ident.Domain{"ub1", ""},
				Shape: shape.Shape{Members: 4, Member: shape.Resources{Accelerators: 8}, Adjacency: shape.SameRack},
			}},
		}},
		Services: []Service{{
			Name: "stamp", Workspaces: []ident.Workspace{"foundryA"},
			Timeout: time.Second, QueueLimit: 10, MaxAnswer: shape.MiB,
		}},
		Operators: []Operator{{"desk", []keys.Hash{hashOf(t, 2)}}},
		Limits:    DefaultLimits(),
	}
}

// TestCheckValid guards against problems reported for a valid configuration.
func TestCheckValid(t *testing.T) {
	assert.Equal(t, len(validConfig(t).Check()), 0)
}

// TestCheckAll guards against a problem that is not reported, or reported only
// after others are corrected.
func TestCheckAll(t *testing.T) {
	h := hashOf(t, 1)
	c := &Config{
		Version: -1, Site: "a b",
		Domains: []Domain{{"ub1", "ulaanbaatar", true}, {"ub1", "", true}},
		Workspaces: []Workspace{
			{Name: "foundryA", Keys: []keys.Hash{h, h}, Guarantees: []Guarantee{
				{Name: "proofing", Count: 1, Homes: []ident.Domain{"ub1", "ub9"}},
				{Name: "proofing", Count: 0, Shape: shape.Shape{Members: 1, Member: shape.Resources{Accelerators: -8}}},
				{Name: "x/y", Count: 1, Shape: shape.Shape{Members: 1, Member: shape.Resources{Memory: 1 << 60}}},
			}},
			{Name: "foundryA", Weight: 1_000_000, MaxQueuedJobs: -1},
		},
		Services: []Service{
			{Name: "stamp", Workspaces: []ident.Workspace{"foundryA", "foundryA", "rival"}},
			{Name: ".stamp", Timeout: 1000 * time.Hour, QueueLimit: 1 << 40, MaxAnswer: 1 << 40},
		},
		Operators: []Operator{{"desk", []keys.Hash{h}}, {"desk", nil}},
		Limits: Limits{
			MaxBody: -1, RetryShare: math.NaN(), StopDelay: -time.Second, StopLimit: 2 * time.Hour, CheckpointLimit: time.Hour,
			LinkRate: 1, LinkBulkShare: 0, LinkBulkSize: 1 << 40,
		},
	}
	golden.Assert(t, c.Check().Error()+"\n", "check-all.golden")
	golden.Assert(t, (&Config{Site: "empty", Limits: DefaultLimits()}).Check().Error()+"\n", "check-empty.golden")
}

// TestDiff guards against changes that are missing from the diff, and against
// changes reported for equal configurations.
func TestDiff(t *testing.T) {
	old, changed := validConfig(t), validConfig(t)
	changed.Version = 8
	assert.Equal(t, len(Diff(old, changed)), 0)

	changed.Domains[1] = Domain{"ub2", "ulaanbaatar", false}
	changed.Workspaces[0].Keys = append(changed.Workspaces[0].Keys, hashOf(t, 3))
	changed.Workspaces[0].Guarantees[0].Homes = nil
	changed.Workspaces[0].Guarantees[0].Shape.Members = 2
	changed.Services[0].Workspaces = nil
	changed.Services[0].Timeout = time.Minute
	changed.Operators = append(changed.Operators, Operator{"night", []keys.Hash{hashOf(t, 4)}})
	var lines []string
	for _, c := range Diff(old, changed) {
		lines = append(lines, c.String())
	}
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "diff.golden")
}

func ExampleDiff() {
	old := &Config{Workspaces: []Workspace{{Name: "foundryA", Weight: 3}}}
	changed := &Config{Workspaces: []Workspace{{Name: "foundryA", Weight: 4}}}
	for _, c := range Diff(old, changed) {
		fmt.Println(c)
	}
	// Output: set workspace "foundryA" weight: 3 -> 4
}
