package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/event"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

// maxConcurrentReads is the number of job rows that are read concurrently. It
// lets a burst of changes load within one round: the store serves 2,000 reads
// per second and has a latency of 20 ms.
const maxConcurrentReads = 64

// readConfig reads the configuration. It runs after observeWorkers, so that the
// uptimes in the reports prove how recent the configuration is.
func (s *Shard) readConfig(ctx context.Context, r *round) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.clockReadings, r.configReadAt = s.reportedClocks(), time.Now()
	c, err := s.deps.ReadConfig(ctx)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	r.config = c
	return nil
}

// reportedClocks returns the clock readings in the last reports.
func (s *Shard) reportedClocks() map[ident.Worker]clockReading {
	s.mu.Lock()
	defer s.mu.Unlock()
	readings := make(map[ident.Worker]clockReading, len(s.workers))
	for id, tw := range s.workers {
		readings[id] = clockReading{incarnation: tw.report.Incarnation, uptime: tw.report.Uptime}
	}
	return readings
}

// readQueue brings the jobs in memory up to date with the store. Each
// transaction that writes a job also writes its queue entry, so a job is
// unchanged if its cached version equals the version of the entry.
func (s *Shard) readQueue(ctx context.Context, r *round) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	head, changed, err := s.readQueueHead(ctx)
	if err != nil || !changed {
		return err
	}
	entries, err := s.deps.Table.Scan(ctx, record.QueuePrefix(s.deps.Domain))
	if err != nil {
		return fmt.Errorf("scan queue: %w", err)
	}
	queued := make(map[jobKey]bool, len(entries))
	var stale []jobKey
	for _, e := range entries {
		w, j, ok := record.ParseQueueKey(s.deps.Domain, e.Key)
		if !ok {
			continue
		}
		k := jobKey{w, j}
		queued[k] = true
		if s.cachedVersion(k) == e.Version {
			continue
		}
		stale = append(stale, k)
	}
	if err := forEach(stale, maxConcurrentReads, func(k jobKey) error { return s.loadJob(ctx, r, k) }); err != nil {
		return err
	}
	s.removeUnqueued(queued)
	s.evaluateChanged(r, stale)
	s.recordQueueHead(r, head)
	return nil
}

// evaluateChanged evaluates the gangs whose records were read in this round, so that
// a cancellation takes effect in the round that sees it.
func (s *Shard) evaluateChanged(r *round, changed []jobKey) {
	for _, k := range changed {
		if rec, ok := s.cachedJob(k); ok && rec.job.State.Placed() {
			r.verdicts[k] = s.evaluateGang(rec.job)
		}
	}
}

// readQueueHead returns the version of the queue's head row, and whether the
// queue has to be scanned because the version differs from that of the last
// complete scan. The head is read before the scan, so a change between the two
// causes another scan in the next round.
func (s *Shard) readQueueHead(ctx context.Context) (int64, bool, error) {
	head, err := s.deps.Table.Get(ctx, record.QueueHeadKey(s.deps.Domain))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, false, fmt.Errorf("get queue head: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return head.Version, !s.queueScanned || head.Version != s.queueHeadVersion, nil
}

// recordQueueHead records the head version of a complete scan, unless the epoch
// has changed.
func (s *Shard) recordQueueHead(r *round, head int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == r.lease.Epoch {
		s.queueHeadVersion, s.queueScanned = head, true
	}
}

// loadJob reads a job from the store. It skips jobs that have ended or belong to
// another domain.
func (s *Shard) loadJob(ctx context.Context, r *round, k jobKey) error {
	row, err := s.deps.Table.Get(ctx, record.JobKey(k.workspace, k.job))
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("get job %s: %w", k.job, err)
	}
	j, err := record.DecodeJob(row.Value)
	if err != nil {
		// One unreadable row must not stop the other jobs. The cached state of
		// this job is kept.
		s.recordUnreadable(r, k, row.Version, err)
		return nil
	}
	if j.Domain != s.deps.Domain || j.State.Ended() {
		return nil
	}
	s.cacheJob(r, j, row.Version)
	return nil
}

// cacheJob caches a job, unless the epoch has changed.
func (s *Shard) cacheJob(r *round, j jobs.Job, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == r.lease.Epoch {
		s.jobs[keyOf(j)] = jobRecord{job: j, version: version}
		delete(s.unreadable, keyOf(j))
	}
}

// recordUnreadable records and logs a job whose row cannot be decoded.
func (s *Shard) recordUnreadable(r *round, k jobKey, version int64, err error) {
	s.mu.Lock()
	if s.epoch == r.lease.Epoch {
		s.unreadable[k] = version
	}
	s.mu.Unlock()
	s.deps.Log.Write(event.JobUnread, "workspace", k.workspace, "job", k.job,
		"domain", s.deps.Domain, "reason", err.Error())
}

// removeUnqueued removes the jobs that are no longer in the queue.
func (s *Shard) removeUnqueued(queued map[jobKey]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.jobs {
		if !queued[k] {
			s.removeJobLocked(k)
		}
	}
	for k := range s.unreadable {
		if !queued[k] {
			delete(s.unreadable, k)
		}
	}
}

// cachedVersion returns the version of the job row that was last read, or 0.
func (s *Shard) cachedVersion(k jobKey) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.jobs[k].version, s.unreadable[k])
}

// commit writes the next state of a job. The transaction checks the lease and
// that the row still has the version at which it was read.
func (s *Shard) commit(ctx context.Context, r *round, rec jobRecord, next jobs.Job) error {
	value, err := record.EncodeJob(next)
	if err != nil {
		return fmt.Errorf("commit job %s: %w", next.ID, err)
	}
	txn := store.Txn{
		Checks: []store.Check{
			{Key: record.JobKey(next.Workspace, next.ID), Version: rec.version},
			r.lease.Check,
		},
		Puts: []store.Put{
			{Key: record.JobKey(next.Workspace, next.ID), Value: value},
			{Key: record.QueueHeadKey(next.Domain)},
		},
	}
	oldEntry := record.QueueKey(rec.job.Domain, next.Workspace, next.ID)
	if next.State.Ended() {
		txn.Deletes = append(txn.Deletes, oldEntry)
	} else {
		entry := record.QueueKey(next.Domain, next.Workspace, next.ID)
		txn.Puts = append(txn.Puts, store.Put{Key: entry})
		if entry != oldEntry {
			txn.Deletes = append(txn.Deletes, oldEntry)
			txn.Puts = append(txn.Puts, store.Put{Key: record.QueueHeadKey(rec.job.Domain)})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := store.CommitResolved(ctx, s.deps.Table, txn)
	if err != nil {
		return fmt.Errorf("commit job %s as %v: %w", next.ID, next.State, err)
	}
	if next.State.Ended() || next.Domain != s.deps.Domain {
		s.removeJob(keyOf(next))
		return nil
	}
	s.cacheJob(r, next, version)
	return nil
}

func (s *Shard) removeJob(k jobKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeJobLocked(k)
}

func (s *Shard) removeJobLocked(k jobKey) {
	delete(s.jobs, k)
	delete(s.waitReasons, k)
	delete(s.abortedAttempts, k)
	delete(s.mergedVerdicts, k)
}
