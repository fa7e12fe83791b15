package link

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
)

// addressed is a connection in memory with the address of its other side.
type addressed struct {
	net.Conn

	other netip.AddrPort
}

// RemoteAddr returns the address of the other side.
func (a addressed) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(a.other) }

// exchange sends n bytes and receives m bytes on a counted connection.
func exchange(t *testing.T, c *Counter, k Kind, to string, n, m int) {
	near, far := net.Pipe()
	counted := c.Wrap(k)(addressed{near, netip.MustParseAddrPort(to)})
	go func() {
		_, _ = far.Read(make([]byte, n))
		_, _ = far.Write(make([]byte, m))
	}()
	_, err := counted.Write(make([]byte, n))
	assert.NilError(t, err)
	_, err = counted.Read(make([]byte, m))
	assert.NilError(t, err)
	assert.NilError(t, counted.Close())
	assert.NilError(t, far.Close())
}

// TestCounter guards against traffic of the own region that is billed to the
// link, bytes that are lost or counted under another kind, and a report that
// repeats the bytes of an earlier one.
func TestCounter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		begin := time.Now()
		log := event.New(funcr.New(func(_, args string) {
			fmt.Fprintf(&out, "%v %s\n", time.Since(begin), args)
		}, funcr.Options{}))
		regions := map[string]ident.Region{"10.0.0.1:80": "near", "10.1.0.1:80": "far", "[fd00::1]:80": "far"}
		c := NewCounter(Deps{Self: "near", Log: log, RegionOf: func(a netip.AddrPort) (ident.Region, bool) {
			r, ok := regions[a.String()]
			return r, ok
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		exchange(t, c, Request, "10.0.0.1:80", 100, 200)
		exchange(t, c, Request, "10.1.0.1:80", 3, 4)
		exchange(t, c, Peer, "[fd00::1]:80", 10, 20)
		exchange(t, c, Worker, "10.9.0.1:80", 1, 1)
		time.Sleep(reportEvery + time.Second)
		exchange(t, c, Request, "[::ffff:10.1.0.1]:80", 5, 6)
		time.Sleep(reportEvery)
		// The last report is written by the counter's thread.
		synctest.Wait()
		c.WriteMetrics(&out)
		cancel()
		synctest.Wait()
		golden.Assert(t, out.String(), "bytes.golden")
	})
}
