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
	// countedConn counts the calls of Write, so that a try can tell whether any
	// of its bytes may have left.
	countedConn struct {
		net.Conn
		writes atomic.Int64
	}

	// watch observes the connections that one try uses. The transport can use
	// several, when one that was idle turns out to be closed.
	watch struct {
		mu    sync.Mutex
		conns []watched
	}

	watched struct {
		conn   *countedConn
		before int64
	}
)

const idleTimeout = 30 * time.Second

func newHTTP(dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				to, err := netip.ParseAddrPort(address)
				if err != nil {
					return nil, fmt.Errorf("address of server: %w", err)
				}
				conn, err := dial(ctx, to)
				if err != nil {
					return nil, fmt.Errorf("connect to %v: %w", to, err)
				}
				return &countedConn{Conn: conn}, nil
			},
			IdleConnTimeout:    idleTimeout,
			DisableCompression: true,
		},
		// A redirection would send the key to an address that nobody chose.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Write counts the call before it passes the bytes on: after an error some of
// them may have left.
func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// trace returns a context whose calls are observed by w.
func (w *watch) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*countedConn)
			if !ok {
				return
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			w.conns = append(w.conns, watched{conn, conn.writes.Load()})
		},
	})
}

// isSent reports whether a byte of the try may have been written. A connection
// serves one call at a time, so that a later write is one of this try.
func (w *watch) isSent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		if c.conn.writes.Load() != c.before {
			return true
		}
	}
	return false
}
