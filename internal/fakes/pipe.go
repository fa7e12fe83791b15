package fakes

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Pipe is a listener whose connections stay in memory, so that a test with a
// paused clock can serve HTTP. Use NewPipe.
type Pipe struct {
	conns  chan net.Conn
	done   chan struct{}
	closed sync.Once
}

// NewPipe returns a listener that accepts what Dial connects.
func NewPipe() *Pipe {
	return &Pipe{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial connects to the listener, whatever the address.
func (p *Pipe) Dial(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.done:
		return nil, fmt.Errorf("dial pipe: %w", net.ErrClosed)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial pipe: %w", ctx.Err())
	}
}

// Accept returns the next connection.
func (p *Pipe) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and Dial.
func (p *Pipe) Close() error {
	p.closed.Do(func() { close(p.done) })
	return nil
}

// Addr returns a loopback address that nothing listens on.
func (p *Pipe) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:1"))
}
