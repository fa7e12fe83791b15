package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
)

type (
	// Kind is what a connection is used for.
	Kind int

	// Deps are the dependencies of a Counter.
	Deps struct {
		// Self is the region of this instance.
		Self ident.Region
		// RegionOf returns the region of an address, and false while the region
		// is not known.
		RegionOf func(a netip.AddrPort) (ident.Region, bool)
		// Charge is called with the bytes of all kinds except Request, since the
		// senders of requests account for them themselves. It may be nil.
		Charge func(sent, received int)
		Log    event.Log
	}

	// Counter counts the bytes to and from other regions. It is safe for
	// concurrent use.
	Counter struct {
		deps    Deps
		metrics *metrics.Set
		kinds   [len(kindNames)]kindCounters
	}

	// kindCounters count the bytes of one kind.
	kindCounters struct {
		charge   func(sent, received int)
		sent     *metrics.Counter
		received *metrics.Counter
	}
)

// The kinds of traffic.
const (
	// Request is a request to an endpoint and its answer.
	Request Kind = iota
	// Store is a call to the table service or the object store.
	Store
	// Peer is a call to another instance.
	Peer
	// Worker is a call to a worker.
	Worker
	// List is a call to the platform's list of instances.
	List
)

// reportInterval is the interval between two events linkBytes in the log.
const reportInterval = time.Minute

var kindNames = [...]string{"request", "store", "peer", "worker", "list"}

// NewCounter returns a counter of zero bytes.
func NewCounter(d Deps) *Counter {
	c := &Counter{deps: d, metrics: metrics.NewSet()}
	for k, name := range kindNames {
		charge := d.Charge
		if Kind(k) == Request || charge == nil {
			charge = func(int, int) {}
		}
		c.kinds[k] = kindCounters{
			charge:   charge,
			sent:     c.metrics.NewCounter(metricName(name, "sent")),
			received: c.metrics.NewCounter(metricName(name, "received")),
		}
	}
	return c
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Wrap returns a function that counts the bytes of a connection as kind k.
func (c *Counter) Wrap(k Kind) func(net.Conn) net.Conn {
	return func(n net.Conn) net.Conn {
		return &conn{Conn: n, counters: &c.kinds[k], inOtherRegion: c.inOtherRegion}
	}
}

// WriteMetrics writes the counters in the text format of Prometheus.
func (c *Counter) WriteMetrics(w io.Writer) { c.metrics.WritePrometheus(w) }

// Run logs the bytes of each minute until ctx ends.
func (c *Counter) Run(ctx context.Context) {
	var last [len(kindNames)][2]uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportInterval):
		}
		var pairs []any
		for k := range c.kinds {
			now := [2]uint64{c.kinds[k].sent.Get(), c.kinds[k].received.Get()}
			pairs = append(pairs,
				kindNames[k]+"Sent", now[0]-last[k][0], kindNames[k]+"Received", now[1]-last[k][1])
			last[k] = now
		}
		c.deps.Log.Write(event.LinkBytes, pairs...)
	}
}

func (k *kindCounters) add(sent, received int) {
	k.sent.Add(sent)
	k.received.Add(received)
	k.charge(sent, received)
}

// inOtherRegion reports whether the address is in another region, and whether its
// region is known.
func (c *Counter) inOtherRegion(a netip.AddrPort) (other, known bool) {
	r, ok := c.deps.RegionOf(a)
	return ok && r != c.deps.Self, ok
}

func metricName(kind, direction string) string {
	return fmt.Sprintf(`baobabquay_link_bytes_total{kind=%q,direction=%q}`, kind, direction)
}
