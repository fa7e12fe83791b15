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

	// Call describes a call of an instance to another instance, the store, the
	// platform, a worker or an endpoint. It also describes the arrival of a
	// caller's call (OpAccept) and decisions of a shard's policy (OpPlace and
	// OpReclaim), so that a fault can begin at them.
	Call struct {
		From ident.Instance
		// To is the name of the callee or of the shard's domain, and Region its
		// region. To is empty for OpAccept.
		To     string
		Region ident.Region
		Op     Op
		// Txn is the transaction of a commit.
		Txn store.Txn
		// Write is true if the call may have an effect.
		Write bool
		// Datagram is true if all message faults apply to the call, including
		// those that duplicate or delay it.
		Datagram bool
	}

	// Network carries the calls of all instances and applies the faults to
	// them.
	Network struct {
		mu            sync.Mutex
		processes     map[ident.Instance]*process
		messageFaults map[string]*messageFault
		cutLinks      map[direction]string
		hits          map[string]int
		// BeforeEffect and AfterEffect, if not nil, are called before and after
		// the effect of a call. The call waits until they return. AfterEffect is
		// not called for a call whose request is lost or delayed.
		BeforeEffect func(c Call)
		AfterEffect  func(c Call)
	}

	// process is the state of an instance's process. killedBy and pausedBy are
	// the causes, or empty if the process is not killed or not paused. resumed
	// is closed when a paused process resumes.
	process struct {
		region   ident.Region
		killedBy string
		pausedBy string
		resumed  chan struct{}
	}

	// direction is a direction of the link between two regions.
	direction struct{ from, to ident.Region }

	// messageFault is a fault that affects messages. count is the number of
	// messages that it has affected or spared.
	messageFault struct {
		kind  string
		count int
	}

	// callEffects are the effects of the faults on one call.
	callEffects struct {
		lost, doubled bool
		delay         time.Duration
	}
)

// Kinds of calls.
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
	// localLatency and remoteLatency are the times of a message one way within
	// a region and between regions.
	localLatency  = time.Millisecond
	remoteLatency = 20 * time.Millisecond
	// lossTimeout is the time after which the caller notices a lost message.
	lossTimeout = 350 * time.Millisecond
	// longDelay is longer than any lease is valid, and longer than a worker
	// accepts a start permit.
	longDelay = 13 * time.Second
	// shortDelay is long enough for later messages to overtake the delayed one.
	shortDelay = 1700 * time.Millisecond
)

var (
	errLost   = errors.New("message lost")
	errKilled = errors.New("instance killed")
)

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		processes: make(map[ident.Instance]*process), messageFaults: make(map[string]*messageFault),
		cutLinks: make(map[direction]string), hits: make(map[string]int),
	}
}

// Do carries a call. The error is errKilled if the caller's process has ended,
// errLost if the request or the answer was lost, and that of effect otherwise.
// sent reports whether effect was called or will be called after a delay.
func (n *Network) Do(ctx context.Context, c Call, effect func(context.Context) error) (sent bool, err error) {
	if n.BeforeEffect != nil {
		n.BeforeEffect(c)
	}
	if !n.awaitRunning(c.From) {
		return false, errKilled
	}
	// A process that was paused continues where it stopped, even if the
	// deadline of the call has passed.
	ctx = context.WithoutCancel(ctx)
	effects := n.effectsOn(c)
	if effects.delay > 0 {
		return n.deliverLate(ctx, effects.delay, effect)
	}
	if effects.lost || n.isCut(n.regionOf(c.From), c.Region) {
		time.Sleep(lossTimeout)
		return false, errLost
	}
	time.Sleep(n.latency(c))
	err = effect(ctx)
	if effects.doubled {
		_ = effect(ctx)
	}
	time.Sleep(n.latency(c))
	if n.AfterEffect != nil {
		n.AfterEffect(c)
	}
	if !n.awaitRunning(c.From) {
		return true, errKilled
	}
	if n.isCut(c.Region, n.regionOf(c.From)) {
		time.Sleep(lossTimeout)
		return true, errLost
	}
	return true, err
}

// deliverLate schedules the effect after d and fails the call before that, as
// if the answer were lost.
func (n *Network) deliverLate(ctx context.Context, d time.Duration, effect func(context.Context) error) (bool, error) {
	time.AfterFunc(d, func() { _ = effect(ctx) })
	time.Sleep(lossTimeout)
	return true, errLost
}

// awaitRunning blocks while the instance is paused and reports false if it was
// killed.
func (n *Network) awaitRunning(i ident.Instance) bool {
	for {
		n.mu.Lock()
		p, ok := n.processes[i]
		if !ok {
			n.mu.Unlock()
			return true
		}
		if p.killedBy != "" {
			n.hits[p.killedBy]++
			n.mu.Unlock()
			return false
		}
		if p.pausedBy == "" {
			n.mu.Unlock()
			return true
		}
		n.hits[p.pausedBy]++
		resumed := p.resumed
		n.mu.Unlock()
		<-resumed
	}
}

// isRunning reports whether the instance's process is neither killed nor paused.
// Otherwise it answers no calls.
func (n *Network) isRunning(i ident.Instance) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.processes[i]
	return ok && p.killedBy == "" && p.pausedBy == ""
}

// effectsOn returns the effects of the current message faults on a call.
func (n *Network) effectsOn(c Call) callEffects {
	n.mu.Lock()
	defer n.mu.Unlock()
	var effects callEffects
	for name, f := range n.messageFaults {
		if !f.affects(c) {
			continue
		}
		n.hits[name]++
		switch f.kind {
		case "lost":
			effects.lost = true
		case "doubled":
			effects.doubled = true
		case "delayed":
			effects.delay = max(effects.delay, longDelay)
		case "reordered":
			effects.delay = max(effects.delay, shortDelay)
		}
	}
	return effects
}

// affects reports whether the fault affects the call, and counts the call if the
// fault applies to its kind. Calls to the store and to endpoints run over
// connections, on which messages are not duplicated or delayed. Lost answers of
// the store are injected by its own faults. Except when it duplicates messages,
// a fault spares every second one, so that some arrive.
func (f *messageFault) affects(c Call) bool {
	if !c.Datagram && (c.Op != OpSend || f.kind != "lost") {
		return false
	}
	f.count++
	return f.count <= maxMessages && (f.kind == "doubled" || f.count%2 == 1)
}

// maxMessages is the number of messages after which a fault affects no more.
const maxMessages = 200

// isCut reports whether the link is cut in the direction, and counts a hit if so.
func (n *Network) isCut(from, to ident.Region) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	name, ok := n.cutLinks[direction{from, to}]
	if ok {
		n.hits[name]++
	}
	return ok
}

// latency returns the time that a message of the call takes one way.
func (n *Network) latency(c Call) time.Duration {
	if n.regionOf(c.From) == c.Region {
		return localLatency
	}
	return remoteLatency
}

func (n *Network) regionOf(i ident.Instance) ident.Region {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.processes[i]; ok {
		return p.region
	}
	return ""
}

func (n *Network) add(i ident.Instance, r ident.Region) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[i] = &process{region: r}
}

func (n *Network) kill(i ident.Instance, cause string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.processes[i]
	p.killedBy = cause
	if p.pausedBy != "" {
		p.pausedBy = ""
		close(p.resumed)
	}
}

func (n *Network) pause(i ident.Instance, cause string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.processes[i]
	if p.killedBy == "" && p.pausedBy == "" {
		p.pausedBy, p.resumed = cause, make(chan struct{})
	}
}

func (n *Network) resume(i ident.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.processes[i]; p.pausedBy != "" {
		p.pausedBy = ""
		close(p.resumed)
	}
}

// Hit counts one effect of the fault.
func (n *Network) Hit(fault string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hits[fault]++
}

// Hits returns the number of effects of the fault so far.
func (n *Network) Hits(fault string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hits[fault]
}

// reordersAnswers reports whether messagesReordered is in effect, which makes
// answers of endpoints arrive out of order.
func (n *Network) reordersAnswers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.messageFaults["messagesReordered"]
	return ok
}
