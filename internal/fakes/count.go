package fakes

import (
	"net"
	"sync/atomic"
)

// countedConn is a connection that counts the bytes sent and received.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Count wraps c so that each byte sent or received is added to bytes.
func Count(c net.Conn, bytes *atomic.Int64) net.Conn { return countedConn{c, bytes} }

// Read implements net.Conn and counts the bytes received.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes sent.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
