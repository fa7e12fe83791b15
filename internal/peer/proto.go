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

// errUnknownOutcome means that a response contains an outcome that this version
// does not know.
var errUnknownOutcome = errors.New("unknown outcome")

func stateToProto(s member.State) (*peerv1.State, error) {
	m := &peerv1.State{
		Instance:      string(s.Instance),
		ConfigVersion: s.ConfigVersion,
		Ready:         s.Ready,
		Stopping:      s.Stopping,
		WantsConfig:   s.WantsConfig,
	}
	if s.Config != nil {
		b, err := record.EncodeConfig(s.Config)
		if err != nil {
			return nil, fmt.Errorf("encode state: %w", err)
		}
		m.Config = b
	}
	for _, sum := range s.Shards {
		m.Shards = append(m.Shards, &peerv1.ShardSummary{
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
		m.Leaving = append(m.Leaving, &peerv1.LeavingEndpoint{
			Name: string(e.Name), Address: e.Address.String(), Incarnation: e.Incarnation,
		})
	}
	return m, nil
}

func stateFromProto(m *peerv1.State) (member.State, error) {
	s := member.State{
		Instance:      ident.Instance(m.GetInstance()),
		ConfigVersion: m.GetConfigVersion(),
		Ready:         m.GetReady(),
		Stopping:      m.GetStopping(),
		WantsConfig:   m.GetWantsConfig(),
	}
	if len(m.GetConfig()) > 0 {
		c, err := record.DecodeConfig(m.GetConfig())
		if err != nil {
			return member.State{}, fmt.Errorf("decode state of %s: %w", s.Instance, err)
		}
		s.Config = c
	}
	for _, e := range m.GetLeaving() {
		address, err := netip.ParseAddrPort(e.GetAddress())
		if err != nil {
			return member.State{}, fmt.Errorf("decode state of %s: endpoint %s: %w", s.Instance, e.GetName(), err)
		}
		s.Leaving = append(s.Leaving, route.Endpoint{
			Name: ident.Endpoint(e.GetName()), Address: address, Incarnation: e.GetIncarnation(),
		})
	}
	for _, sum := range m.GetShards() {
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

func answerToProto(a relay.Answer) *peerv1.ResolveResponse {
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

func answerFromProto(m *peerv1.ResolveResponse) (relay.Answer, error) {
	a := relay.Answer{
		Status:      int(m.GetStatus()),
		ContentType: m.GetContentType(),
		Body:        m.GetBody(),
		Reason:      relay.Reason(m.GetReason()),
		Detail:      m.GetDetail(),
		Holder:      ident.Instance(m.GetHolder()),
		Remaining:   time.Duration(m.GetRemaining()),
	}
	for _, o := range []relay.Outcome{relay.Done, relay.NotRun, relay.Unknown} {
		if o.String() == m.GetOutcome() {
			a.Outcome = o
			return a, nil
		}
	}
	return relay.Answer{}, fmt.Errorf("%q: %w", m.GetOutcome(), errUnknownOutcome)
}
