package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// Writer commits the leader's transactions in the order of the calls. Only
	// Confirmed is safe for concurrent use.
	Writer struct {
		table store.Table
		epoch int64
		// number is the number of the last transaction in the term.
		number int64
		// version is the version of the row commits/sequence.
		version int64
		// lastLatency is the time that the store took to answer the attempt that
		// decided the last transaction.
		lastLatency time.Duration

		mu sync.Mutex
		// confirmedAt is a time at or before which the last transaction was sent.
		confirmedAt time.Time
	}

	// Batch holds the writes of one transaction.
	Batch struct {
		Puts    []store.Put
		Deletes []string
	}

	// attempt is the result of one attempt to commit a transaction.
	attempt struct {
		version int64
		err     error
		// sentAt is a time at or before which the attempt that took effect was sent.
		sentAt time.Time
		took   time.Duration
		// timedOut reports whether no answer came within callTimeout.
		timedOut bool
	}
)

// MaxBatch is the largest number of rows in a Batch. The platform accepts 100
// entries in a transaction, of which the sequence row takes two.
const MaxBatch = 90

// callTimeout is the timeout of one call to the store. A connection may hang
// without an error; the store usually answers in 4 ms.
const callTimeout = 900 * time.Millisecond

const (
	// timeoutPause is the pause between two attempts while attempts time out. Once
	// the store answers again, the end of a job is delayed by at most this time.
	timeoutPause = 300 * time.Millisecond
	// The pause is at least latencyFactor times the last latency of the store. A
	// slow store serves transactions on the same part of its data one after
	// another, so that copies of a transaction would crowd out the renewals of
	// the lease.
	latencyFactor = 4
	// maxInFlight is the largest number of copies of a transaction in flight: as
	// many as start within one callTimeout.
	maxInFlight = int(callTimeout/timeoutPause) + 1
)

var (
	// ErrDeposed means that another instance has begun a term as the leader.
	ErrDeposed = errors.New("another leader has taken over")

	errNotSent = errors.New("not sent")
)

// SequenceValue returns the value of the row commits/sequence after transaction
// number of the term with the epoch. Number 0 stands for the start of the term.
func SequenceValue(epoch, number int64) []byte {
	return fmt.Appendf(nil, "%d/%d", epoch, number)
}

// NewWriter returns a writer for the term with the epoch. The version is that of
// the row commits/sequence as written at the start of the term.
func NewWriter(t store.Table, epoch, version int64) *Writer {
	return &Writer{table: t, epoch: epoch, version: version}
}

// Next returns the number of the next transaction.
func (w *Writer) Next() int64 { return w.number + 1 }

// Confirmed returns a time at or before which the last transaction that has taken
// effect was sent, zero if there was none. No other leader had begun a term by then,
// since that would have changed the sequence row, which each transaction checks.
func (w *Writer) Confirmed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmedAt
}

func (w *Writer) confirm(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmedAt = at
}

// Commit stores b. It retries until b is stored or ctx ends. The error wraps
// ErrDeposed if another leader has begun a term, and store.ErrInvalid if the store
// rejects b for good.
func (w *Writer) Commit(ctx context.Context, b Batch) error {
	w.number++
	value := SequenceValue(w.epoch, w.number)
	txn := store.Txn{
		Checks:  []store.Check{{Key: SequenceKey, Version: w.version}},
		Puts:    append(b.Puts, store.Put{Key: SequenceKey, Value: value}),
		Deletes: b.Deletes,
	}
	version, err := w.send(ctx, txn, value)
	if err != nil {
		return fmt.Errorf("commit transaction %d of epoch %d: %w", w.number, w.epoch, err)
	}
	w.version = version
	return nil
}

// send retries until the transaction is stored or cannot be stored any more. After
// an attempt has timed out, further copies are sent without waiting for the answers
// of earlier ones: the check of the sequence row lets only one copy take effect.
func (w *Writer) send(ctx context.Context, txn store.Txn, value []byte) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	firstSent := time.Now()
	results := make(chan attempt, maxInFlight)
	timer := time.NewTimer(0)
	defer timer.Stop()
	last, pending := attempt{err: errNotSent}, 0
	for {
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("%w, last attempt: %w", ctx.Err(), last.err)
		case <-timer.C:
			if pending < maxInFlight {
				pending++
				go func() {
					begun := time.Now()
					version, earlier, err := w.try(ctx, txn, value)
					took := time.Since(begun)
					if earlier {
						begun = firstSent
					}
					results <- attempt{version, err, begun, took, took >= callTimeout}
				}()
			}
			if last.timedOut {
				timer.Reset(max(timeoutPause, latencyFactor*w.lastLatency))
			}
		case r := <-results:
			pending--
			if r.err == nil || errors.Is(r.err, ErrDeposed) || errors.Is(r.err, store.ErrInvalid) {
				w.lastLatency = r.took
				if r.err == nil {
					w.confirm(r.sentAt)
				}
				return r.version, r.err
			}
			if !r.timedOut || !last.timedOut {
				timer.Reset(retryPause)
			}
			last = r
		}
	}
}

// try commits once. On a conflict, the sequence row in the error shows whether an
// earlier attempt whose answer was lost has taken effect. A separate read of the
// row could be stale.
func (w *Writer) try(ctx context.Context, txn store.Txn, value []byte) (version int64, earlier bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err = w.table.Commit(ctx, txn)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return version, false, err
	}
	if row := conflict.Row(SequenceKey); string(row.Value) == string(value) {
		return row.Version, true, nil
	}
	return 0, false, ErrDeposed
}
