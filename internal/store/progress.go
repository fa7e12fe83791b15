package store

import (
	"context"
	"time"
)

// progressKey is the key of the function in a context that ReportProgress calls.
type progressKey struct{}

const (
	// maxTransfer bounds the time in which an answer arrives, from its first bytes
	// on. It lets 4 MB through at 4 Mbit/s.
	maxTransfer = 8 * time.Second
)

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

// WithAnswerTimeout returns a context that ends with context.DeadlineExceeded as its
// cause if no part of the answer has arrived after first, or none has arrived for stall
// since the latest one. How long an answer takes grows with its size and with what else
// uses the path, so a limit on the whole answer would discard what has arrived and send
// the same bytes again.
func WithAnswerTimeout(ctx context.Context, first, stall time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	expire := func() { cancel(context.DeadlineExceeded) }
	timer, limit := time.AfterFunc(first, expire), time.AfterFunc(first+maxTransfer, expire)
	progress := WithProgress(ctx, func() { timer.Reset(stall) })
	return progress, func() {
		timer.Stop()
		limit.Stop()
		cancel(context.Canceled)
	}
}
