// Package perf compares the request path of an entry instance with a plain
// forwarding handler.
//
// Both run as processes of their own with the same number of processors, take
// requests on loopback sockets and send them to the same endpoints. A closed
// loop of threads sends requests to one of them at a time, in rounds that
// alternate, so that noise of the machine meets both. The result is the ratio
// of the medians of the throughput.
//
// The plain handler reads the body, sends it to the next endpoint and copies
// the answer. It decides, limits, claims and logs nothing.
//
// # Usage
//
//	http.Handle("/", perf.NewForward(endpoints))
//
//	rounds, err := perf.Run(ctx, settings)
//	fmt.Print(perf.Render(rounds))
package perf
