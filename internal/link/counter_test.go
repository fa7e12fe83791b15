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

// connWithAddr is an in-memory connection with a remote address.
type connWithAddr struct {
	net.Conn

	remote netip.AddrPort
}

// RemoteAddr returns the remote address.
func (a connWithAddr) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(a.remote) }

// exchange sends n bytes and receives m bytes on a counted connection.
func exchange(t *testing.T, c *Counter, k Kind, to string, n, m int) {
	local, remote := net.Pipe()
	counted := c.Wrap(k)(connWithAddr{local, netip.MustParseAddrPort(to)})
	go func() {
		_, _ = remote.Read(make([]byte, n))
		_, _ = remote.Write(make([]byte, m))
	}()
	_, err := counted.Write(make([]byte, n))
	assert.NilError(t, err)
	_, err = counted.Read(make([]byte, m))
	assert.NilError(t, err)
	assert.NilError(t, counted.Close())
	assert.NilError(t, remote.Close())
}

// TestCounter guards against traffic within the own region that is counted,
// bytes that are missed or counted under another kind, and a report that repeats
// the bytes of an earlier one.
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
		time.Sleep(reportInterval + time.Second)
		exchange(t, c, Request, "[::ffff:10.1.0.1]:80", 5, 6)
		time.Sleep(reportInterval)
		// The last report is written by the goroutine of the counter.
		synctest.Wait()
		c.WriteMetrics(&out)
		cancel()
		synctest.Wait()
		golden.Assert(t, out.String(), "bytes.golden")
	})
}
