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

// observeWorkers fences the workers that have not accepted the epoch yet and
// reads the reports of all workers.
func (s *Shard) observeWorkers(ctx context.Context, r *round) error {
	s.syncWorkers(r.now)
	s.pollWorkers(ctx, r)
	if !s.deps.Lease.State().Held {
		s.handleLeaseLoss("a worker has accepted a higher epoch")
		return errNotOwner
	}
	s.logReady(r)
	return nil
}

// syncWorkers adds the workers that the platform lists. It removes the workers
// that are no longer listed and have not answered for so long that the leases
// of their tasks have expired.
func (s *Shard) syncWorkers(now time.Time) {
	listed := make(map[ident.Worker]bool)
	for _, spec := range s.deps.Workers() {
		listed[spec.ID] = true
		s.mu.Lock()
		tw, ok := s.workers[spec.ID]
		if !ok {
			tw = &trackedWorker{answeredAt: s.leaseAcquiredAt}
			s.workers[spec.ID] = tw
		}
		if !ok || tw.spec != spec {
			tw.spec, tw.agent, tw.fenced = spec, s.deps.Agent(spec), false
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, tw := range s.workers {
		if !listed[id] && now.Sub(tw.lastLeaseExtension()) >= gang.TaskLease {
			delete(s.workers, id)
		}
	}
}

// snapshot returns copies of the tracked workers.
func (s *Shard) snapshot() []trackedWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]trackedWorker, 0, len(s.workers))
	for _, tw := range s.workers {
		all = append(all, *tw)
	}
	return all
}

// heartbeatWorkers returns the workers on which every task belongs to a gang
// that was complete when last evaluated, so that one heartbeat may renew all
// leases of the worker. A worker whose state differs from its last report
// renews nothing and returns a full report. No worker is returned if the last
// evaluation is older than gang.ReportTTL.
func (s *Shard) heartbeatWorkers() map[ident.Worker]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	eligible := make(map[ident.Worker]bool, len(s.workers))
	if time.Since(s.evaluatedAt) > gang.ReportTTL {
		return eligible
	}
	for id, tw := range s.workers {
		eligible[id] = tw.answered && tw.fenced
		for _, st := range tw.report.Statuses {
			if st.State.Holds() && !s.completeAttempts[st.Attempt] {
				eligible[id] = false
			}
		}
	}
	return eligible
}

// evaluateGangs evaluates the gangs that hold workers.
func (s *Shard) evaluateGangs(_ context.Context, r *round) error {
	r.verdicts = make(map[jobKey]gang.Verdict)
	complete := make(map[worker.Attempt]bool)
	for _, rec := range s.placedJobs() {
		v := s.evaluateGang(rec.job)
		r.verdicts[keyOf(rec.job)] = v
		if v.Complete {
			s.mergeVerdict(rec.job, gang.Verdict{Saved: v.Saved})
		}
		if v.Complete && v.Answered {
			complete[attemptOf(rec.job)] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeAttempts, s.evaluatedAt = complete, r.now
	return nil
}

// evaluateGang returns the verdict about a job that holds workers.
func (s *Shard) evaluateGang(j jobs.Job) gang.Verdict {
	return gang.Evaluate(time.Now(), j, func(w ident.Worker) gang.Observation { return s.observation(j, w) })
}

// pollWorker calls one worker and records its report, or that it did not
// answer. If the worker has accepted a higher epoch, it drops the lease.
func (s *Shard) pollWorker(ctx context.Context, r *round, polled trackedWorker, useHeartbeat bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := s.callWorker(ctx, r, polled, useHeartbeat)
	epochRefused := worker.RefusalReason(err) == worker.ReasonStaleEpoch
	if epochRefused {
		// A worker never refuses Report, and its report contains the epoch.
		report, err = polled.agent.Report(ctx)
	}
	switch {
	case err == nil && report.Worker != polled.spec.ID:
		// Recording the answer for both workers would count the capacity twice.
		err = fmt.Errorf("address belongs to worker %s: %w", report.Worker, errUnlistedWorker)
	case err == nil && report.Epoch > r.lease.Epoch:
		s.deps.Lease.LostToEpoch(report.Epoch)
		return
	case epochRefused:
		s.deps.Lease.MarkLost()
		return
	}
	if err != nil {
		s.recordNoAnswer(polled, err)
		return
	}
	s.recordAnswer(r, polled, report)
}

// callWorker reads the report of a worker, by the call that its state requires:
// Fence if it has not accepted the epoch yet, Heartbeat if its leases may be
// renewed, and Report otherwise.
func (s *Shard) callWorker(ctx context.Context, r *round, polled trackedWorker, useHeartbeat bool) (worker.Report, error) {
	if polled.fenced && useHeartbeat {
		report, err := polled.agent.Heartbeat(ctx, worker.Heartbeat{
			Header: s.header(r), Incarnation: polled.report.Incarnation,
			Changes: polled.report.Changes, Lease: gang.TaskLease,
		})
		s.recordLeaseExtension(polled.spec.ID)
		if err != nil {
			return worker.Report{}, fmt.Errorf("heartbeat: %w", err)
		}
		return report, nil
	}
	if polled.fenced {
		report, err := polled.agent.Report(ctx)
		if err != nil {
			return worker.Report{}, fmt.Errorf("report: %w", err)
		}
		return report, nil
	}
	report, err := polled.agent.Fence(ctx, worker.Fence{Header: s.header(r)})
	if err != nil {
		return worker.Report{}, fmt.Errorf("fence: %w", err)
	}
	return report, nil
}

// recordAnswer records a report, unless the epoch has changed or a later report
// is already recorded.
func (s *Shard) recordAnswer(r *round, polled trackedWorker, report worker.Report) {
	s.mu.Lock()
	tw, ok := s.workers[polled.spec.ID]
	if !ok || s.epoch != r.lease.Epoch || isOlder(report, tw.report) {
		s.mu.Unlock()
		return
	}
	wasSilent := !tw.answered
	// A worker loses the epoch when it restarts and must be fenced again.
	tw.fenced = report.Epoch == r.lease.Epoch
	tw.leasesRenewed = report.Unchanged
	tw.answeredAt, tw.answered = time.Now(), true
	if report.Unchanged {
		report.Statuses = tw.report.Statuses
	} else {
		tw.statusesAt = tw.answeredAt
		tw.statuses = make(map[worker.Attempt]worker.Status, len(report.Statuses))
		for _, st := range report.Statuses {
			tw.statuses[st.Attempt] = st
		}
	}
	tw.report = report
	s.mu.Unlock()
	if wasSilent {
		s.deps.Log.Write(event.WorkerBack, "worker", polled.spec.ID, "domain", s.deps.Domain, "epoch", report.Epoch)
	}
}

// recordNoAnswer marks a worker as silent and logs it if it answered before.
func (s *Shard) recordNoAnswer(polled trackedWorker, err error) {
	s.mu.Lock()
	tw, ok := s.workers[polled.spec.ID]
	wasAnswering := ok && tw.answered
	if ok {
		tw.answered = false
	}
	s.mu.Unlock()
	if wasAnswering {
		s.deps.Log.Write(event.WorkerLost, "worker", polled.spec.ID, "domain", s.deps.Domain, "reason", err.Error())
	}
}

// logReady logs, once in each epoch after the first poll of the workers, how many
// of them have been fenced.
func (s *Shard) logReady(r *round) {
	s.mu.Lock()
	fenced := 0
	for _, tw := range s.workers {
		if tw.answered && tw.fenced {
			fenced++
		}
	}
	becameReady := !s.ready && len(s.workers) > 0
	s.ready = s.ready || becameReady
	total := len(s.workers)
	s.mu.Unlock()
	if becameReady {
		s.deps.Log.Write(event.ShardReady, "domain", s.deps.Domain, "epoch", r.lease.Epoch,
			"workers", total, "fenced", fenced)
	}
}

// observation returns the last known state of the job's current attempt on a
// worker.
func (s *Shard) observation(j jobs.Job, id ident.Worker) gang.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	tw, ok := s.workers[id]
	if !ok {
		// The platform does not list the worker, and it has not answered in
		// this epoch. It counts as having answered when the epoch began.
		return gang.Observation{AnsweredAt: s.leaseAcquiredAt}
	}
	obs := gang.Observation{Answered: tw.answered && tw.fenced, AnsweredAt: tw.answeredAt,
		LeasesExtendedAt: tw.leasesExtendedAt}
	if st, ok := tw.statuses[attemptOf(j)]; ok {
		obs.Present, obs.Status = true, st
		obs.Status.Progress += tw.progressSinceReport(st)
	}
	return obs
}

// progressSinceReport returns the progress of a running task between its last
// reported status and the last answer of the worker.
func (tw *trackedWorker) progressSinceReport(st worker.Status) time.Duration {
	if st.State != worker.Running {
		return 0
	}
	return max(tw.answeredAt.Sub(tw.statusesAt), 0)
}

// header returns the header for calls to workers. The configuration version is
// left out until the configuration has been read.
func (s *Shard) header(r *round) worker.Header {
	h := worker.Header{Epoch: r.lease.Epoch}
	if r.config != nil {
		h.ConfigVersion = r.config.Version
	}
	return h
}

// agentOf returns the calls to a worker, and whether the worker is tracked.
func (s *Shard) agentOf(id ident.Worker) (worker.Agent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tw, ok := s.workers[id]
	if !ok {
		return worker.Agent{}, false
	}
	return tw.agent, true
}

// handleEpochRefusal drops the lease if err is a worker's refusal of the epoch.
func (s *Shard) handleEpochRefusal(err error) {
	if worker.RefusalReason(err) == worker.ReasonStaleEpoch {
		s.deps.Lease.MarkLost()
	}
}

// errUnlistedWorker is the error for a worker that is no longer listed.
var errUnlistedWorker = errors.New("worker is not listed")
