package perf

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Ratio returns the median throughput of the instance divided by that of the
// plain handler.
func Ratio(rounds []Round) float64 {
	return median(rounds, func(r Round) float64 { return r.Instance.Throughput() }) /
		median(rounds, func(r Round) float64 { return r.Plain.Throughput() })
}

// Render returns a text report of all rounds and their medians. The ratio of
// processor times is that of the plain handler divided by that of the instance.
func Render(rounds []Round) string {
	var out strings.Builder
	line := func(name string, s Sample) {
		fmt.Fprintf(&out, "  %-9s %8.0f/s  median %-8v 99%% %-8v processor time %-6v failures %d\n",
			name, s.Throughput(), roundLatency(s.Median), roundLatency(s.P99), s.ProcessorTimePerRequest().Round(time.Microsecond), s.Failures)
	}
	for i, r := range rounds {
		fmt.Fprintf(&out, "round %d, ratio %.2f\n", i+1, r.Instance.Throughput()/r.Plain.Throughput())
		line("plain", r.Plain)
		line("instance", r.Instance)
	}
	fmt.Fprintf(&out, "medians of %d rounds: plain %.0f/s, instance %.0f/s, ratio %.2f\n", len(rounds),
		median(rounds, func(r Round) float64 { return r.Plain.Throughput() }),
		median(rounds, func(r Round) float64 { return r.Instance.Throughput() }), Ratio(rounds))
	plain := median(rounds, func(r Round) float64 { return float64(r.Plain.ProcessorTimePerRequest()) })
	instance := median(rounds, func(r Round) float64 { return float64(r.Instance.ProcessorTimePerRequest()) })
	fmt.Fprintf(&out, "processor time of a request: plain %v, instance %v, ratio %.2f\n",
		time.Duration(plain).Round(time.Microsecond), time.Duration(instance).Round(time.Microsecond), plain/instance)
	return out.String()
}

func median(rounds []Round, metric func(Round) float64) float64 {
	var values []float64
	for _, r := range rounds {
		values = append(values, metric(r))
	}
	slices.Sort(values)
	n := len(values)
	if n == 0 {
		return 0
	}
	return (values[(n-1)/2] + values[n/2]) / 2
}

func roundLatency(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
