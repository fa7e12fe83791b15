package peer

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/peerv1"
	"github.com/baobabquay/baobabquay/internal/relay"
)

type (
	// Server holds the functions that handle the calls of other instances.
	Server struct {
		// Exchange receives the state of another instance and returns the state
		// of this one.
		Exchange func(from member.State) member.State
		// Notify receives the notification that a queue entry changed.
		Notify func(d ident.Domain, w ident.Workspace, j ident.Job)
		// Explain returns why a job of an owned shard waits, or "" if the reason
		// is not known.
		Explain func(d ident.Domain, w ident.Workspace, j ident.Job) string
		// Resolve returns the outcome of a request that this instance has claimed.
		// The asker is the calling instance.
		Resolve func(ctx context.Context, asker ident.Instance, w ident.Workspace, id ident.Request) relay.Answer
	}

	// handler adapts a Server to the generated service.
	handler struct {
		peerv1.UnimplementedPeerHandler
		server Server
	}
)

// NewHandler returns the path and the handler of the service.
func NewHandler(s Server) (string, http.Handler) {
	return peerv1.NewPeerHandler(handler{server: s})
}

// Exchange passes the received state to the server and returns the state of this
// instance.
func (h handler) Exchange(
	_ context.Context, r *connect.Request[peerv1.ExchangeRequest],
) (*connect.Response[peerv1.ExchangeResponse], error) {
	from, err := stateFromProto(r.Msg.GetState())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("exchange: %w", err))
	}
	msg, err := stateToProto(h.server.Exchange(from))
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("exchange: %w", err))
	}
	return connect.NewResponse(&peerv1.ExchangeResponse{State: msg}), nil
}

// Notify passes the notification to the server.
func (h handler) Notify(
	_ context.Context, r *connect.Request[peerv1.NotifyRequest],
) (*connect.Response[peerv1.NotifyResponse], error) {
	m := r.Msg
	h.server.Notify(ident.Domain(m.GetDomain()), ident.Workspace(m.GetWorkspace()), ident.Job(m.GetJob()))
	return connect.NewResponse(&peerv1.NotifyResponse{}), nil
}

// Explain returns the reason for which a job waits.
func (h handler) Explain(
	_ context.Context, r *connect.Request[peerv1.ExplainRequest],
) (*connect.Response[peerv1.ExplainResponse], error) {
	m := r.Msg
	reason := h.server.Explain(ident.Domain(m.GetDomain()), ident.Workspace(m.GetWorkspace()), ident.Job(m.GetJob()))
	return connect.NewResponse(&peerv1.ExplainResponse{Reason: reason}), nil
}

// Resolve returns the outcome of a request.
func (h handler) Resolve(
	ctx context.Context, r *connect.Request[peerv1.ResolveRequest],
) (*connect.Response[peerv1.ResolveResponse], error) {
	m := r.Msg
	answer := h.server.Resolve(ctx, ident.Instance(m.GetAsker()), ident.Workspace(m.GetWorkspace()), ident.Request(m.GetRequest()))
	return connect.NewResponse(answerToProto(answer)), nil
}
