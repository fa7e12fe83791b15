package fakes

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/baobabquay/baobabquay/internal/worker"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// trace records the events of a test case with the time since its start.
type trace struct {
	mu    sync.Mutex
	start time.Time
	text  strings.Builder
}

func (t *trace) logf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(&t.text, "%v %s\n", time.Since(t.start), fmt.Sprintf(format, args...))
}

// pause waits for d and then until all goroutines of the test are blocked.
func pause(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

var cases = []struct {
	name   string
	guards string // the failure that the case guards against, printed in its golden file
	do     func(ctx context.Context, t *trace)
}{
	{"tableFaults", "a fault whose effect on the rows contradicts the error that the caller gets", tableFaults},
	{"tableLate", "a slow service that drops a write when its caller gives up", tableLate},
	{"listLag", "readers that see the current list instead of the one at the configured lag", listLag},
	{"workerRuns", "a payload that is not run as specified, and usage that is reported without a lag", workerRuns},
	{"endpointRuns", "an endpoint that runs more requests than it has slots, or accepts new ones while it leaves", endpointRuns},
}

func TestFakes(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := &trace{start: time.Now()}
				tr.logf("guards against: %s", c.guards)
				c.do(t.Context(), tr)
				synctest.Wait()
				golden.Assert(t, tr.text.String(), c.name+".golden")
			})
		})
	}
}

func tableFaults(ctx context.Context, t *trace) {
	fake := NewTable()
	table := fake.Store()
	version := int64(0)
	for _, f := range []Fault{
		{Kind: Slow, Delay: time.Second, Next: 1}, {Kind: Lost, Next: 1}, {Kind: Down, Next: 1},
		{Kind: Slow, Delay: time.Second}, {Kind: Lost}, {Kind: Down},
	} {
		fake.Faults.Set(f)
		for n := range 2 {
			_, err := table.Commit(ctx, store.Txn{
				Checks: []store.Check{{Key: "a", Version: version}},
				Puts:   []store.Put{{Key: "a", Value: fmt.Appendf(nil, "%s%d", f.Kind, n)}},
			})
			t.logf("%s next %d: commit: %v", f.Kind, f.Next, err)
			row, err := table.Get(ctx, "a")
			t.logf("%s next %d: get: %s %d %v", f.Kind, f.Next, row.Value, row.Version, err)
			version = max(version, row.Version)
		}
		fake.Faults.Clear()
	}
	_, err := table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: "a", Version: version}, {Key: "b", Version: 1}}, Deletes: []string{"a"},
	})
	t.logf("one check fails: %v", err)
	_, err = table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: "a", Version: version}, {Key: "b"}}, Deletes: []string{"a"},
		Puts: []store.Put{{Key: "c/2"}, {Key: "c/1"}},
	})
	t.logf("both checks hold: %v", err)
	rows, err := table.Scan(ctx, "c/")
	t.logf("scan: %v %v", rows, err)
	for _, c := range fake.Log() {
		t.logf("log: at %v %s version %d before %d deleted %v", c.At.Sub(t.start), c.Key, c.Version, c.Before, c.Deleted)
	}
}

func tableLate(ctx context.Context, t *trace) {
	fake := NewTable()
	fake.Faults.Set(Fault{Kind: Slow, Delay: 10 * time.Second})
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := fake.Store().Commit(short, store.Txn{Puts: []store.Put{{Key: "a"}}})
	t.logf("commit uncertain %v: %v", errors.Is(err, store.ErrUncertain), err)
	pause(8 * time.Second)
	t.logf("rows written: %d", len(fake.Log()))
	pause(time.Second)
	t.logf("rows written: %d", len(fake.Log()))
}

func listLag(ctx context.Context, t *trace) {
	list := NewList(2 * time.Second).Plat()
	e := NewEndpoint(plat.Endpoint{Name: "proof-1"}, 0)
	w := NewWorker(worker.Spec{ID: "w1"}, 0)
	read := func() {
		is, err := list.Read(ctx)
		var names []string
		for _, i := range is {
			names = append(names, i.Name()+" "+string(i.State))
		}
		t.logf("%v %v", names, err)
	}
	registered, cancel := context.WithCancel(ctx)
	go Register(registered, list, e.Changed(), e.Instance)
	// A worker that terminates right after its registration, which nothing renews.
	t.logf("register: %v", list.Register(ctx, w.Instance(), registrationTTL))
	pause(2*time.Second - time.Millisecond)
	read()
	pause(time.Millisecond)
	read()
	pause(time.Second + time.Millisecond)
	e.Leave()
	pause(2*time.Second - time.Millisecond)
	read()
	pause(time.Millisecond)
	read()
	pause(2*time.Second - 2*time.Millisecond)
	read()
	pause(time.Millisecond)
	read()
	cancel()
	pause(2*time.Second - time.Millisecond)
	read()
	pause(time.Millisecond)
	read()
}

func workerRuns(ctx context.Context, t *trace) {
	w := NewWorker(worker.Spec{ID: "w1", Capacity: shape.Resources{Accelerators: 8}}, time.Second)
	a := w.Agent()
	start := func(n int, payload string) worker.Attempt {
		at := worker.Attempt{Workspace: "foundry-a", Job: "proofs", Number: n}
		err := a.Reserve(ctx, worker.Reserve{
			Attempt: at, Members: 1, Member: shape.Resources{Accelerators: 1}, Hold: 10 * time.Second,
		})
		r, reportErr := a.Report(ctx)
		startErr := a.Start(ctx, worker.Start{Attempt: at, Uptime: r.Uptime, Incarnation: r.Incarnation, InService: true, Payload: []byte(payload)})
		t.logf("start %d: %v", n, errors.WithMessage(firstOf(err, reportErr, startErr), "start"))
		return at
	}
	report := func() {
		r, err := a.Report(ctx)
		for _, s := range r.Statuses {
			t.logf("report %d: %v progress %v result %q detail %q", s.Attempt.Number, s.State, s.Progress, s.Result, s.Detail)
		}
		if err != nil {
			t.logf("report: %v", err)
		}
	}
	start(1, `{"runFor":"2s","result":"text"}`)
	start(2, `{"runFor":"5s","failAfter":"1s","detail":"out of memory"}`)
	start(3, `{"runFor":"soon"}`)
	w.FailAll(true)
	start(4, `{"runFor":"1s"}`)
	for range 4 {
		pause(500 * time.Millisecond)
		report()
	}
	w.FailAll(false)
	w.Faults.Set(Fault{Kind: Lost, Next: 1})
	last := worker.Attempt{Workspace: "foundry-a", Job: "proofs", Number: 5}
	reserve := worker.Reserve{Attempt: last, Members: 1, Hold: 10 * time.Second}
	t.logf("reserve with lost answer: %v", a.Reserve(ctx, reserve))
	w.Faults.Set(Fault{Kind: Down})
	t.logf("reserve while down: %v", a.Reserve(ctx, reserve))
	report()
	for _, e := range w.Log() {
		t.logf("log: at %v %d %s", e.At.Sub(t.start), e.Attempt.Number, e.Event)
	}
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func endpointRuns(ctx context.Context, t *trace) {
	e := NewEndpoint(plat.Endpoint{Name: "proof-1", Slots: 2}, time.Second)
	var sent sync.WaitGroup
	send := func(id string) {
		sent.Go(func() {
			a, err := e.Handle(ctx, plat.Request{ID: "r1", Attempt: 1, Body: []byte(id)})
			t.logf("%s: %s leaving %v error %v", id, a.Body, a.Leaving, err)
		})
		synctest.Wait()
	}
	send("first")
	pause(100 * time.Millisecond)
	send("second")
	send("third")
	pause(100 * time.Millisecond)
	e.Leave()
	send("fourth")
	sent.Wait()
	e.Return()
	e.SetFault(EndpointFault{Kind: FaultRefuse, Next: 1})
	send("fifth")
	send("sixth")
	sent.Wait()
	for _, x := range e.Log() {
		t.logf("log: at %v %s %s", x.At.Sub(t.start), x.Event, x.Reason)
	}
}

// TestConnectionLimit guards against an endpoint that serves requests on more
// connections than its limit, and against refusals of such requests without the
// reason RefusedConnections.
func TestConnectionLimit(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	e := NewEndpoint(plat.Endpoint{Name: "proof-1", Slots: 8}, 0)
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), 1, Router(plat.EndpointRoutes(e.Handle)...))
	assert.NilError(t, err)
	send := func() error {
		// A new client opens a new connection and keeps it open.
		_, err := plat.Send(ctx, plat.NewClient(time.Second), s.Address, plat.Request{Service: "proof", ID: "r1", MaxAnswer: 1 << 10})
		return err
	}
	assert.NilError(t, send())
	var refused *plat.RefusedError
	assert.Assert(t, errors.As(send(), &refused))
	assert.Equal(t, refused.Reason, plat.RefusedConnections)
	assert.NilError(t, s.Close(ctx))
}

// ExampleTable shows a write that takes effect although its answer is lost.
func ExampleTable() {
	table := NewTable()
	table.Faults.Set(Fault{Kind: Lost, Next: 1})
	ctx := context.Background()
	_, err := table.Store().Commit(ctx, store.Txn{Puts: []store.Put{{Key: "a", Value: []byte("nonce")}}})
	row, _ := table.Store().Get(ctx, "a")
	fmt.Println(err, string(row.Value))
	// Output: store answer lost nonce
}
