package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/plat"
)

const (
	// registerInterval is the interval at which the registration is renewed,
	// and registrationTTL the time after which the platform removes the entry
	// of an instance that has crashed.
	registerInterval = time.Second
	registrationTTL  = 5 * time.Second
	// registerTimeout bounds one call, so that four renewals fit into the TTL.
	registerTimeout = time.Second
)

// keepRegistered keeps this instance in the platform's list until ctx ends. A
// failed renewal is not retried before the next interval.
func (i *instance) keepRegistered(ctx context.Context) {
	for {
		state := plat.Live
		if i.readiness.isStopping() {
			state = plat.Leaving
		}
		_ = i.register(ctx, state)
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerInterval):
		}
	}
}

// register adds this instance to the platform's list or renews its entry.
func (i *instance) register(ctx context.Context, s plat.State) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := i.platformList.Register(ctx, i.registration(s), registrationTTL); err != nil {
		return fmt.Errorf("register this instance: %w", err)
	}
	return nil
}

// deregister removes this instance from the platform's list. If the call fails,
// the entry expires after its TTL.
func (i *instance) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_ = i.platformList.Remove(ctx, i.registration(plat.Leaving))
}

// registration returns the entry of this instance in the platform's list.
func (i *instance) registration(s plat.State) plat.Instance {
	return plat.Instance{Kind: plat.KindEntry, State: s, Entry: plat.Entry{
		Name: i.self.Instance, Address: i.self.Caller, Peer: i.self.Peer, Domain: i.self.Domain, Region: i.self.Region,
	}}
}
