package matrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
)

// checkConfig checks P9: accepted versions are in force in time at every
// instance that can be reached, and never go down.
func (c *checker) checkConfig() {
	c.checkNeverDown()
	for _, v := range c.configs {
		by := v.at.Add(boundConfig)
		if !by.Before(c.End) || c.isUntold(v.at, by) {
			continue
		}
		for _, i := range c.upThrough(v.at, by) {
			if got := c.inForceAt(i, by); got < v.config.Version {
				c.breach("P9", "version %d of %v is not in force at %s by %v, which has %d",
					v.config.Version, c.after(v.at), i, c.after(by), got)
			}
		}
	}
}

func (c *checker) checkNeverDown() {
	last := make(map[ident.Instance]int64)
	for _, v := range c.Versions {
		if v.Version < last[v.Instance] {
			c.breach("P9", "version went from %d to %d at %s", last[v.Instance], v.Version, v.Instance)
		}
		last[v.Instance] = v.Version
	}
}

// isUntold reports whether instances could not be told of a version, because
// both the store and the instance that committed it may have been out.
func (c *checker) isUntold(from, to time.Time) bool {
	store, instance := false, false
	for _, o := range c.Outages {
		if !overlaps(o, from, to) {
			continue
		}
		store = store || o.Fault == "store"
		instance = instance || o.Instance != "" || strings.HasPrefix(o.Fault, "messages")
	}
	return store && instance
}

func overlaps(o Outage, from, to time.Time) bool {
	return o.From.Before(to) && (o.To.IsZero() || o.To.After(from))
}

// upThrough returns the instances that ran through the whole time.
func (c *checker) upThrough(from, to time.Time) []ident.Instance {
	first, last := make(map[ident.Instance]time.Time), make(map[ident.Instance]time.Time)
	for _, v := range c.Versions {
		if _, ok := first[v.Instance]; !ok {
			first[v.Instance] = v.At
		}
		last[v.Instance] = v.At
	}
	var up []ident.Instance
	for i, f := range first {
		if f.After(from) || last[i].Before(to) || c.isOut(i, from, to) {
			continue
		}
		up = append(up, i)
	}
	slices.Sort(up)
	return up
}

func (c *checker) isOut(i ident.Instance, from, to time.Time) bool {
	return slices.ContainsFunc(c.Outages, func(o Outage) bool { return o.Instance == i && overlaps(o, from, to) })
}

func (c *checker) inForceAt(i ident.Instance, t time.Time) int64 {
	var got int64
	for _, v := range c.Versions {
		if v.Instance == i && !v.At.After(t) {
			got = v.Version
		}
	}
	return got
}

// checkJobs checks that accepted jobs are not lost and end once.
func (c *checker) checkJobs() {
	final := make(map[string]jobs.Job)
	for _, r := range c.jobRows {
		key := string(r.job.Workspace) + "/" + string(r.job.ID)
		if old, ok := final[key]; ok && old.State.Ended() {
			c.breach("Jobs", "%s was %v and became %v at %v", key, old.State, r.job.State, c.after(r.at))
		}
		final[key] = r.job
	}
	for _, s := range c.Submits {
		if s.Outcome != "accepted" {
			continue
		}
		j, ok := final[string(s.Workspace)+"/"+string(s.Job)]
		if !ok || !j.State.Ended() {
			c.breach("Jobs", "%s was accepted at %v and has not ended: %v", s.Job, c.after(s.At), j.State)
		}
	}
}

// outcome sums up what callers got. It names only what is the same on every
// run, which is the final states of the jobs of the script: the outcome of a
// request depends on the jitter of the instances' periods, which has no seed.
func outcome(l Logs) string {
	c := &checker{Logs: l}
	c.decode()
	final := make(map[ident.Job]jobs.State)
	for _, r := range c.jobRows {
		if !strings.HasPrefix(string(r.job.ID), "req-probe") {
			final[r.job.ID] = r.job.State
		}
	}
	counts := make(map[jobs.State]int)
	for _, s := range final {
		counts[s]++
	}
	return fmt.Sprintf("%d done, %d cancelled, %d failed", counts[jobs.Done], counts[jobs.Cancelled], counts[jobs.Failed])
}
