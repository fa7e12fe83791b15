package perf

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Ratio returns the median throughput of the instance in relation to that of
// the plain handler.
func Ratio(rounds []Round) float64 {
	return median(rounds, func(r Round) float64 { return r.Instance.Rate() }) /
		median(rounds, func(r Round) float64 { return r.Plain.Rate() })
}

// Render returns the report.
func Render(rounds []Round) string {
	var out strings.Builder
	line := func(name string, s Sample) {
		fmt.Fprintf(&out, "  %-9s %8.0f/s  median %-8v 99%% %-8v processor time %-6v failures %d\n",
			name, s.Rate(), micros(s.Median), micros(s.High), s.Cost().Round(time.Microsecond), s.Failures)
	}
	for i, r := range rounds {
		fmt.Fprintf(&out, "round %d, ratio %.2f\n", i+1, r.Instance.Rate()/r.Plain.Rate())
		line("plain", r.Plain)
		line("instance", r.Instance)
	}
	fmt.Fprintf(&out, "medians of %d rounds: plain %.0f/s, instance %.0f/s, ratio %.2f\n", len(rounds),
		median(rounds, func(r Round) float64 { return r.Plain.Rate() }),
		median(rounds, func(r Round) float64 { return r.Instance.Rate() }), Ratio(rounds))
	plain := median(rounds, func(r Round) float64 { return float64(r.Plain.Cost()) })
	instance := median(rounds, func(r Round) float64 { return float64(r.Instance.Cost()) })
	fmt.Fprintf(&out, "processor time of a request: plain %v, instance %v, ratio %.2f\n",
		time.Duration(plain).Round(time.Microsecond), time.Duration(instance).Round(time.Microsecond), plain/instance)
	return out.String()
}

func median(rounds []Round, of func(Round) float64) float64 {
	var all []float64
	for _, r := range rounds {
		all = append(all, of(r))
	}
	slices.Sort(all)
	n := len(all)
	if n == 0 {
		return 0
	}
	return (all[(n-1)/2] + all[n/2]) / 2
}

func micros(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
