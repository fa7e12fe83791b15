package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/pool"
	"github.com/pkg/errors"
)

type (
	// Clock is a reading of a worker's clock, as the time since the clock's
	// zero.
	Clock = time.Duration

	// Target is the worker to which a call is addressed.
	Target struct {
		ID      pool.WorkerID
		Address netip.AddrPort
	}

	// Order is an order to start or stop a run.
	Order struct {
		Task graph.TaskID
		Run  int64
		Spec string
		// Saved is the checkpoint from which to resume, empty for none.
		Saved string
		// Ticket is the permit of the advice service, empty for none.
		Ticket string
	}

	// Answer is a worker's answer to an order.
	Answer struct {
		Clock Clock
		// Refused is the reason for which the worker did not carry out the
		// order, empty if it did.
		Refused string
	}

	// Run is a run that a worker lists as running.
	Run struct {
		Task  graph.TaskID
		Run   int64
		Saved string
		// Percent is the progress of the run.
		Percent int
	}

	// RunEnd is a run that a worker lists as ended.
	RunEnd struct {
		// Number rises with each run end of an incarnation.
		Number  int64
		Task    graph.TaskID
		Run     int64
		Outcome graph.RunOutcome
		Saved   string
	}

	// Report is the state of a worker as it reports it.
	Report struct {
		Clock Clock
		// IncarnationStart is the start of the worker's incarnation.
		IncarnationStart time.Time
		Running          []Run
		Ended            []RunEnd
		// Partial reports do not settle the runs that they do not list: such a
		// run may exist or have ended.
		Partial bool
	}

	// HoldRequest is a call that renews the leases of a worker and acknowledges
	// its run ends. The worker holds back its answer until a run ends.
	HoldRequest struct {
		// Until is the end of the leases, 0 to leave them unchanged.
		Until Clock
		Fence int64
		// Acknowledged is the number up to which run ends are acknowledged.
		Acknowledged int64
		// Wait is the longest time for which the worker holds back its answer.
		Wait time.Duration
	}

	// Calls are the calls to workers.
	Calls struct {
		Start func(ctx context.Context, to Target, o Order, until Clock, fence int64) (Answer, error)
		Stop  func(ctx context.Context, to Target, o Order, fence int64) (Answer, error)
		Hold  func(ctx context.Context, to Target, h HoldRequest) (Report, error)
	}
)

// The reasons for which workers refuse a start.
const (
	// RefusedFence means that the worker has seen a higher fencing token.
	RefusedFence = "fence"
	// RefusedOld means that this or a later run of the task has ended or was
	// stopped on the worker, or that another run of the task is there.
	RefusedOld = "old"
	// RefusedLate means that the lease of the start has expired.
	RefusedLate = "late"
	// RefusedRoom means that the worker has no capacity for the run.
	RefusedRoom   = "room"
	RefusedTicket = "ticket"
	// RefusedBad means that the start is malformed, or was refused without a
	// reason.
	RefusedBad = "bad"
)

var (
	// ErrNotCarriedOut means that the order has had no effect on the worker.
	ErrNotCarriedOut = errors.New("order not carried out")
	// ErrOtherIncarnation means that another worker, or another incarnation of
	// the worker, answers at the address.
	ErrOtherIncarnation = errors.New("another worker or incarnation answers at the address")
)
