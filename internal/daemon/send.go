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

// finder asks other instances for the outcome of requests. Its view is set
// when the member service exists, which needs the relay itself.
type finder struct {
	self  ident.Instance
	peers *peer.Client
	view  *member.Service
}

var errUnknownInstance = errors.New("the instance is not known")

func newFinder(self member.Info, p *peer.Client) *finder {
	return &finder{self: self.Instance, peers: p}
}

func (f *finder) resolve(
	ctx context.Context, claimant ident.Instance, w ident.Workspace, id ident.Request,
) (relay.Answer, error) {
	p, ok := f.view.Find(claimant)
	if !ok {
		return relay.Answer{}, fmt.Errorf("resolve %s at %s: %w", id, claimant, errUnknownInstance)
	}
	return f.peers.Resolve(ctx, p.Peer, f.self, w, id)
}

// send carries one attempt to an endpoint in the platform's protocol.
func send(
	ctx context.Context, c *http.Client, k *site.Keeper, sg *sharing, e route.Endpoint, a relay.Attempt,
) (relay.Reply, error) {
	service, _ := k.Current().Service(a.Service)
	answer, err := plat.Send(ctx, c, e.Address, plat.Request{
		Service: a.Service, ID: a.ID, Attempt: a.Number, Remaining: time.Until(a.Deadline),
		Type: a.ContentType, Body: a.Body, MaxAnswer: service.MaxAnswer,
	})
	var refused *plat.RefusedError
	switch {
	case errors.As(err, &refused):
		return relay.Reply{}, fmt.Errorf("endpoint %s: %s: %w", e.Name, refused.Reason,
			&relay.RefusedError{Leaving: refused.Leaving})
	case errors.Is(err, plat.ErrNotSent):
		return relay.Reply{}, fmt.Errorf("endpoint %s: %w: %w", e.Name, relay.ErrNotSent, err)
	case err != nil:
		return relay.Reply{}, fmt.Errorf("endpoint %s: %w", e.Name, err)
	}
	sg.answered(e, a, len(answer.Body))
	// plat.Send has compared the echo and the length.
	return relay.Reply{
		ID: a.ID, Attempt: a.Number, Complete: true, Leaving: answer.Leaving,
		Status: answer.Status, ContentType: answer.Type, Body: answer.Body,
	}, nil
}
