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

	// tally counts what happened in one group.
	tally struct {
		count, done, notRun, unknown, repeated int
		waits                                  []time.Duration
	}
)

const (
	// mostBroken bounds the cases shown of each broken promise.
	mostBroken = 5
	// median and high are the shares of the waits shown besides the longest.
	median = 0.5
	high   = 0.95
)

// Render returns the report of a run.
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
	p.calls(s)
	p.starts(s)
	for _, o := range s.Outages {
		p.line("  %s was out of service from %v to %v", o.Domain, since(r, o.Out), since(r, o.Back))
	}
}

func (p *printer) jobGroup(s Site, name string) {
	var t tally
	attempts := 0
	for _, j := range s.Jobs {
		if j.Group != name {
			continue
		}
		t.count++
		t.repeated += len(j.Calls)
		attempts += j.Last.Attempt
		if j.Last.State == stateDone {
			t.done++
		}
		if !j.Last.Started.IsZero() {
			t.waits = append(t.waits, j.Last.Started.Sub(j.Last.Submitted))
		}
	}
	p.line("  %-24s %6d %6d %8d %8d  %s", name, t.count, t.done, attempts, t.repeated, spread(t.waits))
}

func (p *printer) requestGroup(s Site, name string) {
	var t tally
	for _, q := range s.Requests {
		if q.Group != name {
			continue
		}
		t.count++
		switch outcome(q.Calls) {
		case wire.Done:
			t.done++
			t.waits = append(t.waits, q.Calls[len(q.Calls)-1].Received.Sub(q.Calls[0].Sent))
		case wire.NotRun:
			t.notRun++
		case wire.Unknown:
			t.unknown++
		}
	}
	p.line("  %-24s %6d %6d %8d %8d  %s", name, t.count, t.done, t.notRun, t.unknown, spread(t.waits))
}

// calls shows the outcomes of all calls, of which some were repeated.
func (p *printer) calls(s Site) {
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
	p.line("  answers to calls by outcome: %s", counts(outcomes))
}

// starts shows gangs and members started by failure domain.
func (p *printer) starts(s Site) {
	byDomain := make(map[string]int)
	for _, g := range gangs(s.Tasks) {
		byDomain[g.tasks[0].Domain]++
	}
	p.line("  gangs started by failure domain: %s", counts(byDomain))
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
		p.line("  at %-6v %s: %s", since(r, f.At), f.Instance, text)
	}
}

func (p *printer) findings(all []Finding) {
	p.line("PROMISES, checked against the logs of the stand-ins and what callers saw")
	for _, f := range all {
		word := "kept"
		if len(f.Broken) > 0 {
			word = "BROKEN"
		}
		p.line("  %-6s %-46s %s", word, f.Promise, f.Size)
		for i, b := range f.Broken {
			if i == mostBroken {
				p.line("         and %d more", len(f.Broken)-mostBroken)
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

// spread returns the median, a high percentile and the maximum.
func spread(all []time.Duration) string {
	if len(all) == 0 {
		return "none"
	}
	slices.Sort(all)
	at := func(share float64) time.Duration { return round(all[int(share*float64(len(all)-1))]) }
	return fmt.Sprintf("%v / %v / %v", at(median), at(high), at(1))
}

func counts(of map[string]int) string {
	var names []string
	for name := range of {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(a, b) })
	var texts []string
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%s %d", name, of[name]))
	}
	return strings.Join(texts, ", ")
}

func since(r Record, at time.Time) time.Duration {
	return at.Sub(r.Began).Round(100 * time.Millisecond)
}

func round(d time.Duration) time.Duration {
	if d < 10*time.Millisecond {
		return d.Round(100 * time.Microsecond)
	}
	return d.Round(time.Millisecond)
}
