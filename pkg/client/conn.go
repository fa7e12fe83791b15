package client

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// countedConn counts the calls of Write, so that an attempt can determine
	// whether any of its bytes may have been sent.
	countedConn struct {
		net.Conn
		writes atomic.Int64
	}

	// connTracker records the connections that one attempt uses. The transport
	// can use several if an idle connection turns out to be closed.
	connTracker struct {
		mu    sync.Mutex
		conns []trackedConn
	}

	trackedConn struct {
		conn *countedConn
		// writesBefore is the number of writes before the attempt.
		writesBefore int64
	}
)

const idleTimeout = 30 * time.Second

func newHTTPClient(dial func(ctx context.Context, server netip.AddrPort) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				server, err := netip.ParseAddrPort(address)
				if err != nil {
					return nil, fmt.Errorf("address of server: %w", err)
				}
				conn, err := dial(ctx, server)
				if err != nil {
					return nil, fmt.Errorf("connect to %v: %w", server, err)
				}
				return &countedConn{Conn: conn}, nil
			},
			IdleConnTimeout:    idleTimeout,
			DisableCompression: true,
		},
		// Following a redirect would send the key to an address that is not in
		// Settings.Servers.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Write counts the call before it writes, because a failed write may still
// have sent some of the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// withTrace returns a context that makes t record the connections of a request.
func (t *connTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*countedConn)
			if !ok {
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.conns = append(t.conns, trackedConn{conn, conn.writes.Load()})
		},
	})
}

// mayHaveSent reports whether any byte of the attempt may have been written. A
// connection carries one request at a time, so any write after it was obtained
// belongs to this attempt.
func (t *connTracker) mayHaveSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		if c.conn.writes.Load() != c.writesBefore {
			return true
		}
	}
	return false
}
