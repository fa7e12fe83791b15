package matrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
)

// checkConfig checks P9: an accepted version, or a later one, is in force in
// time at every instance that can be reached, and the version of an instance
// never decreases.
func (c *checker) checkConfig() {
	c.checkVersionsIncrease()
	for _, v := range c.configs {
		deadline := v.at.Add(boundConfig)
		if !deadline.Before(c.End) || c.mayBeUndelivered(v.at, deadline) {
			continue
		}
		for _, i := range c.runningThroughout(v.at, deadline) {
			if got := c.versionAt(i, deadline); got < v.config.Version {
				c.report("P9", "version %d, committed at %v, is not in force at %s by %v: version %d is",
					v.config.Version, c.sinceBegin(v.at), i, c.sinceBegin(deadline), got)
			}
		}
	}
}

// checkVersionsIncrease checks that no instance returns to a lower version.
func (c *checker) checkVersionsIncrease() {
	last := make(map[ident.Instance]int64)
	for _, v := range c.Versions {
		if v.Version < last[v.Instance] {
			c.report("P9", "version decreased from %d to %d at %s", last[v.Instance], v.Version, v.Instance)
		}
		last[v.Instance] = v.Version
	}
}

// mayBeUndelivered reports whether a version may not have reached the other
// instances between from and to, because both the store and the instance that
// committed it, or its messages, may have failed.
func (c *checker) mayBeUndelivered(from, to time.Time) bool {
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

// runningThroughout returns the instances that ran during the whole period
// without an outage.
func (c *checker) runningThroughout(from, to time.Time) []ident.Instance {
	first, last := make(map[ident.Instance]time.Time), make(map[ident.Instance]time.Time)
	for _, v := range c.Versions {
		if _, ok := first[v.Instance]; !ok {
			first[v.Instance] = v.At
		}
		last[v.Instance] = v.At
	}
	var up []ident.Instance
	for i, f := range first {
		if f.After(from) || last[i].Before(to) || c.hasOutage(i, from, to) {
			continue
		}
		up = append(up, i)
	}
	slices.Sort(up)
	return up
}

func (c *checker) hasOutage(i ident.Instance, from, to time.Time) bool {
	return slices.ContainsFunc(c.Outages, func(o Outage) bool { return o.Instance == i && overlaps(o, from, to) })
}

// versionAt returns the version that was in force at the instance at t, or 0.
func (c *checker) versionAt(i ident.Instance, t time.Time) int64 {
	var got int64
	for _, v := range c.Versions {
		if v.Instance == i && !v.At.After(t) {
			got = v.Version
		}
	}
	return got
}

// checkJobs checks that every accepted job ends, and that no job changes after
// its end.
func (c *checker) checkJobs() {
	final := make(map[string]jobs.Job)
	for _, r := range c.jobRows {
		key := string(r.job.Workspace) + "/" + string(r.job.ID)
		if old, ok := final[key]; ok && old.State.Ended() {
			c.report("Jobs", "%s was %v and became %v at %v", key, old.State, r.job.State, c.sinceBegin(r.at))
		}
		final[key] = r.job
	}
	for _, s := range c.Submissions {
		if s.Outcome != "accepted" {
			continue
		}
		j, ok := final[string(s.Workspace)+"/"+string(s.Job)]
		if !ok || !j.State.Ended() {
			c.report("Jobs", "%s was accepted at %v and has not ended: %v", s.Job, c.sinceBegin(s.At), j.State)
		}
	}
}

// outcome counts the jobs of the script by their final state, leaving out those
// that faults submit. It includes only what is the same on every run: the
// outcome of a request depends on the jitter of the instances' intervals, which
// has no seed.
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
