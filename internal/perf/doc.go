// Package perf compares the throughput of the request path of an entry instance
// with that of a plain forwarding handler.
//
// Each of the two targets runs in a process of its own with the same number of
// processors, accepts requests on loopback sockets and sends them to the same
// endpoints. A closed-loop load generator measures one target at a time. Every
// round measures both, in an order that alternates, so that noise of the machine
// affects both. The result is the ratio of the median throughputs.
//
// The plain handler reads the body, sends it to the next endpoint and copies
// the response. It does no scheduling, limiting, claiming or logging.
//
// # Usage
//
//	http.Handle("/", perf.NewForwarder(endpoints))
//
//	rounds, err := perf.Run(ctx, settings)
//	fmt.Print(perf.Render(rounds))
package perf
