package plat

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestConnSeal checks that a sealed connection rejects writes, since a request
// reported as not sent must not be written later, and that a connection is not
// sealed after a write of the request.
func TestConnSeal(t *testing.T) {
	local, remote := net.Pipe()
	t.Cleanup(func() { assert.NilError(t, local.Close()) })
	t.Cleanup(func() { assert.NilError(t, remote.Close()) })
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	c := &conn{Conn: local}
	_, err := c.Write([]byte("request 1"))
	assert.NilError(t, err)
	assert.Assert(t, !c.seal(0), "sealed after a write of the request")
	_, err = c.Write([]byte("request 2"))
	assert.NilError(t, err)
	assert.Assert(t, c.seal(2))
	_, err = c.Write([]byte("request 3"))
	assert.Assert(t, errors.Is(err, errSealed))
}

// TestMayBeWritten checks that a request on a connection that does not count its
// writes counts as possibly written, and that a request that got a connection but
// wrote nothing does not.
func TestMayBeWritten(t *testing.T) {
	local, remote := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	t.Cleanup(func() { assert.NilError(t, local.Close()) })
	var unconnected, uncounted, unwritten, written requestTrace
	assert.Assert(t, !unconnected.mayBeWritten())
	uncounted.gotConn(httptrace.GotConnInfo{Conn: local})
	assert.Assert(t, uncounted.mayBeWritten())

	c := &conn{Conn: local}
	written.gotConn(httptrace.GotConnInfo{Conn: c})
	_, err := c.Write([]byte("request 1"))
	assert.NilError(t, err)
	assert.Assert(t, written.mayBeWritten())
	unwritten.gotConn(httptrace.GotConnInfo{Conn: c})
	assert.Assert(t, !unwritten.mayBeWritten())
	_, err = c.Write([]byte("request 2"))
	assert.Assert(t, errors.Is(err, errSealed))
}

// TestNewRequest checks that the transport cannot retry a request: each request has a
// body, even an empty one, that cannot be read again.
func TestNewRequest(t *testing.T) {
	for _, body := range []string{"", "body"} {
		req, err := newRequest(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), "/", []byte(body), http.Header{})
		assert.NilError(t, err)
		assert.Assert(t, req.GetBody == nil)
		assert.Assert(t, req.Body != nil && req.Body != http.NoBody)
		assert.Equal(t, req.ContentLength, int64(len(body)))
	}
}

// TestPostWritesOnce checks that header and body of a small request are written
// together. Two writes would wake the server twice.
func TestPostWritesOnce(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer s.Close()
	to, err := netip.ParseAddrPort(s.Listener.Addr().String())
	assert.NilError(t, err)
	var trace requestTrace
	req, err := newRequest(trace.withTrace(t.Context()), to, "/", []byte("body"), http.Header{})
	assert.NilError(t, err)
	client := NewClient(time.Second)
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, trace.conn.writes, 1)
}
