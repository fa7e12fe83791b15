package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/peer"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/site"
	"github.com/pkg/errors"
)

// outcomeResolver asks other instances for the outcome of requests that they
// have claimed. newInstance sets members, because the member service is
// constructed after the relay, which uses the resolver.
type outcomeResolver struct {
	// self is the name of this instance.
	self    ident.Instance
	peers   *peer.Client
	members *member.Service
}

var errUnknownInstance = errors.New("unknown instance")

func newOutcomeResolver(self member.Info, peers *peer.Client) *outcomeResolver {
	return &outcomeResolver{self: self.Instance, peers: peers}
}

// resolve asks the claimant of a request for its outcome.
func (r *outcomeResolver) resolve(
	ctx context.Context, claimant ident.Instance, w ident.Workspace, id ident.Request,
) (relay.Answer, error) {
	p, ok := r.members.Find(claimant)
	if !ok {
		return relay.Answer{}, fmt.Errorf("resolve %s at %s: %w", id, claimant, errUnknownInstance)
	}
	return r.peers.Resolve(ctx, p.Peer, r.self, w, id)
}

// sendAttempt sends one attempt of a request to an endpoint in the platform's
// protocol and returns the reply.
func sendAttempt(
	ctx context.Context, client *http.Client, configManager *site.Manager, shaper *linkShaper,
	endpoint route.Endpoint, attempt relay.Attempt,
) (relay.Reply, error) {
	service, _ := configManager.Current().Service(attempt.Service)
	answer, err := plat.Send(ctx, client, endpoint.Address, plat.Request{
		Service: attempt.Service, ID: attempt.ID, Attempt: attempt.Number, Remaining: time.Until(attempt.Deadline),
		Type: attempt.ContentType, Body: attempt.Body, MaxAnswer: service.MaxAnswer,
	})
	var refused *plat.RefusedError
	switch {
	case errors.As(err, &refused):
		return relay.Reply{}, fmt.Errorf("endpoint %s: %s: %w", endpoint.Name, refused.Reason,
			&relay.RefusedError{Leaving: refused.Leaving})
	case errors.Is(err, plat.ErrNotSent):
		return relay.Reply{}, fmt.Errorf("endpoint %s: %w: %w", endpoint.Name, relay.ErrNotSent, err)
	case err != nil:
		return relay.Reply{}, fmt.Errorf("endpoint %s: %w", endpoint.Name, err)
	}
	shaper.chargeAnswer(endpoint, attempt, len(answer.Body))
	// The reply is complete: plat.Send has verified the echoed identifiers and
	// the length.
	return relay.Reply{
		ID: attempt.ID, Attempt: attempt.Number, Complete: true, Leaving: answer.Leaving,
		Status: answer.Status, ContentType: answer.Type, Body: answer.Body,
	}, nil
}
