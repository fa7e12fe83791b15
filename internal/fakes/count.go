package fakes

import (
	"net"
	"sync/atomic"
)

// countedConn counts the bytes in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Count returns c with its bytes in both directions added to bytes.
func Count(c net.Conn, bytes *atomic.Int64) net.Conn { return countedConn{c, bytes} }

// Read counts the bytes received.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
