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
		Requests: requests, Elapsed: time.Second, Median: median, P99: 3 * median, ProcessorTime: time.Second,
	}
}

// TestRender guards against ratios of the wrong rounds or targets.
func TestRender(t *testing.T) {
	rounds := []Round{
		{Plain: sample(1000, time.Millisecond), Instance: sample(800, 1250*time.Microsecond)},
		{Plain: sample(1100, time.Millisecond), Instance: sample(900, 1250*time.Microsecond)},
		{Plain: sample(100, time.Millisecond), Instance: sample(850, 1250*time.Microsecond)},
	}
	golden.Assert(t, Render(rounds), "report.golden")
}

func serverAddress(t *testing.T, s *httptest.Server) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(s.Listener.Addr().String())
	assert.NilError(t, err)
	return a
}

// TestRun guards against requests that count as successful with a response to
// another request: the second target returns such a response to every second
// request.
func TestRun(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = json.NewEncoder(w).Encode(map[string]string{"request": r.Header.Get("Request-Id"), "path": r.URL.Path})
	}))
	defer endpoint.Close()
	forwarder := NewForwarder([]netip.AddrPort{serverAddress(t, endpoint)})
	plain := httptest.NewServer(forwarder)
	defer plain.Close()
	requests := 0
	faulty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests++; requests%2 == 0 {
			_, _ = io.WriteString(w, `"another"`)
			return
		}
		forwarder.ServeHTTP(w, r)
	}))
	defer faulty.Close()
	rounds, err := Run(t.Context(), Settings{
		Plain: serverAddress(t, plain), Instance: serverAddress(t, faulty), Service: "proof",
		PlainPID: os.Getpid(), InstancePID: os.Getpid(),
		Rounds: 1, Threads: 1, Duration: 20 * time.Millisecond, BodySize: 10,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(rounds), 1)
	assert.Equal(t, rounds[0].Plain.Failures, 0)
	assert.Assert(t, rounds[0].Instance.Failures > 0)
}

// TestParseStat guards against reading the wrong fields if the process name
// contains spaces or parentheses.
func TestParseStat(t *testing.T) {
	d, err := parseStat([]byte("7 (a b) c) S 1 7 7 0 -1 4194560 1 2 3 4 150 50 0 0 20 0\n"))
	assert.NilError(t, err)
	assert.Equal(t, d, 2*time.Second)
	_, err = parseStat([]byte("7 (a) S 1"))
	assert.ErrorIs(t, err, errMalformedStat)
}
