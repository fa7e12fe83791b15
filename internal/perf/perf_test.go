package perf

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func sample(requests int, median time.Duration) Sample {
	return Sample{
		Requests: requests, Took: time.Second, Median: median, High: 3 * median, Processor: time.Second,
	}
}

// TestRender guards against a ratio of the wrong rounds or sides.
func TestRender(t *testing.T) {
	rounds := []Round{
		{Plain: sample(1000, time.Millisecond), Instance: sample(800, 1250*time.Microsecond)},
		{Plain: sample(1100, time.Millisecond), Instance: sample(900, 1250*time.Microsecond)},
		{Plain: sample(100, time.Millisecond), Instance: sample(850, 1250*time.Microsecond)},
	}
	golden.Assert(t, Render(rounds), "report.golden")
}

func addressOf(t *testing.T, s *httptest.Server) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(s.Listener.Addr().String())
	assert.NilError(t, err)
	return a
}

// TestRun guards against requests that are counted without their own answer:
// the second side answers each second request with the answer to another one.
func TestRun(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = json.NewEncoder(w).Encode(map[string]string{"request": r.Header.Get("Request-Id"), "path": r.URL.Path})
	}))
	defer endpoint.Close()
	forward := NewForward([]netip.AddrPort{addressOf(t, endpoint)})
	plain := httptest.NewServer(forward)
	defer plain.Close()
	n := 0
	wrong := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n++; n%2 == 0 {
			_, _ = io.WriteString(w, `"another"`)
			return
		}
		forward.ServeHTTP(w, r)
	}))
	defer wrong.Close()
	rounds, err := Run(t.Context(), Settings{
		Plain: addressOf(t, plain), Instance: addressOf(t, wrong), Service: "proof",
		PlainProcess: os.Getpid(), InstanceProcess: os.Getpid(),
		Rounds: 1, Threads: 1, For: 20 * time.Millisecond, BodySize: 10,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(rounds), 1)
	assert.Equal(t, rounds[0].Plain.Failures, 0)
	assert.Assert(t, rounds[0].Instance.Failures > 0)
}

// TestParseStat guards against fields that are counted from a wrong place when
// the name of the process has spaces.
func TestParseStat(t *testing.T) {
	d, err := parseStat([]byte("7 (a b) c) S 1 7 7 0 -1 4194560 1 2 3 4 150 50 0 0 20 0\n"))
	assert.NilError(t, err)
	assert.Equal(t, d, 2*time.Second)
	_, err = parseStat([]byte("7 (a) S 1"))
	assert.ErrorIs(t, err, errStat)
}
