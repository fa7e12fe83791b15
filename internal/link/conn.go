package link

import (
	"net"
	"net/netip"
	"sync/atomic"
)

// conn is a connection that counts its bytes if its remote side is in another
// region.
type conn struct {
	net.Conn

	counters      *kindCounters
	inOtherRegion func(netip.AddrPort) (other, known bool)
	// region is the region of the remote side, such as regionOther.
	region atomic.Int32
}

// The region of the remote side of a connection.
const (
	regionUnknown int32 = iota
	regionOwn
	regionOther
)

// Read reads and counts the bytes. It returns the error of the underlying
// connection unchanged, because callers compare it with io.EOF.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.crossesRegions() {
		c.counters.add(0, n)
	}
	return n, err
}

// Write writes and counts the bytes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.crossesRegions() {
		c.counters.add(n, 0)
	}
	return n, err
}

// crossesRegions reports whether the remote side is in another region. The answer
// is cached once the region is known: an address is not moved to another region
// while a connection to it is open.
func (c *conn) crossesRegions() bool {
	if r := c.region.Load(); r != regionUnknown {
		return r == regionOther
	}
	a, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return false
	}
	other, known := c.inOtherRegion(netip.AddrPortFrom(a.Addr().Unmap(), a.Port()))
	switch {
	case other:
		c.region.Store(regionOther)
	case known:
		c.region.Store(regionOwn)
	}
	return other
}
