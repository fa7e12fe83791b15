package peer

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/peerv1"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/shard"
)

type (
	// Client calls other instances. It is safe for concurrent use.
	Client struct {
		http    *http.Client
		clients *shard.Map[addressKey, *connection]
	}

	// addressKey is the text form of an address, the key of the map of clients.
	addressKey string

	connection struct {
		peer peerv1.PeerClient
	}
)

// clientShards is the number of shards of the map of clients, each of which has
// its own lock; an instance calls a few dozen others.
const clientShards = 8

// NewClient returns a client that makes its calls with c and reuses the
// connections of c.
func NewClient(c *http.Client) *Client {
	return &Client{http: c, clients: shard.New[addressKey, *connection](clientShards)}
}

// Exchange sends s to the instance at the address and returns its state.
func (c *Client) Exchange(ctx context.Context, to netip.AddrPort, s member.State) (member.State, error) {
	msg, err := stateToProto(s)
	if err != nil {
		return member.State{}, fmt.Errorf("exchange with %v: %w", to, err)
	}
	answer, err := c.client(to).Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{State: msg}))
	if err != nil {
		return member.State{}, fmt.Errorf("exchange with %v: %w", to, err)
	}
	state, err := stateFromProto(answer.Msg.GetState())
	if err != nil {
		return member.State{}, fmt.Errorf("exchange with %v: %w", to, err)
	}
	return state, nil
}

// Notify informs the instance at the address that a queue entry changed.
func (c *Client) Notify(ctx context.Context, to netip.AddrPort, d ident.Domain, w ident.Workspace, j ident.Job) error {
	_, err := c.client(to).Notify(ctx, connect.NewRequest(&peerv1.NotifyRequest{
		Domain: string(d), Workspace: string(w), Job: string(j),
	}))
	if err != nil {
		return fmt.Errorf("notify %v of job %s: %w", to, j, err)
	}
	return nil
}

// Explain asks the instance at the address why a job waits. The reason is empty
// if the instance does not know.
func (c *Client) Explain(
	ctx context.Context, to netip.AddrPort, d ident.Domain, w ident.Workspace, j ident.Job,
) (string, error) {
	answer, err := c.client(to).Explain(ctx, connect.NewRequest(&peerv1.ExplainRequest{
		Domain: string(d), Workspace: string(w), Job: string(j),
	}))
	if err != nil {
		return "", fmt.Errorf("explain job %s at %v: %w", j, to, err)
	}
	return answer.Msg.GetReason(), nil
}

// Resolve asks the instance at the address, on behalf of the instance asker, for
// the outcome of a request that the asked instance has claimed.
func (c *Client) Resolve(
	ctx context.Context, to netip.AddrPort, asker ident.Instance, w ident.Workspace, id ident.Request,
) (relay.Answer, error) {
	answer, err := c.client(to).Resolve(ctx, connect.NewRequest(&peerv1.ResolveRequest{
		Workspace: string(w), Request: string(id), Asker: string(asker),
	}))
	if err != nil {
		return relay.Answer{}, fmt.Errorf("resolve %s at %v: %w", id, to, err)
	}
	return answerFromProto(answer.Msg)
}

func (c *Client) client(to netip.AddrPort) peerv1.PeerClient {
	conn, _ := c.clients.LoadOrStore(addressKey(to.String()), func() *connection {
		return &connection{peer: peerv1.NewPeerClient(c.http, "http://"+to.String())}
	})
	return conn.peer
}
