package inifmt

import (
	"reflect"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/internal/shape"
)

const (
	shortBase = "[site]\nname=a\n[domain \"b\"]\nregion=c\n[operator \"d\"]\nkeys=" +
		"sha256:00000000000000000000000000000001:0000000000000000000000000000000000000000000000000000000000000001\n" +
		"[workspace \"w\"]\nkeys=\n[guarantee \"w/g\"]\nmembers=1\nmemory=1GiB\nadjacency=rack\ncount=1\n" +
		"[service \"s\"]\ntimeout=1s\n[limits]\nretryShare=0.5\n"
	shortOverlay = "[workspace \"w\"]\nweight=2\n[service \"s\"]\nworkspaces=w\n"
)

// FuzzRead guards against files that make Read panic or return an error without
// mistakes, and against configurations that Write does not render completely.
func FuzzRead(f *testing.F) {
	for _, base := range []string{"base.ini", "badBase.ini"} {
		for _, overlay := range []string{"overlay.ini", "badOverlay.ini"} {
			f.Add(readSource(f, base).Text, readSource(f, overlay).Text)
		}
	}
	// Mutations of a short valid pair often stay valid and reach Write.
	f.Add(shortBase, shortOverlay)
	f.Fuzz(func(t *testing.T, base, overlay string) {
		r, err := Read(t.Context(), Source{"base", base}, Source{"overlay", overlay})
		if err != nil {
			var mistakes Mistakes
			assert.Assert(t, errors.As(err, &mistakes) && len(mistakes) > 0, "%v", err)
			return
		}
		again, err := Read(t.Context(), Source{"written", Write(r.Config)})
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(r.Config, again.Config), "%s", Write(r.Config))
	})
}

// FuzzWrite guards against values that Read parses differently from what Write
// rendered. Mutated files are seldom valid, so this target mutates values
// instead of files.
func FuzzWrite(f *testing.F) {
	f.Add("khangai", "ub1", "foundryA", "proofing", 3, 4, int64(64<<30), 0.1, int64(90e9), true)
	f.Add("-", "_", "a.b", "0", 10_000, 4096, int64(1), 1e-300, int64(86400e9-1), false)
	f.Fuzz(func(t *testing.T, site, domain, name, guarantee string, weight, members int, memory int64, share float64, timeout int64, hasHome bool) {
		h, err := keys.ParseHash("sha256:00000000000000000000000000000001:0000000000000000000000000000000000000000000000000000000000000001")
		assert.NilError(t, err)
		c := &config.Config{
			Version: timeout, Site: site, Limits: config.DefaultLimits(),
			Domains: []config.Domain{{Name: ident.Domain(domain), Region: ident.Region(site), InService: hasHome}},
			Workspaces: []config.Workspace{{
				Name: ident.Workspace(name), Weight: weight, MaxQueuedJobs: weight,
				Guarantees: []config.Guarantee{{
					Name: guarantee, Count: 1,
					Shape: shape.Shape{Members: members, Member: shape.Resources{Memory: shape.Bytes(memory)}, Adjacency: shape.SameRack},
				}},
			}},
			Services:  []config.Service{{Name: ident.Service(name), Timeout: time.Duration(timeout), QueueLimit: weight, MaxAnswer: shape.MiB}},
			Operators: []config.Operator{{Name: name, Keys: []keys.Hash{h}}},
		}
		c.Limits.RetryShare = share
		c.Workspaces[0].Guarantees[0].Homes = []ident.Domain{""}
		if hasHome {
			c.Workspaces[0].Guarantees[0].Homes[0] = ident.Domain(domain)
		}
		if len(c.Check()) > 0 {
			return
		}
		r, err := Read(t.Context(), Source{"written", Write(c)})
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(c, r.Config), "%s", Write(c))
	})
}
