package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/gang"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/pkg/errors"
)

// observe fences the workers that have not accepted the epoch yet and reads
// the reports of all.
func (s *Shard) observe(ctx context.Context, r *round) error {
	s.track(r.now)
	s.askAll(ctx, r)
	if !s.deps.Lease.State().Held {
		s.lose("a worker has accepted a higher epoch")
		return errNotOwner
	}
	s.noteReady(r)
	return nil
}

// track adds the workers that the platform lists and drops those that it no
// longer lists and that do not answer.
func (s *Shard) track(now time.Time) {
	listed := make(map[ident.Worker]bool)
	for _, spec := range s.deps.Workers() {
		listed[spec.ID] = true
		s.mu.Lock()
		t, ok := s.workers[spec.ID]
		if !ok {
			t = &tracked{seen: s.since}
			s.workers[spec.ID] = t
		}
		if !ok || t.spec != spec {
			t.spec, t.agent, t.fenced = spec, s.deps.Agent(spec), false
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, t := range s.workers {
		if !listed[id] && now.Sub(t.ranUntil()) >= gang.Lease {
			delete(s.workers, id)
		}
	}
}

// snapshot returns copies of the tracked workers.
func (s *Shard) snapshot() []tracked {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]tracked, 0, len(s.workers))
	for _, t := range s.workers {
		all = append(all, *t)
	}
	return all
}

// steady returns the workers on which every task belongs to a gang that the
// last round found complete, so that one call may renew all leases of the
// worker. A worker that differs from what is known here renews nothing and
// reports instead. Evidence older than gang.Fresh counts for nothing.
func (s *Shard) steady() map[ident.Worker]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	steady := make(map[ident.Worker]bool, len(s.workers))
	if time.Since(s.judged) > gang.Fresh {
		return steady
	}
	for id, t := range s.workers {
		steady[id] = t.answered && t.fenced
		for _, st := range t.report.Statuses {
			if st.State.Holds() && !s.complete[st.Attempt] {
				steady[id] = false
			}
		}
	}
	return steady
}

// judgeAll judges the gangs that hold workers, once a round.
func (s *Shard) judgeAll(_ context.Context, r *round) error {
	r.verdicts = make(map[jobKey]gang.Verdict)
	complete := make(map[worker.Attempt]bool)
	for _, h := range s.placed() {
		v := s.judge(h.job)
		r.verdicts[keyOf(h.job)] = v
		if v.Complete {
			s.find(h.job, gang.Verdict{Saved: v.Saved})
		}
		if v.Complete && v.Answered {
			complete[attemptOf(h.job)] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete, s.judged = complete, r.now
	return nil
}

// judge returns the verdict about a job that holds workers.
func (s *Shard) judge(j jobs.Job) gang.Verdict {
	return gang.Judge(time.Now(), j, func(w ident.Worker) gang.Sight { return s.see(j, w) })
}

func (s *Shard) ask(ctx context.Context, r *round, t tracked, steady bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := s.call(ctx, r, t, steady)
	outbid := worker.RefusedFor(err) == worker.ReasonEpoch
	if outbid {
		// A report is not refused and names the epoch.
		report, err = t.agent.Report(ctx)
	}
	switch {
	case err == nil && report.Worker != t.spec.ID:
		// Counting it under both names would count its capacity twice.
		err = fmt.Errorf("%s has the address: %w", report.Worker, errWorker)
	case err == nil && report.Epoch > r.lease.Epoch:
		s.deps.Lease.Outbid(report.Epoch)
		return
	case outbid:
		s.deps.Lease.Lost()
		return
	}
	if err != nil {
		s.noteSilent(t, err)
		return
	}
	s.noteAnswer(r, t, report)
}

func (s *Shard) call(ctx context.Context, r *round, t tracked, steady bool) (worker.Report, error) {
	if t.fenced && steady {
		report, err := t.agent.Heartbeat(ctx, worker.Heartbeat{
			Header: s.header(r), Boot: t.report.Boot, Changes: t.report.Changes, Lease: gang.Lease,
		})
		s.noteExtended(t.spec.ID)
		if err != nil {
			return worker.Report{}, fmt.Errorf("heartbeat: %w", err)
		}
		return report, nil
	}
	if t.fenced {
		report, err := t.agent.Report(ctx)
		if err != nil {
			return worker.Report{}, fmt.Errorf("report: %w", err)
		}
		return report, nil
	}
	report, err := t.agent.Fence(ctx, worker.Fence{Header: s.header(r)})
	if err != nil {
		return worker.Report{}, fmt.Errorf("fence: %w", err)
	}
	return report, nil
}

func (s *Shard) noteAnswer(r *round, t tracked, report worker.Report) {
	s.mu.Lock()
	w, ok := s.workers[t.spec.ID]
	if !ok || s.epoch != r.lease.Epoch || isOlder(report, w.report) {
		s.mu.Unlock()
		return
	}
	wasSilent := !w.answered
	// A restarted worker has forgotten the epoch and is fenced again.
	w.fenced = report.Epoch == r.lease.Epoch
	w.renewed = report.Unchanged
	w.seen, w.answered = time.Now(), true
	if report.Unchanged {
		report.Statuses = w.report.Statuses
	} else {
		w.reported = w.seen
		w.statuses = make(map[worker.Attempt]worker.Status, len(report.Statuses))
		for _, st := range report.Statuses {
			w.statuses[st.Attempt] = st
		}
	}
	w.report = report
	s.mu.Unlock()
	if wasSilent {
		s.deps.Log.Write(event.WorkerBack, "worker", t.spec.ID, "domain", s.deps.Domain, "epoch", report.Epoch)
	}
}

func (s *Shard) noteSilent(t tracked, err error) {
	s.mu.Lock()
	w, ok := s.workers[t.spec.ID]
	wasAnswering := ok && w.answered
	if ok {
		w.answered = false
	}
	s.mu.Unlock()
	if wasAnswering {
		s.deps.Log.Write(event.WorkerLost, "worker", t.spec.ID, "domain", s.deps.Domain, "reason", err.Error())
	}
}

// noteReady logs once that every worker that answers is fenced.
func (s *Shard) noteReady(r *round) {
	s.mu.Lock()
	fenced := 0
	for _, t := range s.workers {
		if t.answered && t.fenced {
			fenced++
		}
	}
	first := !s.ready && len(s.workers) > 0
	s.ready = s.ready || first
	total := len(s.workers)
	s.mu.Unlock()
	if first {
		s.deps.Log.Write(event.ShardReady, "domain", s.deps.Domain, "epoch", r.lease.Epoch,
			"workers", total, "fenced", fenced)
	}
}

// see returns what is known of the job's present attempt on a worker.
func (s *Shard) see(j jobs.Job, id ident.Worker) gang.Sight {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.workers[id]
	if !ok {
		// The platform does not list the worker and it was never heard.
		return gang.Sight{Seen: s.since}
	}
	sight := gang.Sight{Answered: t.answered && t.fenced, Seen: t.seen, Extended: t.extended}
	if st, ok := t.statuses[attemptOf(j)]; ok {
		sight.Present, sight.Status = true, st
		sight.Status.Progress += t.since(st)
	}
	return sight
}

// since returns the progress of a running task since its last report.
func (t *tracked) since(st worker.Status) time.Duration {
	if st.State != worker.Running {
		return 0
	}
	return max(t.seen.Sub(t.reported), 0)
}

func (s *Shard) header(r *round) worker.Header {
	h := worker.Header{Epoch: r.lease.Epoch}
	if r.config != nil {
		h.Config = r.config.Version
	}
	return h
}

// agentOf returns the calls to a worker, and whether it may be called with the
// present epoch.
func (s *Shard) agentOf(id ident.Worker) (worker.Agent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.workers[id]
	if !ok {
		return worker.Agent{}, false
	}
	return t.agent, true
}

// lostEpoch gives the lease up if a worker has refused the epoch.
func (s *Shard) lostEpoch(err error) {
	if worker.RefusedFor(err) == worker.ReasonEpoch {
		s.deps.Lease.Lost()
	}
}

// errWorker is the error for a worker that is no longer listed.
var errWorker = errors.New("worker is not listed")
