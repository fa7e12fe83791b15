package perf

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/baobabquay/baobabquay/pkg/wire"
)

// Forward is the plain forwarding handler.
type Forward struct {
	endpoints []netip.AddrPort
	client    *http.Client
	next      atomic.Uint64
}

// idleConnections are kept to one address, enough for all threads of the load.
const idleConnections = 256

// NewForward returns a handler that sends requests to the endpoints in turn.
func NewForward(endpoints []netip.AddrPort) *Forward {
	return &Forward{endpoints: endpoints, client: newClient()}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}}
}

// ServeHTTP forwards one request.
func (f *Forward) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	to := f.endpoints[f.next.Add(1)%uint64(len(f.endpoints))]
	out, err := http.NewRequestWithContext(r.Context(), http.MethodPost,
		"http://"+to.String()+"/requests/"+serviceOf(r.URL.Path), bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The names are those of the endpoint's protocol.
	out.Header.Set("Request-Id", r.Header.Get(wire.HeaderRequestID))
	out.Header.Set("Request-Attempt", "1")
	out.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	resp, err := f.client.Do(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	copyAnswer(w, resp)
}

func copyAnswer(w http.ResponseWriter, resp *http.Response) {
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(resp.StatusCode)
	// The connection of a caller that has gone away cannot be told anything.
	_, _ = w.Write(answer)
}

func serviceOf(path string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathServices+"/"), "/")
	return service
}
