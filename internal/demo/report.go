package demo

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
)

type (
	// printer collects the lines of a report.
	printer struct{ strings.Builder }

	// groupStats holds the figures of one group of jobs or requests. The
	// durations are the waits of jobs until their start and the times of
	// requests from the first call to the answer.
	groupStats struct {
		count, done, notRun, unknown, calls int
		durations                           []time.Duration
	}
)

const (
	// maxBreaches bounds the breaches shown of each promise.
	maxBreaches = 5
	// medianQuantile and highQuantile are the quantiles of the durations that
	// are shown besides the maximum.
	medianQuantile = 0.5
	highQuantile   = 0.95
)

// Render returns the report of a run as text.
func Render(r Record, findings []Finding) string {
	p := &printer{}
	p.line("baobabquay demo, seed %d, load and faults for %v", r.Seed, round(r.Ended.Sub(r.Began)))
	for _, s := range r.Sites {
		p.line("")
		p.site(r, s)
	}
	p.line("")
	p.faults(r)
	p.line("")
	p.findings(findings)
	return p.String()
}

func (p *printer) line(format string, args ...any) {
	p.WriteString(fmt.Sprintf(format, args...) + "\n")
}

func (p *printer) site(r Record, s Site) {
	p.line("%s", strings.ToUpper(s.Name))
	p.line("  %-24s %6s %6s %8s %8s  %s", "jobs", "count", "done", "attempts", "calls", "wait median / 95% / longest")
	for _, name := range groupsOf(s.Jobs, func(j Job) string { return j.Group }) {
		p.jobGroup(s, name)
	}
	p.line("  %-24s %6s %6s %8s %8s  %s", "requests", "count", "done", "notRun", "unknown", "time median / 95% / longest")
	for _, name := range groupsOf(s.Requests, func(q Request) string { return q.Group }) {
		p.requestGroup(s, name)
	}
	p.callOutcomes(s)
	p.gangStarts(s)
	for _, o := range s.Outages {
		p.line("  %s was out of service from %v to %v", o.Domain, sinceBegin(r, o.OutAt), sinceBegin(r, o.BackAt))
	}
}

func (p *printer) jobGroup(s Site, name string) {
	var g groupStats
	attempts := 0
	for _, j := range s.Jobs {
		if j.Group != name {
			continue
		}
		g.count++
		g.calls += len(j.Calls)
		attempts += j.LastRead.Attempt
		if j.LastRead.State == stateDone {
			g.done++
		}
		if !j.LastRead.Started.IsZero() {
			g.durations = append(g.durations, j.LastRead.Started.Sub(j.LastRead.Submitted))
		}
	}
	p.line("  %-24s %6d %6d %8d %8d  %s", name, g.count, g.done, attempts, g.calls, formatDurations(g.durations))
}

func (p *printer) requestGroup(s Site, name string) {
	var g groupStats
	for _, q := range s.Requests {
		if q.Group != name {
			continue
		}
		g.count++
		switch lastOutcome(q.Calls) {
		case wire.Done:
			g.done++
			g.durations = append(g.durations, q.Calls[len(q.Calls)-1].Received.Sub(q.Calls[0].Sent))
		case wire.NotRun:
			g.notRun++
		case wire.Unknown:
			g.unknown++
		}
	}
	p.line("  %-24s %6d %6d %8d %8d  %s", name, g.count, g.done, g.notRun, g.unknown, formatDurations(g.durations))
}

// callOutcomes prints the number of calls for requests by outcome and reason. A
// request that was repeated has several calls.
func (p *printer) callOutcomes(s Site) {
	outcomes := make(map[string]int)
	for _, q := range s.Requests {
		for _, c := range q.Calls {
			text := string(c.Outcome)
			if c.Reason != "" {
				text += " " + c.Reason
			}
			outcomes[text]++
		}
	}
	p.line("  calls for requests by outcome: %s", formatCounts(outcomes))
}

// gangStarts prints the number of gangs started by failure domain.
func (p *printer) gangStarts(s Site) {
	byDomain := make(map[string]int)
	for _, g := range gangs(s.TaskEvents) {
		byDomain[g.events[0].Domain]++
	}
	p.line("  gangs started by failure domain: %s", formatCounts(byDomain))
}

func (p *printer) faults(r Record) {
	p.line("FAULTS")
	for _, f := range r.Faults {
		text := ""
		switch f.Kind {
		case Killed:
			text = "SIGKILL"
		case Started:
			text = "started as a replacement"
		case Stopping:
			text = "SIGTERM"
		case Stopped:
			text = fmt.Sprintf("ended with exit code %d", f.ExitCode)
		}
		p.line("  at %-6v %s: %s", sinceBegin(r, f.At), f.Instance, text)
	}
}

func (p *printer) findings(all []Finding) {
	p.line("PROMISES, checked against the logs of the stand-ins and what callers saw")
	for _, f := range all {
		verdict := "kept"
		if len(f.Breaches) > 0 {
			verdict = "BROKEN"
		}
		p.line("  %-6s %-46s %s", verdict, f.Promise, f.Checked)
		for i, b := range f.Breaches {
			if i == maxBreaches {
				p.line("         and %d more", len(f.Breaches)-maxBreaches)
				break
			}
			p.line("         %s", b)
		}
	}
	if IsKept(all) {
		p.line("all promises were kept")
		return
	}
	p.line("a promise was broken")
}

// groupsOf returns the groups in the order of their first element.
func groupsOf[T any](all []T, group func(T) string) []string {
	var names []string
	for _, v := range all {
		if !slices.Contains(names, group(v)) {
			names = append(names, group(v))
		}
	}
	return names
}

// formatDurations sorts the durations and returns their median, a high quantile
// and the maximum as text.
func formatDurations(all []time.Duration) string {
	if len(all) == 0 {
		return "none"
	}
	slices.Sort(all)
	at := func(quantile float64) time.Duration { return round(all[int(quantile*float64(len(all)-1))]) }
	return fmt.Sprintf("%v / %v / %v", at(medianQuantile), at(highQuantile), at(1))
}

// formatCounts lists the counts by name.
func formatCounts(counts map[string]int) string {
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(a, b) })
	var texts []string
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(texts, ", ")
}

// sinceBegin returns the time from the begin of the load to at.
func sinceBegin(r Record, at time.Time) time.Duration {
	return at.Sub(r.Began).Round(100 * time.Millisecond)
}

func round(d time.Duration) time.Duration {
	if d < 10*time.Millisecond {
		return d.Round(100 * time.Microsecond)
	}
	return d.Round(time.Millisecond)
}
