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

// trace renders what a stand-in did, with the time since the start.
type trace struct {
	mu    sync.Mutex
	begin time.Time
	out   strings.Builder
}

func (t *trace) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(&t.out, "%v %s\n", time.Since(t.begin), fmt.Sprintf(format, args...))
}

// pause waits for d and then for all that happens at that instant.
func pause(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

var cases = []struct {
	name   string
	guards string // the failure that the case guards against
	do     func(ctx context.Context, t *trace)
}{
	{"tableFaults", "a fault that has another effect on the rows than its error says", tableFaults},
	{"tableLate", "a slow service that forgets a write when its caller gives up", tableLate},
	{"listLag", "readers that see the list as it is instead of as it was", listLag},
	{"workerRuns", "a payload that is not run as it says, and usage without a lag", workerRuns},
	{"endpointRuns", "an endpoint that runs more than its slots, or new work after it left", endpointRuns},
}

func TestFakes(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := &trace{begin: time.Now()}
				tr.note("guards against: %s", c.guards)
				c.do(t.Context(), tr)
				synctest.Wait()
				golden.Assert(t, tr.out.String(), c.name+".golden")
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
			t.note("%s next %d: commit: %v", f.Kind, f.Next, err)
			row, err := table.Get(ctx, "a")
			t.note("%s next %d: get: %s %d %v", f.Kind, f.Next, row.Value, row.Version, err)
			version = max(version, row.Version)
		}
		fake.Faults.Clear()
	}
	_, err := table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: "a", Version: version}, {Key: "b", Version: 1}}, Deletes: []string{"a"},
	})
	t.note("one check fails: %v", err)
	_, err = table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: "a", Version: version}, {Key: "b"}}, Deletes: []string{"a"},
		Puts: []store.Put{{Key: "c/2"}, {Key: "c/1"}},
	})
	t.note("both checks hold: %v", err)
	rows, err := table.Scan(ctx, "c/")
	t.note("scan: %v %v", rows, err)
	for _, c := range fake.Log() {
		t.note("log: at %v %s version %d before %d deleted %v", c.At.Sub(t.begin), c.Key, c.Version, c.Before, c.Deleted)
	}
}

func tableLate(ctx context.Context, t *trace) {
	fake := NewTable()
	fake.Faults.Set(Fault{Kind: Slow, Delay: 10 * time.Second})
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := fake.Store().Commit(short, store.Txn{Puts: []store.Put{{Key: "a"}}})
	t.note("commit uncertain %v: %v", errors.Is(err, store.ErrUncertain), err)
	pause(8 * time.Second)
	t.note("rows written: %d", len(fake.Log()))
	pause(time.Second)
	t.note("rows written: %d", len(fake.Log()))
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
		t.note("%v %v", names, err)
	}
	registered, cancel := context.WithCancel(ctx)
	go Register(registered, list, e.Changed(), e.Instance)
	// A worker that dies right after its registration: nothing renews it.
	t.note("register: %v", list.Register(ctx, w.Instance(), renewTTL))
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
		startErr := a.Start(ctx, worker.Start{Attempt: at, Tick: r.Tick, Boot: r.Boot, InService: true, Payload: []byte(payload)})
		t.note("start %d: %v", n, errors.WithMessage(firstOf(err, reportErr, startErr), "start"))
		return at
	}
	report := func() {
		r, err := a.Report(ctx)
		for _, s := range r.Statuses {
			t.note("report %d: %v progress %v result %q detail %q", s.Attempt.Number, s.State, s.Progress, s.Result, s.Detail)
		}
		if err != nil {
			t.note("report: %v", err)
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
	t.note("reserve with lost answer: %v", a.Reserve(ctx, reserve))
	w.Faults.Set(Fault{Kind: Down})
	t.note("reserve while down: %v", a.Reserve(ctx, reserve))
	report()
	for _, e := range w.Log() {
		t.note("log: at %v %d %s", e.At.Sub(t.begin), e.Attempt.Number, e.Event)
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
			t.note("%s: %s leaving %v error %v", id, a.Body, a.Leaving, err)
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
		t.note("log: at %v %s %s", x.At.Sub(t.begin), x.Event, x.Reason)
	}
}

// TestConnectionLimit guards against an endpoint that serves more connections
// than it has, and against a refusal for that reason that is not marked.
func TestConnectionLimit(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	e := NewEndpoint(plat.Endpoint{Name: "proof-1", Slots: 8}, 0)
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), 1, Router(plat.EndpointRoutes(e.Handle)...))
	assert.NilError(t, err)
	send := func() error {
		// A client of its own has a connection of its own, which stays open.
		_, err := plat.Send(ctx, plat.NewClient(time.Second), s.Address, plat.Request{Service: "proof", ID: "r1", MaxAnswer: 1 << 10})
		return err
	}
	assert.NilError(t, send())
	var refused *plat.RefusedError
	assert.Assert(t, errors.As(send(), &refused))
	assert.Equal(t, refused.Reason, plat.RefusedConnections)
	assert.NilError(t, s.Close(ctx))
}

// ExampleTable shows a write whose answer is lost.
func ExampleTable() {
	table := NewTable()
	table.Faults.Set(Fault{Kind: Lost, Next: 1})
	ctx := context.Background()
	_, err := table.Store().Commit(ctx, store.Txn{Puts: []store.Put{{Key: "a", Value: []byte("nonce")}}})
	row, _ := table.Store().Get(ctx, "a")
	fmt.Println(err, string(row.Value))
	// Output: store answer lost nonce
}
