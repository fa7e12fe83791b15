package link

import (
	"net"
	"net/netip"
	"sync/atomic"
)

// conn counts the bytes of a connection to another region.
type conn struct {
	net.Conn

	volume   *volume
	isRemote func(netip.AddrPort) (remote, known bool)
	place    atomic.Int32
}

// The places of the other side of a connection.
const (
	placeUnknown int32 = iota
	placeOwnRegion
	placeOtherRegion
)

// Read reads and counts. The error is the one of the connection below, because
// callers compare it with io.EOF.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.crosses() {
		c.volume.add(0, n)
	}
	return n, err
}

// Write writes and counts.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.crosses() {
		c.volume.add(n, 0)
	}
	return n, err
}

// crosses reports whether the other side is in another region. The answer is
// kept once the region is known; an address is not moved to another region
// while a connection to it is open.
func (c *conn) crosses() bool {
	if p := c.place.Load(); p != placeUnknown {
		return p == placeOtherRegion
	}
	a, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return false
	}
	remote, known := c.isRemote(netip.AddrPortFrom(a.Addr().Unmap(), a.Port()))
	switch {
	case remote:
		c.place.Store(placeOtherRegion)
	case known:
		c.place.Store(placeOwnRegion)
	}
	return remote
}
