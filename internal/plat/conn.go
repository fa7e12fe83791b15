package plat

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type (
	// conn is a connection that counts its writes, which shows whether a failed
	// request has written anything.
	conn struct {
		net.Conn

		mu     sync.Mutex
		writes int
		// sealed makes all later writes fail.
		sealed bool
	}

	// requestTrace records the connection of one request and the connection's
	// writes before the request.
	requestTrace struct {
		mu           sync.Mutex
		connected    bool
		conn         *conn
		writesBefore int
	}
)

const (
	// maxIdlePerHost bounds the idle connections to one address. An endpoint
	// accepts about 60 connections, which up to 8 instances share.
	maxIdlePerHost = 6
	// idleTimeout is shorter than the idle timeout of the servers, so that a
	// server rarely closes a connection while a request is written to it.
	idleTimeout = 30 * time.Second
)

var errSealed = errors.New("connection sealed against writes after a failed request")

// NewClient returns a client whose connections count their writes. dialTimeout
// bounds the time to connect; calls are bounded by their contexts. The client
// follows no redirects and uses no proxy.
func NewClient(dialTimeout time.Duration) *http.Client {
	return NewWrappedClient(dialTimeout, func(c net.Conn) net.Conn { return c })
}

// NewWrappedClient returns a client like that of NewClient which replaces each
// connection by the result of wrap.
func NewWrappedClient(dialTimeout time.Duration, wrap func(net.Conn) net.Conn) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := d.DialContext(ctx, network, address)
				if err != nil {
					return nil, fmt.Errorf("connect: %w", err)
				}
				return &conn{Conn: wrap(c)}, nil
			},
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: noRedirect,
	}
}

// noRedirect makes a client return the answer of a redirect instead of following
// the redirect.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Write counts the write before making it. It fails if c is sealed.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes all later writes fail if the number of writes is still writesBefore,
// and reports whether it is.
func (c *conn) seal(writesBefore int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.sealed = true
	return true
}

// withTrace returns a context that makes the transport report the connection of
// the request to t.
func (t *requestTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *requestTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connected = true
	if c, ok := info.Conn.(*conn); ok {
		t.conn, t.writesBefore = c, c.writeCount()
	}
}

// mayBeWritten reports whether a byte of the failed request may have been written
// or may still be written. If not, it has sealed the connection of the request, if
// there is one.
func (t *requestTrace) mayBeWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.connected:
		return false
	case t.conn == nil:
		return true
	}
	return !t.conn.seal(t.writesBefore)
}
