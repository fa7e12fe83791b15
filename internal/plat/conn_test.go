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

// TestConnSeal guards against a request that was reported as not sent being
// written later, and against one that was written passing as not sent.
func TestConnSeal(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { assert.NilError(t, near.Close()) })
	t.Cleanup(func() { assert.NilError(t, far.Close()) })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := &conn{Conn: near}
	_, err := c.Write([]byte("request 1"))
	assert.NilError(t, err)
	assert.Assert(t, !c.seal(0), "a connection with a write of the request is sealed")
	_, err = c.Write([]byte("request 2"))
	assert.NilError(t, err)
	assert.Assert(t, c.seal(2))
	_, err = c.Write([]byte("request 3"))
	assert.Assert(t, errors.Is(err, errSealed))
}

// TestSendingWritten guards against a request passing as not sent because its
// connection is not counted, and against one passing as written that has got a
// connection but has written nothing.
func TestSendingWritten(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	t.Cleanup(func() { assert.NilError(t, near.Close()) })
	var none, foreign, silent, written sending
	assert.Assert(t, !none.written())
	foreign.gotConn(httptrace.GotConnInfo{Conn: near})
	assert.Assert(t, foreign.written())

	c := &conn{Conn: near}
	written.gotConn(httptrace.GotConnInfo{Conn: c})
	_, err := c.Write([]byte("request 1"))
	assert.NilError(t, err)
	assert.Assert(t, written.written())
	silent.gotConn(httptrace.GotConnInfo{Conn: c})
	assert.Assert(t, !silent.written())
	_, err = c.Write([]byte("request 2"))
	assert.Assert(t, errors.Is(err, errSealed))
}

// TestNewRequest guards against a request that the transport may repeat.
func TestNewRequest(t *testing.T) {
	for _, body := range []string{"", "body"} {
		req, err := newRequest(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), "/", []byte(body), http.Header{})
		assert.NilError(t, err)
		assert.Assert(t, req.GetBody == nil)
		assert.Assert(t, req.Body != nil && req.Body != http.NoBody)
		assert.Equal(t, req.ContentLength, int64(len(body)))
	}
}

// TestPostWritesOnce guards against a small request whose head and body go out
// in two writes, each of which wakes the other side.
func TestPostWritesOnce(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer s.Close()
	to, err := netip.ParseAddrPort(s.Listener.Addr().String())
	assert.NilError(t, err)
	var followed sending
	req, err := newRequest(followed.follow(t.Context()), to, "/", []byte("body"), http.Header{})
	assert.NilError(t, err)
	client := NewClient(time.Second)
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, followed.conn.writes, 1)
}
