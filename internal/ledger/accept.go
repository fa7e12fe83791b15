package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// Ledger reads, accepts and cancels jobs. It works on any instance, whether
	// or not it leads, and is safe for concurrent use.
	Ledger struct {
		table store.Table
	}

	// Outcome is the result of accepting or cancelling a job.
	Outcome int

	// submission counts the copies of a transaction that stores a job.
	submission struct {
		id       graph.ID
		results  chan error
		inFlight int
		// uncertain reports whether a copy may have taken effect.
		uncertain bool
	}

	// jobRows are the rows of a job. An absent row has version 0.
	jobRows struct{ job, ended store.Row }
)

// Outcomes of accepting or cancelling a job.
const (
	// Stored means that the change is stored, by this call or an earlier one.
	Stored Outcome = iota
	// NotStored means that the change has not taken effect and will not.
	NotStored
	// Uncertain means that the change may have taken effect, or may still do so.
	Uncertain
	// NotFound means that there is no such job and that none with its identifier
	// will be accepted.
	NotFound
	// AlreadyEnded means that the job had already ended.
	AlreadyEnded
)

// ErrCancelled means that the job was cancelled before its submission was stored.
var ErrCancelled = errors.New("job was cancelled before its submission was stored")

// retryPause is the pause between two attempts of a call. The store usually
// answers in 4 ms, and a caller waits a few seconds at most.
const retryPause = 120 * time.Millisecond

// collectTimeout is how long the results of calls are waited for that were cut off by the
// end of the caller's time. They return at once; the limit keeps a busy instance from
// using up the time that is reserved for the answer, which is 250 ms.
const collectTimeout = 50 * time.Millisecond

// New returns a ledger that uses the table.
func New(t store.Table) *Ledger { return &Ledger{table: t} }

// Accept stores a new job. It repeats the attempt until ctx ends as long as the
// outcome is uncertain; if the store has certainly not stored the job, it returns
// NotStored and the error. A job whose identifier is known already counts as
// stored. One that was cancelled before is never stored; the error then wraps
// ErrCancelled.
func (l *Ledger) Accept(ctx context.Context, j *graph.Job) (Outcome, error) {
	value, err := Encode(j)
	if err != nil {
		return NotStored, fmt.Errorf("accept job %s: %w", j.ID, err)
	}
	txn := store.Txn{
		Checks: []store.Check{{Key: JobKey(j.ID)}, {Key: EndedKey(j.ID)}},
		Puts:   []store.Put{{Key: JobKey(j.ID), Value: value}},
	}
	outcome, err := l.commitOnce(ctx, txn, j.ID)
	if err != nil {
		err = fmt.Errorf("accept job %s: %w", j.ID, err)
	}
	return outcome, err
}

// commitOnce commits the submission of a job, which has no effect if it is repeated.
// While it has no answer, it sends a copy every callTimeout: the connection may hang without
// an error, but a slow store may also take as long, and its answer counts.
func (l *Ledger) commitOnce(ctx context.Context, txn store.Txn, id graph.ID) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	returned := make(chan struct{})
	defer close(returned)
	s := &submission{id: id, results: make(chan error)}
	send := func() {
		s.inFlight++
		go func() {
			_, err := l.table.Commit(ctx, txn)
			select {
			case s.results <- err:
			case <-returned:
			}
		}()
	}
	send()
	resend := time.NewTimer(callTimeout)
	defer resend.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.collect(ctx.Err())
		case <-resend.C:
			send()
			resend.Reset(callTimeout)
		case err := <-s.results:
			if outcome, decided, err := s.add(err); decided {
				return outcome, err
			}
			if s.inFlight == 0 {
				resend.Reset(retryPause)
			}
		}
	}
}

// add records the result of a copy. It reports whether the outcome is decided: by an
// answer about the job's rows, or if all copies so far were refused.
func (s *submission) add(err error) (Outcome, bool, error) {
	s.inFlight--
	switch {
	case err == nil:
		return Stored, true, nil
	case store.IsConflict(err):
		outcome, err := conflictOutcome(err, s.id)
		return outcome, true, err
	case errors.Is(err, store.ErrUncertain):
		s.uncertain = true
	case !s.uncertain && s.inFlight == 0:
		return NotStored, true, err
	}
	return Uncertain, false, err
}

// collect returns the outcome after the caller's time has ended. The copies in flight
// are cut off then; those of which nothing was sent report that they had no effect.
func (s *submission) collect(cause error) (Outcome, error) {
	timeout := time.NewTimer(collectTimeout)
	defer timeout.Stop()
	for s.inFlight > 0 {
		select {
		case err := <-s.results:
			if outcome, decided, err := s.add(err); decided {
				return outcome, err
			}
		case <-timeout.C:
			return Uncertain, cause
		}
	}
	return Uncertain, cause
}

// conflictOutcome returns the outcome of a submission that conflicts, since the row of
// the job or of its end exists.
func conflictOutcome(err error, id graph.ID) (Outcome, error) {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return Stored, nil
	}
	row := conflict.Row(EndedKey(id))
	if row.Version == 0 {
		return Stored, nil
	}
	ended, err := decodeEnded(row)
	switch {
	case err != nil:
		return Uncertain, err
	case ended.NeverAccepted:
		// No copy that is still under way can take effect either.
		return NotStored, ErrCancelled
	}
	return Stored, nil
}

// Cancel marks a job as cancelled. It retries until ctx ends. If there is no such job,
// it also makes sure that no submission of it takes effect later: the store may carry
// out one that has had no answer.
func (l *Ledger) Cancel(ctx context.Context, id graph.ID) (Outcome, error) {
	for {
		outcome, err := l.cancel(ctx, id)
		if err == nil {
			return outcome, nil
		}
		if !sleep(ctx, retryPause) {
			return Uncertain, fmt.Errorf("cancel job %s: %w", id, err)
		}
	}
}

func (l *Ledger) cancel(ctx context.Context, id graph.ID) (Outcome, error) {
	row, err := l.table.Get(ctx, JobKey(id))
	switch {
	case err == nil:
		outcome, err := l.markCancelled(ctx, row)
		if !store.IsConflict(err) {
			return outcome, err
		}
	case !errors.Is(err, store.ErrNotFound):
		return Uncertain, fmt.Errorf("read job: %w", err)
	}
	// The job has ended or does not exist, or the read was stale.
	rows, err := l.readCurrent(ctx, id)
	switch {
	case err != nil:
		return Uncertain, err
	case rows.job.Version > 0:
		return l.markCancelled(ctx, rows.job)
	case rows.ended.Version > 0:
		ended, err := decodeEnded(rows.ended)
		if err == nil && ended.NeverAccepted {
			return NotFound, nil
		}
		return AlreadyEnded, nil
	}
	return l.markNeverAccepted(ctx, id)
}

// markNeverAccepted writes the row of the end of a job that does not exist.
func (l *Ledger) markNeverAccepted(ctx context.Context, id graph.ID) (Outcome, error) {
	value, err := Encode(Ended{Phase: graph.Cancelled, At: time.Now(), NeverAccepted: true})
	if err != nil {
		return Uncertain, err
	}
	_, err = l.table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: JobKey(id)}, {Key: EndedKey(id)}},
		Puts:   []store.Put{{Key: EndedKey(id), Value: value}},
	})
	if err != nil {
		return Uncertain, fmt.Errorf("write end of job: %w", err)
	}
	return NotFound, nil
}

// readCurrent returns the rows of a job from a transaction, which is never stale.
func (l *Ledger) readCurrent(ctx context.Context, id graph.ID) (jobRows, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := l.table.ReadCurrent(ctx, JobKey(id), EndedKey(id))
	if err != nil {
		return jobRows{}, err
	}
	return jobRows{rows[0], rows[1]}, nil
}

// markCancelled writes the row of a job with Cancelled set.
func (l *Ledger) markCancelled(ctx context.Context, row store.Row) (Outcome, error) {
	var j graph.Job
	if err := Decode(row, &j); err != nil {
		return Uncertain, err
	}
	if j.Cancelled {
		return Stored, nil
	}
	j.Cancelled = true
	value, err := Encode(&j)
	if err != nil {
		return Uncertain, err
	}
	_, err = l.table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: row.Key, Version: row.Version}},
		Puts:   []store.Put{{Key: row.Key, Value: value}},
	})
	if err != nil {
		return Uncertain, fmt.Errorf("write job: %w", err)
	}
	return Stored, nil
}

// Phase returns the phase of a job by its stored rows, and whether the job exists.
// A job that has not ended counts as pending, unless it is cancelled.
func (l *Ledger) Phase(ctx context.Context, id graph.ID) (graph.Phase, bool, error) {
	// The second read finds a job that ends between the two reads. A job that
	// neither finds may be newer than the rows that they return.
	row, err := l.table.Get(ctx, JobKey(id))
	switch {
	case err == nil:
		return activePhase(row)
	case !errors.Is(err, store.ErrNotFound):
		return "", false, fmt.Errorf("read job %s: %w", id, err)
	}
	row, err = l.table.Get(ctx, EndedKey(id))
	switch {
	case err == nil:
		return endedPhase(row)
	case !errors.Is(err, store.ErrNotFound):
		return "", false, fmt.Errorf("read end of job %s: %w", id, err)
	}
	rows, err := l.readCurrent(ctx, id)
	switch {
	case err != nil:
		return "", false, err
	case rows.job.Version > 0:
		return activePhase(rows.job)
	case rows.ended.Version > 0:
		return endedPhase(rows.ended)
	}
	return "", false, nil
}

func endedPhase(row store.Row) (graph.Phase, bool, error) {
	ended, err := decodeEnded(row)
	if err != nil || ended.NeverAccepted {
		return "", false, err
	}
	return ended.Phase, true, nil
}

func decodeEnded(row store.Row) (Ended, error) {
	var e Ended
	err := Decode(row, &e)
	return e, err
}

func activePhase(row store.Row) (graph.Phase, bool, error) {
	var j graph.Job
	if err := Decode(row, &j); err != nil {
		return "", false, err
	}
	if j.Cancelled {
		return graph.Cancelled, true, nil
	}
	return graph.Pending, true, nil
}

// sleep waits for d. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
