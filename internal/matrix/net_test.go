package matrix

import (
	"context"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/store"
	"github.com/pkg/errors"
)

type (
	// Op names a kind of call.
	Op string

	// Call describes one call of an instance to another part.
	Call struct {
		From ident.Instance
		// To names the part that is called, and Region is where it is.
		To     string
		Region ident.Region
		Op     Op
		// Txn is the transaction of a commit.
		Txn store.Txn
		// Write is true if the call may have an effect.
		Write bool
		// Datagram is true for calls that may arrive twice.
		Datagram bool
	}

	// Net carries the calls of all instances and applies the faults to them.
	Net struct {
		mu     sync.Mutex
		nodes  map[ident.Instance]*node
		faults map[string]*message
		cuts   map[leg]string
		hits   map[string]int
		// Before and After, if not nil, are called around the effect of a
		// call, while the call waits.
		Before func(c Call)
		After  func(c Call)
	}

	// node is the state of an instance's process.
	node struct {
		region ident.Region
		dead   string
		paused string
		resume chan struct{}
	}

	// leg is a direction between two regions.
	leg struct{ from, to ident.Region }

	// message is a fault of messages.
	message struct {
		kind  string
		count int
	}

	// verdict is what the faults do to one call.
	verdict struct {
		lost, doubled bool
		delay         time.Duration
	}
)

// The kinds of call.
const (
	OpGet        Op = "get"
	OpScan       Op = "scan"
	OpCommit     Op = "commit"
	OpList       Op = "list"
	OpReport     Op = "report"
	OpFence      Op = "fence"
	OpReserve    Op = "reserve"
	OpStart      Op = "start"
	OpRenew      Op = "renew"
	OpCheckpoint Op = "checkpoint"
	OpStop       Op = "stop"
	OpSend       Op = "send"
	OpExchange   Op = "exchange"
	OpResolve    Op = "resolve"
	OpAccept     Op = "accept"
	OpPlace      Op = "place"
	OpReclaim    Op = "reclaim"
)

const (
	// localLatency and remoteLatency are those of section 1.5.
	localLatency  = time.Millisecond
	remoteLatency = 20 * time.Millisecond
	// lossDelay is the time until the caller notices a lost message.
	lossDelay = 350 * time.Millisecond
	// longDelay holds a message longer than any lease or permit is valid.
	longDelay = 13 * time.Second
	// shortDelay lets later messages overtake.
	shortDelay = 1700 * time.Millisecond
)

var (
	errLost = errors.New("message lost")
	errDead = errors.New("instance killed")
)

// NewNet returns a network without faults.
func NewNet() *Net {
	return &Net{
		nodes: make(map[ident.Instance]*node), faults: make(map[string]*message),
		cuts: make(map[leg]string), hits: make(map[string]int),
	}
}

// Do carries a call. The error is errDead if the caller's process has ended,
// errLost if the request or the answer was lost, and that of effect otherwise.
// sent tells whether effect was called.
func (n *Net) Do(ctx context.Context, c Call, effect func(context.Context) error) (sent bool, err error) {
	if n.Before != nil {
		n.Before(c)
	}
	if !n.pass(c.From) {
		return false, errDead
	}
	// A process that was paused goes on where it stopped, whatever the time.
	ctx = context.WithoutCancel(ctx)
	v := n.judge(c)
	if v.delay > 0 {
		return n.late(ctx, v.delay, effect)
	}
	if v.lost || n.isCut(n.regionOf(c.From), c.Region) {
		time.Sleep(lossDelay)
		return false, errLost
	}
	time.Sleep(n.latency(c))
	err = effect(ctx)
	if v.doubled {
		_ = effect(ctx)
	}
	time.Sleep(n.latency(c))
	if n.After != nil {
		n.After(c)
	}
	if !n.pass(c.From) {
		return true, errDead
	}
	if n.isCut(c.Region, n.regionOf(c.From)) {
		time.Sleep(lossDelay)
		return true, errLost
	}
	return true, err
}

// late lets the caller give up before the effect takes place.
func (n *Net) late(ctx context.Context, d time.Duration, effect func(context.Context) error) (bool, error) {
	time.AfterFunc(d, func() { _ = effect(ctx) })
	time.Sleep(lossDelay)
	return true, errLost
}

// pass blocks while the instance is paused and reports whether it lives.
func (n *Net) pass(i ident.Instance) bool {
	for {
		n.mu.Lock()
		p, ok := n.nodes[i]
		if !ok {
			n.mu.Unlock()
			return true
		}
		if p.dead != "" {
			n.hits[p.dead]++
			n.mu.Unlock()
			return false
		}
		if p.paused == "" {
			n.mu.Unlock()
			return true
		}
		n.hits[p.paused]++
		resume := p.resume
		n.mu.Unlock()
		<-resume
	}
}

// isUp reports whether the instance's process runs. A process that does not
// run answers nothing.
func (n *Net) isUp(i ident.Instance) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.nodes[i]
	return ok && p.dead == "" && p.paused == ""
}

func (n *Net) judge(c Call) verdict {
	n.mu.Lock()
	defer n.mu.Unlock()
	var v verdict
	for name, m := range n.faults {
		if !m.takes(c) {
			continue
		}
		n.hits[name]++
		switch m.kind {
		case "lost":
			v.lost = true
		case "doubled":
			v.doubled = true
		case "delayed":
			v.delay = max(v.delay, longDelay)
		case "reordered":
			v.delay = max(v.delay, shortDelay)
		}
	}
	return v
}

// takes reports whether the fault may hit the call, and counts it. Calls to
// the store and to endpoints run over connections, on which messages are not
// doubled or delayed; what the store loses has its own faults. Of the messages
// that are not doubled every second one is spared, so that some pass.
func (m *message) takes(c Call) bool {
	if !c.Datagram && (c.Op != OpSend || m.kind != "lost") {
		return false
	}
	m.count++
	return m.count <= messageLimit && (m.kind == "doubled" || m.count%2 == 1)
}

// messageLimit bounds the messages that one fault looks at.
const messageLimit = 200

func (n *Net) isCut(from, to ident.Region) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	name, ok := n.cuts[leg{from, to}]
	if ok {
		n.hits[name]++
	}
	return ok
}

// latency returns the time of a message one way.
func (n *Net) latency(c Call) time.Duration {
	if n.regionOf(c.From) == c.Region {
		return localLatency
	}
	return remoteLatency
}

func (n *Net) regionOf(i ident.Instance) ident.Region {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.nodes[i]; ok {
		return p.region
	}
	return ""
}

func (n *Net) add(i ident.Instance, r ident.Region) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[i] = &node{region: r}
}

func (n *Net) kill(i ident.Instance, cause string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.nodes[i]
	p.dead = cause
	if p.paused != "" {
		p.paused = ""
		close(p.resume)
	}
}

func (n *Net) pause(i ident.Instance, cause string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.nodes[i]
	if p.dead == "" && p.paused == "" {
		p.paused, p.resume = cause, make(chan struct{})
	}
}

func (n *Net) resume(i ident.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.nodes[i]; p.paused != "" {
		p.paused = ""
		close(p.resume)
	}
}

// Hit counts an effect of the fault.
func (n *Net) Hit(fault string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hits[fault]++
}

// Hits returns the effects of the fault so far.
func (n *Net) Hits(fault string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hits[fault]
}

// swaps reports whether answers of endpoints arrive out of order.
func (n *Net) swaps() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.faults["messagesReordered"]
	return ok
}
