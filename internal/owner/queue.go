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

// loadLimit is the number of jobs that are read at once. A wave of changes must
// pass within the time of a round: the store takes two thousand reads a second
// and is 20 ms away.
const loadLimit = 64

// read reads the configuration. It comes after observe, so that the ticks of
// the reports prove how recent it is.
func (s *Shard) read(ctx context.Context, r *round) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.ticks, r.proven = s.ticks(), time.Now()
	c, err := s.deps.Read(ctx)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	r.config = c
	return nil
}

func (s *Shard) ticks() map[ident.Worker]tick {
	s.mu.Lock()
	defer s.mu.Unlock()
	ticks := make(map[ident.Worker]tick, len(s.workers))
	for id, t := range s.workers {
		ticks[id] = tick{boot: t.report.Boot, at: t.report.Tick}
	}
	return ticks
}

// queue brings the jobs up to date. A queue entry is written in each
// transaction that writes its job, so equal versions mean an unchanged job.
func (s *Shard) queue(ctx context.Context, r *round) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	head, changed, err := s.queueHead(ctx)
	if err != nil || !changed {
		return err
	}
	entries, err := s.deps.Table.Scan(ctx, record.QueueOf(s.deps.Domain))
	if err != nil {
		return fmt.Errorf("scan queue: %w", err)
	}
	present := make(map[jobKey]bool, len(entries))
	var stale []jobKey
	for _, e := range entries {
		w, j, ok := record.JobOfQueueKey(s.deps.Domain, e.Key)
		if !ok {
			continue
		}
		k := jobKey{w, j}
		present[k] = true
		if s.versionOf(k) == e.Version {
			continue
		}
		stale = append(stale, k)
	}
	if err := each(stale, loadLimit, func(k jobKey) error { return s.load(ctx, r, k) }); err != nil {
		return err
	}
	s.forget(present)
	s.judgeChanged(r, stale)
	s.noteHead(r, head)
	return nil
}

// judgeChanged judges the gangs whose records were read in this round, so that
// a cancellation takes effect in the round that sees it.
func (s *Shard) judgeChanged(r *round, changed []jobKey) {
	for _, k := range changed {
		if h, ok := s.heldJob(k); ok && h.job.State.Placed() {
			r.verdicts[k] = s.judge(h.job)
		}
	}
}

// queueHead returns the version of the queue's head row and whether it differs
// from that of the last whole scan. The head is read before the scan, so a
// change between the two is seen again in the next round.
func (s *Shard) queueHead(ctx context.Context) (int64, bool, error) {
	row, err := s.deps.Table.Get(ctx, record.QueueHeadKey(s.deps.Domain))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, false, fmt.Errorf("get queue head: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return row.Version, !s.scanned || row.Version != s.head, nil
}

func (s *Shard) noteHead(r *round, head int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == r.lease.Epoch {
		s.head, s.scanned = head, true
	}
}

func (s *Shard) load(ctx context.Context, r *round, k jobKey) error {
	row, err := s.deps.Table.Get(ctx, record.JobKey(k.workspace, k.job))
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("get job %s: %w", k.job, err)
	}
	j, err := record.DecodeJob(row.Value)
	if err != nil {
		// The other jobs go on. What is known of this one stays.
		s.noteUnread(r, k, row.Version, err)
		return nil
	}
	if j.Domain != s.deps.Domain || j.State.Ended() {
		return nil
	}
	s.keep(r, j, row.Version)
	return nil
}

// keep stores a job in memory, unless the epoch has changed.
func (s *Shard) keep(r *round, j jobs.Job, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == r.lease.Epoch {
		s.jobs[keyOf(j)] = held{job: j, version: version}
		delete(s.unread, keyOf(j))
	}
}

func (s *Shard) noteUnread(r *round, k jobKey, version int64, err error) {
	s.mu.Lock()
	if s.epoch == r.lease.Epoch {
		s.unread[k] = version
	}
	s.mu.Unlock()
	s.deps.Log.Write(event.JobUnread, "workspace", k.workspace, "job", k.job,
		"domain", s.deps.Domain, "reason", err.Error())
}

// forget drops the jobs that are no longer in the queue.
func (s *Shard) forget(present map[jobKey]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.jobs {
		if !present[k] {
			s.dropLocked(k)
		}
	}
	for k := range s.unread {
		if !present[k] {
			delete(s.unread, k)
		}
	}
}

func (s *Shard) versionOf(k jobKey) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.jobs[k].version, s.unread[k])
}

// commit writes the next record of a job, tied to the lease and to the version
// that it was read at.
func (s *Shard) commit(ctx context.Context, r *round, h held, next jobs.Job) error {
	value, err := record.EncodeJob(next)
	if err != nil {
		return fmt.Errorf("commit job %s: %w", next.ID, err)
	}
	txn := store.Txn{
		Checks: []store.Check{
			{Key: record.JobKey(next.Workspace, next.ID), Version: h.version},
			r.lease.Check,
		},
		Puts: []store.Put{
			{Key: record.JobKey(next.Workspace, next.ID), Value: value},
			{Key: record.QueueHeadKey(next.Domain)},
		},
	}
	old := record.QueueKey(h.job.Domain, next.Workspace, next.ID)
	if next.State.Ended() {
		txn.Deletes = append(txn.Deletes, old)
	} else {
		entry := record.QueueKey(next.Domain, next.Workspace, next.ID)
		txn.Puts = append(txn.Puts, store.Put{Key: entry})
		if entry != old {
			txn.Deletes = append(txn.Deletes, old)
			txn.Puts = append(txn.Puts, store.Put{Key: record.QueueHeadKey(h.job.Domain)})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := store.CommitSure(ctx, s.deps.Table, txn)
	if err != nil {
		return fmt.Errorf("commit job %s as %v: %w", next.ID, next.State, err)
	}
	if next.State.Ended() || next.Domain != s.deps.Domain {
		s.drop(keyOf(next))
		return nil
	}
	s.keep(r, next, version)
	return nil
}

func (s *Shard) drop(k jobKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLocked(k)
}

func (s *Shard) dropLocked(k jobKey) {
	delete(s.jobs, k)
	delete(s.waits, k)
	delete(s.aborted, k)
	delete(s.findings, k)
}
