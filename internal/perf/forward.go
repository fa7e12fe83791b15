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

// Forwarder is the plain forwarding handler.
type Forwarder struct {
	endpoints []netip.AddrPort
	client    *http.Client
	next      atomic.Uint64
}

// maxIdleConns is the maximum number of idle connections to one address, enough
// for all threads of the load generator.
const maxIdleConns = 256

// NewForwarder returns a handler that sends requests to the endpoints in turn.
func NewForwarder(endpoints []netip.AddrPort) *Forwarder {
	return &Forwarder{endpoints: endpoints, client: newClient()}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}}
}

// ServeHTTP forwards one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	endpoint := f.endpoints[f.next.Add(1)%uint64(len(f.endpoints))]
	outgoing, err := http.NewRequestWithContext(r.Context(), http.MethodPost,
		"http://"+endpoint.String()+"/requests/"+serviceName(r.URL.Path), bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// These are the headers of the protocol between instance and endpoint.
	outgoing.Header.Set("Request-Id", r.Header.Get(wire.HeaderRequestID))
	outgoing.Header.Set("Request-Attempt", "1")
	outgoing.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	resp, err := f.client.Do(outgoing)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	copyResponse(w, resp)
}

func copyResponse(w http.ResponseWriter, resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.StatusCode)
	// If the write fails, the connection to the caller is broken, so the error
	// cannot be reported to it.
	_, _ = w.Write(body)
}

func serviceName(path string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathServices+"/"), "/")
	return service
}
