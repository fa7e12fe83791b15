package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/plat"
)

const (
	// listEvery is the period at which the registration is renewed, and
	// listTTL the time after which the entry of a dead instance vanishes.
	listEvery = time.Second
	listTTL   = 5 * time.Second
	// listTimeout bounds one call, so that four renewals fit into the TTL.
	listTimeout = time.Second
)

// register keeps this instance in the platform's list until ctx ends. A renewal
// that fails is repeated by the next one.
func (l *life) register(ctx context.Context) {
	for {
		state := plat.Live
		if l.status.isStopping() {
			state = plat.Leaving
		}
		_ = l.list(ctx, state)
		select {
		case <-ctx.Done():
			return
		case <-time.After(listEvery):
		}
	}
}

func (l *life) list(ctx context.Context, s plat.State) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := l.entries.Register(ctx, l.entryOf(s), listTTL); err != nil {
		return fmt.Errorf("register this instance: %w", err)
	}
	return nil
}

// unlist removes this instance from the list. Without an answer the entry
// vanishes after its TTL.
func (l *life) unlist(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	_ = l.entries.Remove(ctx, l.entryOf(plat.Leaving))
}

func (l *life) entryOf(s plat.State) plat.Instance {
	return plat.Instance{Kind: plat.KindEntry, State: s, Entry: plat.Entry{
		Name: l.self.Instance, Address: l.self.Caller, Peer: l.self.Peer, Domain: l.self.Domain, Region: l.self.Region,
	}}
}
