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

// storeName names the store in calls.
const storeName = "store"

// table returns the store as the instance reaches it.
func (w *World) table(i ident.Instance) store.Table {
	t := w.store.Store()
	call := func(op Op) Call {
		return Call{From: i, To: storeName, Region: home, Op: op, Write: op == OpCommit}
	}
	return store.Table{
		Get: func(ctx context.Context, key string) (row store.Row, err error) {
			_, err = w.net.Do(ctx, call(OpGet), func(ctx context.Context) error {
				begin := time.Now()
				row, err = t.Get(ctx, key)
				return w.countStore(begin, err)
			})
			return row, storeError(false, err)
		},
		Scan: func(ctx context.Context, prefix string) (rows []store.Row, err error) {
			_, err = w.net.Do(ctx, call(OpScan), func(ctx context.Context) error {
				begin := time.Now()
				rows, err = t.Scan(ctx, prefix)
				return w.countStore(begin, err)
			})
			return rows, storeError(false, err)
		},
		Commit: func(ctx context.Context, txn store.Txn) (version int64, err error) {
			c := call(OpCommit)
			c.Txn = txn
			_, err = w.net.Do(ctx, c, func(ctx context.Context) error {
				begin := time.Now()
				version, err = t.Commit(ctx, txn)
				return w.countStore(begin, err)
			})
			return version, storeError(true, err)
		},
	}
}

// storeError returns the error by which a client of the store notices that no
// answer arrived.
func storeError(write bool, err error) error {
	switch {
	case errors.Is(err, errLost) && write, errors.Is(err, errDead) && write:
		return fmt.Errorf("%w: %w", store.ErrUncertain, err)
	case errors.Is(err, errLost), errors.Is(err, errDead):
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return err
}

// countStore counts the calls that the store failed or delayed.
func (w *World) countStore(begin time.Time, err error) error {
	if time.Since(begin) >= slowStore {
		w.net.Hit(faultSlow)
	}
	if errors.Is(err, store.ErrUnavailable) {
		w.net.Hit(faultDown)
	}
	if errors.Is(err, store.ErrUncertain) {
		w.net.Hit(faultAnswerLost)
	}
	return err
}

// countDeath counts the answers that an endpoint cut off.
func (w *World) countDeath(err error) {
	if errors.Is(err, plat.ErrIncomplete) {
		w.net.Hit(faultDies)
	}
}

// agent returns a worker as the instance reaches it.
func (w *World) agent(i ident.Instance, s worker.Spec) worker.Agent {
	m := w.machine(s.ID)
	do := func(ctx context.Context, op Op, effect func(context.Context, worker.Agent) error) error {
		c := Call{From: i, To: string(s.ID), Region: regionOf(s.Domain), Op: op, Write: op != OpReport, Datagram: true}
		_, err := w.net.Do(ctx, c, func(ctx context.Context) error { return m.call(ctx, w.net, effect) })
		if errors.Is(err, errLost) || errors.Is(err, errDead) {
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
		Reserve: order(do, OpReserve, func(a worker.Agent) func(context.Context, worker.Reserve) error { return a.Reserve }),
		Start:   order(do, OpStart, func(a worker.Agent) func(context.Context, worker.Start) error { return a.Start }),
		Renew:   order(do, OpRenew, func(a worker.Agent) func(context.Context, worker.Renew) error { return a.Renew }),
		Checkpoint: order(do, OpCheckpoint, func(a worker.Agent) func(context.Context, worker.Checkpoint) error {
			return a.Checkpoint
		}),
		Stop: order(do, OpStop, func(a worker.Agent) func(context.Context, worker.Stop) error { return a.Stop }),
	}
}

func order[T any](
	do func(context.Context, Op, func(context.Context, worker.Agent) error) error, op Op,
	of func(worker.Agent) func(context.Context, T) error,
) func(context.Context, T) error {
	return func(ctx context.Context, v T) error {
		return do(ctx, op, func(ctx context.Context, a worker.Agent) error { return of(a)(ctx, v) })
	}
}

// send carries an attempt to an endpoint.
func (w *World) send(
	ctx context.Context, i ident.Instance, e route.Endpoint, a relay.Attempt,
) (reply relay.Reply, err error) {
	c := Call{From: i, To: string(e.Name), Region: e.Region, Op: OpSend, Write: true}
	sent, err := w.net.Do(ctx, c, func(ctx context.Context) error {
		answer, err := w.endpoint(e.Name).Handle(ctx, plat.Request{
			Service: a.Service, ID: a.ID, Attempt: a.Number, Body: a.Body,
		})
		if err != nil {
			w.countDeath(err)
			return err
		}
		reply = relay.Reply{
			ID: a.ID, Attempt: a.Number, Complete: true, Leaving: answer.Leaving,
			Status: answer.Status, ContentType: answer.Type, Body: answer.Body,
		}
		reply = w.reorder(reply)
		if a.Number == 1 && w.cutsAnswer() {
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

// cutsAnswer reports whether the answer to a first attempt is cut, and counts it.
func (w *World) cutsAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answersCut++
	return w.answersCut <= w.setup.CutFirst
}

// reorder returns the reply to an earlier request while answers arrive out of
// order.
func (w *World) reorder(r relay.Reply) relay.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.lastReply
	w.lastReply = r
	if last.Complete && w.net.swaps() {
		return last
	}
	return r
}

// exchange carries a state to another instance and its answer back.
func (w *World) exchange(
	ctx context.Context, i ident.Instance, to member.Info, s member.State,
) (answer member.State, err error) {
	c := Call{From: i, To: string(to.Instance), Region: to.Region, Op: OpExchange, Datagram: true}
	_, err = w.net.Do(ctx, c, func(context.Context) error {
		peer, ok := w.instance(to.Instance)
		if !ok || !w.net.isUp(to.Instance) {
			time.Sleep(lossDelay)
			return errLost
		}
		if self, known := w.instance(i); known && w.setup.Unasked {
			s.Config = self.site.Current()
		}
		answer = peer.members.Receive(s)
		if w.setup.Unasked {
			answer.Config = peer.site.Current()
		}
		return nil
	})
	return answer, err
}

// resolve asks the claimant of a request for its outcome.
func (w *World) resolve(
	ctx context.Context, i, claimant ident.Instance, ws ident.Workspace, id ident.Request,
) (answer relay.Answer, err error) {
	peer, ok := w.instance(claimant)
	if !ok {
		return relay.Answer{}, errLost
	}
	c := Call{From: i, To: string(claimant), Region: peer.self.Region, Op: OpResolve}
	_, err = w.net.Do(ctx, c, func(context.Context) error {
		if !w.net.isUp(claimant) {
			time.Sleep(lossDelay)
			return errLost
		}
		answer = peer.relay.Resolve(ctx, i, ws, id)
		return nil
	})
	return answer, err
}

// list reads the platform's list.
func (w *World) list(ctx context.Context, i ident.Instance) (l roster.Listing, err error) {
	c := Call{From: i, To: "list", Region: home, Op: OpList}
	_, err = w.net.Do(ctx, c, func(context.Context) error {
		l = w.listing()
		return nil
	})
	return l, err
}

func (w *World) listing() roster.Listing {
	var l roster.Listing
	for _, m := range w.machines {
		l.Workers = append(l.Workers, m.spec)
	}
	for _, e := range w.endpoints {
		i := e.Instance()
		if i.State == plat.Leaving {
			w.net.Hit(faultLeaving)
		}
		l.Endpoints = append(l.Endpoints, route.Endpoint{
			Name: i.Endpoint.Name, Service: i.Endpoint.Service, Address: i.Endpoint.Address,
			Domain: i.Endpoint.Domain, Region: i.Endpoint.Region,
			Leaving: i.State == plat.Leaving, Slots: i.Endpoint.Slots,
		})
	}
	return l
}

func (w *World) endpoint(name ident.Endpoint) *fakes.Endpoint {
	for _, e := range w.endpoints {
		if e.Instance().Endpoint.Name == name {
			return e
		}
	}
	return nil
}

// machine is a worker of which one process runs at a time.
func (w *World) machine(id ident.Worker) *Machine {
	for _, m := range w.machines {
		if m.spec.ID == id {
			return m
		}
	}
	return nil
}

func (w *World) since() time.Duration { return time.Since(w.begin) }
