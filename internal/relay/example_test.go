package relay_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/claim"
	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/route"
)

func newRelay() *relay.Relay {
	c := &config.Config{Limits: config.DefaultLimits(), Services: []config.Service{{Name: "proofs"}}}
	calls := relay.Calls{
		Config: func() *config.Config { return c },
		Send: func(_ context.Context, _ route.Endpoint, a relay.Attempt) (relay.Reply, error) {
			return relay.Reply{ID: a.ID, Attempt: a.Number, Complete: true, Status: 200, Body: []byte("proof of " + string(a.Body))}, nil
		},
		Take: func(context.Context, ident.Workspace, ident.Request, string) (claim.Result, error) {
			return claim.Result{Mine: true}, nil
		},
	}
	r := relay.New(calls, route.New(route.DefaultSettings()), relay.DefaultSettings(), event.Discard())
	r.UpdateEndpoints([]route.Endpoint{{
		Name: "runner-1", Service: "proofs", Region: "coast", Slots: 64,
		Address: netip.MustParseAddrPort("127.0.0.1:9000"),
	}}, time.Now())
	return r
}

func ExampleRelay_Do() {
	answer := newRelay().Do(context.Background(), relay.Request{
		Workspace: "foundry-a", ID: "r-1", Service: "proofs", Region: "coast", Body: []byte("page 1"),
	})
	fmt.Println(answer.Outcome, answer.Status, string(answer.Body))
	// Output: done 200 proof of page 1
}

// BenchmarkDo measures the overhead of the relay for an idempotent request.
func BenchmarkDo(b *testing.B) {
	r := newRelay()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			id := ident.Request(fmt.Sprintf("r-%p-%d", pb, i))
			answer := r.Do(context.Background(), relay.Request{Workspace: "foundry-a", ID: id, Service: "proofs", Region: "coast"})
			if answer.Outcome != relay.Done {
				b.Error(answer)
				return
			}
		}
	})
}
