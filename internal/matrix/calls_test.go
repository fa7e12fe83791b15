package matrix

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/fakes"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/member"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/baobabquay/baobabquay/internal/roster"
	"github.com/baobabquay/baobabquay/internal/route"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/pkg/errors"
)

// storeName is the name of the store in Call.To.
const storeName = "store"

// table returns the client of the store for instance i, which calls over the
// network.
func (sim *Simulation) table(i ident.Instance) store.Table {
	t := sim.store.Store()
	call := func(op Op) Call {
		return Call{From: i, To: storeName, Region: homeRegion, Op: op, Write: op == OpCommit}
	}
	return store.Table{
		Get: func(ctx context.Context, key string) (row store.Row, err error) {
			_, err = sim.network.Do(ctx, call(OpGet), func(ctx context.Context) error {
				begin := time.Now()
				row, err = t.Get(ctx, key)
				return sim.countStoreFaults(begin, err)
			})
			return row, storeError(false, err)
		},
		Scan: func(ctx context.Context, prefix string) (rows []store.Row, err error) {
			_, err = sim.network.Do(ctx, call(OpScan), func(ctx context.Context) error {
				begin := time.Now()
				rows, err = t.Scan(ctx, prefix)
				return sim.countStoreFaults(begin, err)
			})
			return rows, storeError(false, err)
		},
		Commit: func(ctx context.Context, txn store.Txn) (version int64, err error) {
			c := call(OpCommit)
			c.Txn = txn
			_, err = sim.network.Do(ctx, c, func(ctx context.Context) error {
				begin := time.Now()
				version, err = t.Commit(ctx, txn)
				return sim.countStoreFaults(begin, err)
			})
			return version, storeError(true, err)
		},
	}
}

// storeError converts the error of a lost call or a killed caller to the one
// that a client of the store returns when no answer arrives: the outcome of a
// commit is uncertain.
func storeError(write bool, err error) error {
	switch {
	case errors.Is(err, errLost) && write, errors.Is(err, errKilled) && write:
		return fmt.Errorf("%w: %w", store.ErrUncertain, err)
	case errors.Is(err, errLost), errors.Is(err, errKilled):
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return err
}

// countStoreFaults counts the calls that the store failed or delayed.
func (sim *Simulation) countStoreFaults(begin time.Time, err error) error {
	if time.Since(begin) >= slowStoreDelay {
		sim.network.Hit(faultStoreSlow)
	}
	if errors.Is(err, store.ErrUnavailable) {
		sim.network.Hit(faultStoreDown)
	}
	if errors.Is(err, store.ErrUncertain) {
		sim.network.Hit(faultStoreAnswerLost)
	}
	return err
}

// countCutAnswer counts an answer that an endpoint cut off.
func (sim *Simulation) countCutAnswer(err error) {
	if errors.Is(err, plat.ErrIncomplete) {
		sim.network.Hit(faultEndpointDies)
	}
}

// agent returns the client of a worker for instance i, which calls over the
// network.
func (sim *Simulation) agent(i ident.Instance, s worker.Spec) worker.Agent {
	w := sim.worker(s.ID)
	do := func(ctx context.Context, op Op, effect func(context.Context, worker.Agent) error) error {
		c := Call{From: i, To: string(s.ID), Region: regionOf(s.Domain), Op: op, Write: op != OpReport, Datagram: true}
		_, err := sim.network.Do(ctx, c, func(ctx context.Context) error { return w.call(ctx, sim.network, effect) })
		if errors.Is(err, errLost) || errors.Is(err, errKilled) {
			return fmt.Errorf("%w: %w", worker.ErrUnreachable, err)
		}
		return err
	}
	return worker.Agent{
		Report: func(ctx context.Context) (r worker.Report, err error) {
			err = do(ctx, OpReport, func(ctx context.Context, a worker.Agent) error {
				got, err := a.Report(ctx)
				r = got
				return err
			})
			return r, err
		},
		Fence: func(ctx context.Context, f worker.Fence) (r worker.Report, err error) {
			err = do(ctx, OpFence, func(ctx context.Context, a worker.Agent) error {
				got, err := a.Fence(ctx, f)
				r = got
				return err
			})
			return r, err
		},
		Heartbeat: func(ctx context.Context, b worker.Heartbeat) (r worker.Report, err error) {
			err = do(ctx, OpReport, func(ctx context.Context, a worker.Agent) error {
				got, err := a.Heartbeat(ctx, b)
				r = got
				return err
			})
			return r, err
		},
		Reserve: command(do, OpReserve, func(a worker.Agent) func(context.Context, worker.Reserve) error { return a.Reserve }),
		Start:   command(do, OpStart, func(a worker.Agent) func(context.Context, worker.Start) error { return a.Start }),
		Renew:   command(do, OpRenew, func(a worker.Agent) func(context.Context, worker.Renew) error { return a.Renew }),
		Checkpoint: command(do, OpCheckpoint, func(a worker.Agent) func(context.Context, worker.Checkpoint) error {
			return a.Checkpoint
		}),
		Stop: command(do, OpStop, func(a worker.Agent) func(context.Context, worker.Stop) error { return a.Stop }),
	}
}

// command returns the function of a worker's client for a call whose only result
// is an error.
func command[T any](
	do func(context.Context, Op, func(context.Context, worker.Agent) error) error, op Op,
	method func(worker.Agent) func(context.Context, T) error,
) func(context.Context, T) error {
	return func(ctx context.Context, v T) error {
		return do(ctx, op, func(ctx context.Context, a worker.Agent) error { return method(a)(ctx, v) })
	}
}

// send sends an attempt of a request to an endpoint and returns the reply.
func (sim *Simulation) send(
	ctx context.Context, i ident.Instance, e route.Endpoint, a relay.Attempt,
) (reply relay.Reply, err error) {
	c := Call{From: i, To: string(e.Name), Region: e.Region, Op: OpSend, Write: true}
	sent, err := sim.network.Do(ctx, c, func(ctx context.Context) error {
		answer, err := sim.endpoint(e.Name).Handle(ctx, plat.Request{
			Service: a.Service, ID: a.ID, Attempt: a.Number, Body: a.Body,
		})
		if err != nil {
			sim.countCutAnswer(err)
			return err
		}
		reply = relay.Reply{
			ID: a.ID, Attempt: a.Number, Complete: true, Leaving: answer.Leaving,
			Status: answer.Status, ContentType: answer.Type, Body: answer.Body,
		}
		reply = sim.reorder(reply)
		if a.Number == 1 && sim.cutsFirstAnswer() {
			return plat.ErrIncomplete
		}
		return nil
	})
	var refused *plat.RefusedError
	switch {
	case errors.As(err, &refused):
		return relay.Reply{}, &relay.RefusedError{Leaving: refused.Leaving}
	case err != nil && !sent:
		return relay.Reply{}, fmt.Errorf("%w: %w", relay.ErrNotSent, err)
	case err != nil:
		return relay.Reply{}, fmt.Errorf("send: %w", err)
	}
	return reply, nil
}

// cutsFirstAnswer counts an answer to a first attempt and reports whether the
// answer is cut off.
func (sim *Simulation) cutsFirstAnswer() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.firstAnswers++
	return sim.firstAnswers <= sim.setup.CutFirstAnswers
}

// reorder returns the reply to the previous attempt in place of r while the
// fault messagesReordered is in effect, and r otherwise.
func (sim *Simulation) reorder(r relay.Reply) relay.Reply {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	last := sim.lastReply
	sim.lastReply = r
	if last.Complete && sim.network.reordersAnswers() {
		return last
	}
	return r
}

// exchange sends the state of instance i to another instance and returns the
// state with which that instance answers.
func (sim *Simulation) exchange(
	ctx context.Context, i ident.Instance, to member.Info, s member.State,
) (answer member.State, err error) {
	c := Call{From: i, To: string(to.Instance), Region: to.Region, Op: OpExchange, Datagram: true}
	_, err = sim.network.Do(ctx, c, func(context.Context) error {
		peer, ok := sim.instance(to.Instance)
		if !ok || !sim.network.isRunning(to.Instance) {
			time.Sleep(lossTimeout)
			return errLost
		}
		if self, known := sim.instance(i); known && sim.setup.AlwaysSendConfig {
			s.Config = self.site.Current()
		}
		answer = peer.members.Receive(s)
		if sim.setup.AlwaysSendConfig {
			answer.Config = peer.site.Current()
		}
		return nil
	})
	return answer, err
}

// resolve asks the claimant of a request for the outcome on behalf of
// instance i.
func (sim *Simulation) resolve(
	ctx context.Context, i, claimant ident.Instance, ws ident.Workspace, id ident.Request,
) (answer relay.Answer, err error) {
	peer, ok := sim.instance(claimant)
	if !ok {
		return relay.Answer{}, errLost
	}
	c := Call{From: i, To: string(claimant), Region: peer.self.Region, Op: OpResolve}
	_, err = sim.network.Do(ctx, c, func(context.Context) error {
		if !sim.network.isRunning(claimant) {
			time.Sleep(lossTimeout)
			return errLost
		}
		answer = peer.relay.Resolve(ctx, i, ws, id)
		return nil
	})
	return answer, err
}

// list reads the platform's list of workers and endpoints on behalf of
// instance i.
func (sim *Simulation) list(ctx context.Context, i ident.Instance) (l roster.Listing, err error) {
	c := Call{From: i, To: "list", Region: homeRegion, Op: OpList}
	_, err = sim.network.Do(ctx, c, func(context.Context) error {
		l = sim.listing()
		return nil
	})
	return l, err
}

// listing returns the platform's list and counts a hit for each endpoint that is
// listed as leaving.
func (sim *Simulation) listing() roster.Listing {
	var l roster.Listing
	for _, w := range sim.workers {
		l.Workers = append(l.Workers, w.spec)
	}
	for _, e := range sim.endpoints {
		i := e.Instance()
		if i.State == plat.Leaving {
			sim.network.Hit(faultEndpointLeaving)
		}
		l.Endpoints = append(l.Endpoints, route.Endpoint{
			Name: i.Endpoint.Name, Service: i.Endpoint.Service, Address: i.Endpoint.Address,
			Domain: i.Endpoint.Domain, Region: i.Endpoint.Region,
			Leaving: i.State == plat.Leaving, Slots: i.Endpoint.Slots,
		})
	}
	return l
}

func (sim *Simulation) endpoint(name ident.Endpoint) *fakes.Endpoint {
	for _, e := range sim.endpoints {
		if e.Instance().Endpoint.Name == name {
			return e
		}
	}
	return nil
}

// worker returns the worker with the identifier, or nil.
func (sim *Simulation) worker(id ident.Worker) *Worker {
	for _, w := range sim.workers {
		if w.spec.ID == id {
			return w
		}
	}
	return nil
}

// elapsed returns the time since the start of the script.
func (sim *Simulation) elapsed() time.Duration { return time.Since(sim.begin) }
