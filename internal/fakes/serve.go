package fakes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

type (
	// Server serves a stand-in over HTTP at Address.
	Server struct {
		Address netip.AddrPort

		http *http.Server
		done chan error
	}

	excessKey struct{}
)

const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than the idle timeout of the clients of package
	// plat, so that clients close idle connections first.
	idleTimeout = 2 * time.Minute
)

// Router returns a router of the given routes.
func Router(routes ...plat.Route) *mux.Router {
	r := mux.NewRouter()
	for _, route := range routes {
		r.Methods(route.Method).Path(route.Path).HandlerFunc(route.Serve)
	}
	return r
}

// Listen serves h on the address. Port 0 selects a free port, which Address of
// the result contains. Requests on connections beyond the limit are marked in
// their context, and an Endpoint refuses them. A limit of 0 means no limit.
func Listen(at netip.AddrPort, connections int, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %v: %w", at, err)
	}
	address, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("parse address of listener: %w", err)
	}
	s := &Server{Address: address, done: make(chan error, 1), http: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}}
	limitConnections(s.http, int64(connections))
	go func() { s.done <- s.http.Serve(l) }()
	return s, nil
}

// Close shuts the server down. It waits for the requests in flight until ctx
// ends.
func (s *Server) Close(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down server on %v: %w", s.Address, err)
	}
	if err := <-s.done; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %v: %w", s.Address, err)
	}
	return nil
}

// Kill closes the listener and all connections at once.
func (s *Server) Kill() error {
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("close server on %v: %w", s.Address, err)
	}
	if err := <-s.done; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %v: %w", s.Address, err)
	}
	return nil
}

// limitConnections marks the requests on connections beyond the limit in their
// context.
func limitConnections(s *http.Server, limit int64) {
	if limit <= 0 {
		return
	}
	var open atomic.Int64
	s.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, excessKey{}, open.Add(1) > limit)
	}
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed || state == http.StateHijacked {
			open.Add(-1)
		}
	}
}

func isExcess(ctx context.Context) bool {
	excess, ok := ctx.Value(excessKey{}).(bool)
	return ok && excess
}
