package store

import (
	"context"
	"sync"
	"time"
)

// progressKey is the key of the function in a context that ReportProgress calls.
type progressKey struct{}

// WithProgress returns a context for a call that reports to f each time that a part of
// the answer has arrived, after it has reported to the functions of ctx.
func WithProgress(ctx context.Context, f func()) context.Context {
	outer, _ := ctx.Value(progressKey{}).(func())
	return context.WithValue(ctx, progressKey{}, func() {
		if outer != nil {
			outer()
		}
		f()
	})
}

// ReportProgress tells the functions in ctx that a part of the answer has arrived.
func ReportProgress(ctx context.Context) {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		f()
	}
}

// AnswerTimeout bounds the time of a call by what has arrived of its answer. How long an
// answer takes grows with its size and with what else uses the path, so a limit on the
// whole answer alone would discard what has arrived and send the same bytes again.
type AnswerTimeout struct {
	// First bounds the time until the answer begins, and Stall the time between two
	// parts of it.
	First time.Duration
	Stall time.Duration
	// Transfer bounds the time of the whole answer from its first part on.
	Transfer time.Duration
}

// Context returns a context for one call, which ends with context.DeadlineExceeded as
// its cause at one of the limits.
func (t AnswerTimeout) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	expire := func() { cancel(context.DeadlineExceeded) }
	pause, whole := time.AfterFunc(t.First, expire), time.AfterFunc(t.First+t.Transfer, expire)
	var begin sync.Once
	progress := WithProgress(ctx, func() {
		begin.Do(func() { whole.Reset(t.Transfer) })
		pause.Reset(t.Stall)
	})
	return progress, func() {
		pause.Stop()
		whole.Stop()
		cancel(context.Canceled)
	}
}
