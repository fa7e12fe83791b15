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
	// conn counts writes, so that a failed request can be shown to have
	// written nothing.
	conn struct {
		net.Conn

		mu     sync.Mutex
		writes int
		sealed bool
	}

	// sending follows one request to its connection.
	sending struct {
		mu     sync.Mutex
		got    bool
		conn   *conn
		before int
	}
)

const (
	// maxIdle bounds the idle connections kept to one address. An endpoint
	// accepts about 60 connections, and up to 8 instances share them.
	maxIdle = 6
	// idleTimeout is shorter than that of the servers, so that a connection is
	// rarely closed by the other side while a request is written to it.
	idleTimeout = 30 * time.Second
)

var errSealed = errors.New("connection sealed after a failed request")

// NewClient returns a client whose connections count their writes. The time to
// connect is bounded by dial; calls are bounded by their contexts. It follows
// no redirects and uses no proxy.
func NewClient(dial time.Duration) *http.Client {
	return NewWrappedClient(dial, func(c net.Conn) net.Conn { return c })
}

// NewWrappedClient returns a client like NewClient whose connections are used
// through wrap.
func NewWrappedClient(dial time.Duration, wrap func(net.Conn) net.Conn) *http.Client {
	d := &net.Dialer{Timeout: dial}
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
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: keepResponse,
	}
}

func keepResponse(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Write counts and writes. It fails once c is sealed.
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

func (c *conn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal prevents further writes if there was none since the count was before,
// and reports whether that is so.
func (c *conn) seal(before int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != before {
		return false
	}
	c.sealed = true
	return true
}

// follow returns a context that reports the request's connection to s.
func (s *sending) follow(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = true
	if c, ok := info.Conn.(*conn); ok {
		s.conn, s.before = c, c.count()
	}
}

// written reports whether a byte of the failed request may have been or may
// still be written.
func (s *sending) written() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.got:
		return false
	case s.conn == nil:
		return true
	}
	return !s.conn.seal(s.before)
}
