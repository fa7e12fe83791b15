package plat_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/plat"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// serveRaw starts a server that reads one request from each connection, sends text
// and closes the connection. It returns the address and the number of requests read.
func serveRaw(t *testing.T, text string) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, l.Close()) })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				requests.Add(1)
			}
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), &requests
}

// TestSendAnswers checks that a truncated answer, or one to another request, is not
// returned, and that a request is not sent twice or reported as not run after it was
// written.
func TestSendAnswers(t *testing.T) {
	const echo = "Request-Id: r1\r\nRequest-Attempt: 2\r\n"
	var out strings.Builder
	for _, c := range []struct{ name, text string }{
		{"complete", "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 5\r\n\r\nhello"},
		{"complete in chunks", "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"error of the endpoint", "HTTP/1.1 422 Bad\r\n" + echo + "Content-Length: 3\r\n\r\nbad"},
		{"leaving", "HTTP/1.1 200 OK\r\n" + echo + "Endpoint-Leaving: true\r\nContent-Length: 0\r\n\r\n"},
		{"shorter than its length", "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 9\r\n\r\nhello"},
		{"without the last chunk", "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
		{"without a length", "HTTP/1.1 200 OK\r\n" + echo + "\r\nhello"},
		{"truncated in the header", "HTTP/1.1 200 OK\r\n" + echo},
		{"no answer", ""},
		{"longer than the limit", "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 65\r\n\r\n"},
		{"chunks longer than the limit", "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n41\r\n" +
			strings.Repeat("x", 65) + "\r\n0\r\n\r\n"},
		{"other request", "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nRequest-Attempt: 2\r\nContent-Length: 0\r\n\r\n"},
		{"other attempt", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nRequest-Attempt: 1\r\nContent-Length: 0\r\n\r\n"},
		{"refusal", "HTTP/1.1 503 Busy\r\n" + echo + "Endpoint-Refused: slots\r\nContent-Length: 0\r\n\r\n"},
		{"refusal of another request", "HTTP/1.1 503 Busy\r\nRequest-Id: r2\r\nRequest-Attempt: 2\r\n" +
			"Endpoint-Refused: slots\r\nContent-Length: 0\r\n\r\n"},
		{"503 without a refusal header", "HTTP/1.1 503 Busy\r\n" + echo + "Content-Length: 0\r\n\r\n"},
		{"redirect", "HTTP/1.1 307 Moved\r\n" + echo + "Location: /elsewhere\r\nContent-Length: 0\r\n\r\n"},
	} {
		to, requests := serveRaw(t, c.text)
		a, err := plat.Send(testContext(t), plat.NewClient(time.Second), to, request)
		fmt.Fprintf(&out, "%s: %s; status %d body %q leaving %v; requests %d\n",
			c.name, errorKinds(err), a.Status, a.Body, a.Leaving, requests.Load())
	}
	golden.Assert(t, out.String(), "send.golden")
}

// TestSendRedirect checks that Send follows no redirect, even with a client that
// would: the request must not reach an endpoint to which it was not routed.
func TestSendRedirect(t *testing.T) {
	to, requests := serveRaw(t, "HTTP/1.1 303 Other\r\nRequest-Id: r1\r\nRequest-Attempt: 2\r\nLocation: /other\r\n"+
		"Connection: close\r\nContent-Length: 0\r\n\r\n")
	a, err := plat.Send(testContext(t), &http.Client{}, to, request)
	assert.NilError(t, err)
	assert.Equal(t, a.Status, http.StatusSeeOther)
	assert.Equal(t, requests.Load(), int64(1))
}

// TestSendNotSent checks that a request that was not written is reported as not
// sent, since otherwise it could not be sent to another endpoint, and that a request
// that was written is not.
func TestSendNotSent(t *testing.T) {
	closed, err := fakes.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 0, http.NotFoundHandler())
	assert.NilError(t, err)
	assert.NilError(t, closed.Kill())
	_, err = plat.Send(testContext(t), plat.NewClient(time.Second), closed.Address, request)
	assert.ErrorIs(t, err, plat.ErrNotSent)

	read := make(chan struct{})
	hanging := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(read)
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-read
		cancel()
	}()
	_, err = plat.Send(ctx, plat.NewClient(time.Second), hanging, request)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, errorKinds(err), "context canceled")
}

// TestSendClosedConnection checks that the transport does not send a request a second
// time when the server has closed an idle connection.
func TestSendClosedConnection(t *testing.T) {
	to, requests := serveRaw(t, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nRequest-Attempt: 2\r\nContent-Length: 0\r\n\r\n")
	client := plat.NewClient(time.Second)
	for n := range int64(20) {
		before := requests.Load()
		_, err := plat.Send(testContext(t), client, to, request)
		read := requests.Load() - before
		assert.Assert(t, read <= 1, "round %d", n)
		if kind := errorKinds(err); kind == plat.ErrNotSent.Error() {
			assert.Equal(t, read, int64(0), "round %d", n)
		}
	}
}

// TestSendEndpoint checks that the faults of the stand-in endpoint cause the same
// errors over the network as in memory.
func TestSendEndpoint(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name  string
		fault fakes.EndpointFault
		leave bool
		slots int
	}{
		{"no fault", fakes.EndpointFault{}, false, 8},
		{"full", fakes.EndpointFault{}, false, 0},
		{"leaving", fakes.EndpointFault{}, true, 8},
		{"refuses", fakes.EndpointFault{Kind: fakes.FaultRefuse}, false, 8},
		{"crash during the answer", fakes.EndpointFault{Kind: fakes.FaultCut}, false, 8},
		{"crash before the answer", fakes.EndpointFault{Kind: fakes.FaultDie}, false, 8},
		{"slow", fakes.EndpointFault{Kind: fakes.FaultSlow, Delay: time.Millisecond}, false, 8},
	} {
		e := fakes.NewEndpoint(plat.Endpoint{Name: "proof-1", Service: "proof", Slots: c.slots}, 0)
		e.SetFault(c.fault)
		if c.leave {
			e.Leave()
		}
		to := serve(t, fakes.Router(plat.EndpointRoutes(e.Handle)...))
		r := request
		r.MaxAnswer = 1 << 10
		a, err := plat.Send(testContext(t), plat.NewClient(time.Second), to, r)
		fmt.Fprintf(&out, "%s: %s; status %d body %s\n", c.name, errorKinds(err), a.Status, a.Body)
		for _, line := range e.Log() {
			fmt.Fprintf(&out, "  %s %s %d %s\n", line.Event, line.Request, line.Attempt, line.Reason)
		}
	}
	golden.Assert(t, out.String(), "endpoint.golden")
}
