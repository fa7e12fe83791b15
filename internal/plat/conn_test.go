package plat

import (
	"io"
	"net"
	"testing"

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

// TestSendingForeignConn guards against a client without counted connections
// passing a request as not sent.
func TestSendingForeignConn(t *testing.T) {
	var s sending
	assert.Assert(t, !s.written(), "without a connection nothing is written")
	s.got = true
	assert.Assert(t, s.written())
}
