package peer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/peerv1"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/sched"
	"github.com/pkg/errors"
)

// errOutcome means that an answer names no known outcome.
var errOutcome = errors.New("unknown outcome")

func stateToForm(s member.State) (*peerv1.State, error) {
	f := &peerv1.State{
		Instance:      string(s.Instance),
		ConfigVersion: s.ConfigVersion,
		Ready:         s.Ready,
		Stopping:      s.Stopping,
		WantsConfig:   s.Wants,
	}
	if s.Config != nil {
		b, err := record.EncodeConfig(s.Config)
		if err != nil {
			return nil, fmt.Errorf("encode state: %w", err)
		}
		f.Config = b
	}
	for _, sum := range s.Shards {
		f.Shards = append(f.Shards, &peerv1.ShardSummary{
			Domain:              string(sum.Domain),
			Epoch:               sum.Epoch,
			Workers:             int32(sum.Workers),
			Accelerators:        int32(sum.Accelerators),
			FreeAccelerators:    int32(sum.FreeAccelerators),
			WaitingJobs:         int32(sum.WaitingJobs),
			WaitingAccelerators: int32(sum.WaitingAccelerators),
			RunningJobs:         int32(sum.RunningJobs),
			Unmet:               sum.Unmet,
		})
	}
	for _, e := range s.Leaving {
		f.Leaving = append(f.Leaving, &peerv1.LeavingEndpoint{
			Name: string(e.Name), Address: e.Address.String(), Incarnation: e.Incarnation,
		})
	}
	return f, nil
}

func stateFromForm(f *peerv1.State) (member.State, error) {
	s := member.State{
		Instance:      ident.Instance(f.GetInstance()),
		ConfigVersion: f.GetConfigVersion(),
		Ready:         f.GetReady(),
		Stopping:      f.GetStopping(),
		Wants:         f.GetWantsConfig(),
	}
	if len(f.GetConfig()) > 0 {
		c, err := record.DecodeConfig(f.GetConfig())
		if err != nil {
			return member.State{}, fmt.Errorf("decode state of %s: %w", s.Instance, err)
		}
		s.Config = c
	}
	for _, e := range f.GetLeaving() {
		address, err := netip.ParseAddrPort(e.GetAddress())
		if err != nil {
			return member.State{}, fmt.Errorf("decode state of %s: endpoint %s: %w", s.Instance, e.GetName(), err)
		}
		s.Leaving = append(s.Leaving, route.Endpoint{
			Name: ident.Endpoint(e.GetName()), Address: address, Incarnation: e.GetIncarnation(),
		})
	}
	for _, sum := range f.GetShards() {
		s.Shards = append(s.Shards, sched.Summary{
			Domain:              ident.Domain(sum.GetDomain()),
			Epoch:               sum.GetEpoch(),
			Workers:             int(sum.GetWorkers()),
			Accelerators:        int(sum.GetAccelerators()),
			FreeAccelerators:    int(sum.GetFreeAccelerators()),
			WaitingJobs:         int(sum.GetWaitingJobs()),
			WaitingAccelerators: int(sum.GetWaitingAccelerators()),
			RunningJobs:         int(sum.GetRunningJobs()),
			Unmet:               sum.GetUnmet(),
		})
	}
	return s, nil
}

func answerToForm(a relay.Answer) *peerv1.ResolveResponse {
	return &peerv1.ResolveResponse{
		Outcome:     a.Outcome.String(),
		Status:      int32(a.Status),
		ContentType: a.ContentType,
		Body:        a.Body,
		Reason:      string(a.Reason),
		Detail:      a.Detail,
		Holder:      string(a.Holder),
		Remaining:   a.Remaining.Nanoseconds(),
	}
}

func answerFromForm(f *peerv1.ResolveResponse) (relay.Answer, error) {
	a := relay.Answer{
		Status:      int(f.GetStatus()),
		ContentType: f.GetContentType(),
		Body:        f.GetBody(),
		Reason:      relay.Reason(f.GetReason()),
		Detail:      f.GetDetail(),
		Holder:      ident.Instance(f.GetHolder()),
		Remaining:   time.Duration(f.GetRemaining()),
	}
	for _, o := range []relay.Outcome{relay.Done, relay.NotRun, relay.Unknown} {
		if o.String() == f.GetOutcome() {
			a.Outcome = o
			return a, nil
		}
	}
	return relay.Answer{}, fmt.Errorf("%q: %w", f.GetOutcome(), errOutcome)
}
