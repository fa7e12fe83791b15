package fakes

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Pipe is a listener with in-memory connections, so that a test on the virtual
// clock of testing/synctest can serve HTTP. Use NewPipe.
type Pipe struct {
	conns  chan net.Conn
	done   chan struct{}
	closed sync.Once
}

// NewPipe returns a listener that accepts the connections made by Dial.
func NewPipe() *Pipe {
	return &Pipe{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial connects to the listener. It ignores the address.
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

// Close makes Accept and Dial fail with net.ErrClosed.
func (p *Pipe) Close() error {
	p.closed.Do(func() { close(p.done) })
	return nil
}

// Addr returns a fixed loopback address, on which nothing listens.
func (p *Pipe) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:1"))
}
