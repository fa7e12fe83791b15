package client

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestEvents guards against decisions out of order, and against the loss of the
// events of all instances when one instance fails.
func TestEvents(t *testing.T) {
	instance := func(lines ...string) netip.AddrPort {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("id") == "a1" {
				if _, err := fmt.Fprintln(w, strings.Join(lines, "\n")); err != nil {
					t.Log(err)
				}
			}
		}))
		t.Cleanup(s.Close)
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	unavailable := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(unavailable.Close)
	addresses := []netip.AddrPort{
		instance(`{"time":"2026-12-04T10:00:00.2Z","msg":"unitPlaced","instance":"n2","event":3050,"job":"a1","worker":"w1"}`),
		netip.MustParseAddrPort(strings.TrimPrefix(unavailable.URL, "http://")),
		instance(`{"time":"2026-12-04T10:00:00.1Z","msg":"jobAccepted","instance":"n1","event":1001,"job":"a1"}`),
	}
	events, err := Events(t.Context(), addresses, "a1")
	assert.Assert(t, errors.Is(err, ErrEvents), "%v", err)
	var b strings.Builder
	for _, e := range events.Events {
		fmt.Fprintf(&b, "%v %s %s %d %v\n", e.At, e.Instance, e.Name, e.Number, e.Fields)
	}
	golden.Assert(t, b.String(), "events.golden")
}
