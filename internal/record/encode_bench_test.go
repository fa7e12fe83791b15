package record

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/internal/shape"
	"gotest.tools/v3/assert"
)

// BenchmarkConfig measures the cost of a configuration change for each instance:
// the size of the row and the time to decode it.
func BenchmarkConfig(b *testing.B) {
	for _, n := range []int{4, 50, 250} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			value, err := EncodeConfig(siteConfig(b, n))
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, err := DecodeConfig(value)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(value)), "rowB")
		})
	}
}

// BenchmarkJob measures the size of a job's row and the time to decode it.
func BenchmarkJob(b *testing.B) {
	for _, slots := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			value, err := EncodeJob(jobWithSlots(slots))
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, err := DecodeJob(value)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(value)), "rowB")
		})
	}
}

// siteConfig returns the configuration of a site with 7 failure domains, in which
// each workspace has a key and two guarantees.
func siteConfig(b *testing.B, workspaces int) *config.Config {
	hash, err := keys.HashOf("a key of a workspace in a benchmark")
	assert.NilError(b, err)
	c := &config.Config{Version: 1, Site: "scale", Limits: config.DefaultLimits()}
	for i := range 7 {
		c.Domains = append(c.Domains, config.Domain{
			Name: ident.Domain(fmt.Sprintf("domain%d", i)), Region: ident.Region(fmt.Sprintf("region%d", i%2)), InService: true,
		})
	}
	for i := range workspaces {
		c.Workspaces = append(c.Workspaces, config.Workspace{
			Name: ident.Workspace(fmt.Sprintf("team%d", i)), Weight: 1, Keys: []keys.Hash{hash}, MaxQueuedJobs: 100,
			Guarantees: []config.Guarantee{
				{Name: "small", Shape: shape.Shape{Members: 1, Member: shape.Resources{Accelerators: 2}}, Count: 2, Homes: []ident.Domain{"domain0", "domain1"}},
				{Name: "large", Shape: shape.Shape{Members: 4, Member: shape.Resources{Accelerators: 8}}, Count: 1, Homes: []ident.Domain{"domain2"}},
			},
		})
	}
	return c
}

// jobWithSlots returns a running job with one member in each of the given number
// of slots.
func jobWithSlots(slots int) jobs.Job {
	j := jobs.Job{
		ID: "job-0123456789abcdef", Workspace: "team1", Domain: "domain1", State: jobs.Running,
		Submitted: time.Unix(1, 0), Started: time.Unix(2, 0), Attempt: 1,
		Spec: jobs.Spec{
			Shape:   shape.Shape{Members: slots, Member: shape.Resources{Accelerators: 8}},
			RunTime: time.Hour, Payload: make([]byte, 200),
		},
	}
	for i := range slots {
		j.Slots = append(j.Slots, jobs.Slot{Worker: ident.Worker(fmt.Sprintf("domain1-r%d-w%d", i/8, i%8)), Members: 1})
	}
	return j
}
