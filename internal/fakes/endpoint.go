package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/plat"
	"github.com/pkg/errors"
)

type (
	// Endpoint is an endpoint that serves requests in memory.
	Endpoint struct {
		info  plat.Endpoint
		delay time.Duration

		mu      sync.Mutex
		fault   EndpointFault
		running int
		leaving bool
		changed chan struct{}
		log     []Execution
	}

	// EndpointFault is a fault of an endpoint. The zero value means no fault.
	EndpointFault struct {
		Kind EndpointFaultKind
		// Delay is added to the response time by FaultSlow.
		Delay time.Duration
		// Next, if positive, limits the fault to that number of requests.
		Next int
	}

	// EndpointFaultKind is the effect of an endpoint fault on a request.
	EndpointFaultKind string

	// Execution is one entry of an endpoint's log.
	Execution struct {
		At       time.Time
		Endpoint ident.Endpoint
		Request  ident.Request
		Attempt  int
		Event    ExecutionEvent
		Reason   string
	}

	// ExecutionEvent is the kind of an entry of an endpoint's log.
	ExecutionEvent string

	// Output is the body of an endpoint's answer.
	Output struct {
		Endpoint ident.Endpoint `json:"endpoint"`
		Request  ident.Request  `json:"request"`
		Attempt  int            `json:"attempt"`
		Input    string         `json:"input"`
	}
)

// The kinds of endpoint fault.
const (
	// FaultCut truncates the answer.
	FaultCut EndpointFaultKind = "cut"
	// FaultDie runs the request and returns no answer.
	FaultDie EndpointFaultKind = "die"
	// FaultRefuse refuses requests.
	FaultRefuse EndpointFaultKind = "refuse"
	// FaultSlow delays answers.
	FaultSlow EndpointFaultKind = "slow"
)

// The events of an endpoint's log.
const (
	// ExecutionStarted is logged when a request starts to run.
	ExecutionStarted ExecutionEvent = "started"
	// ExecutionEnded is logged when a request ends, before its answer is sent.
	ExecutionEnded ExecutionEvent = "ended"
	// ExecutionRefused is logged when a request is refused.
	ExecutionRefused ExecutionEvent = "refused"
	// EndpointLeaves is logged when the endpoint starts to leave.
	EndpointLeaves ExecutionEvent = "leaves"
)

// RefusedFault is the reason in the log and in the error of a request that
// FaultRefuse refuses.
const RefusedFault = "fault"

var errTerminated = errors.New("endpoint terminated before it answered")

// Check returns an error that wraps ErrFault if f is invalid.
func (f EndpointFault) Check() error {
	switch f.Kind {
	case FaultCut, FaultDie, FaultRefuse, FaultSlow:
	default:
		return fmt.Errorf("kind %q, allowed are %s, %s, %s and %s: %w",
			f.Kind, FaultCut, FaultDie, FaultRefuse, FaultSlow, ErrFault)
	}
	if f.Delay < 0 || f.Next < 0 {
		return fmt.Errorf("negative delay or count: %w", ErrFault)
	}
	return nil
}

// NewEndpoint returns a live endpoint whose requests each run for delay.
func NewEndpoint(info plat.Endpoint, delay time.Duration) *Endpoint {
	return &Endpoint{info: info, delay: delay, changed: make(chan struct{}, 1)}
}

// Instance returns the endpoint's entry in the list of instances.
func (e *Endpoint) Instance() plat.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := plat.Instance{Kind: plat.KindEndpoint, State: plat.Live, Endpoint: e.info}
	if e.leaving {
		i.State = plat.Leaving
	}
	return i
}

// Changed returns a channel that receives a value after Instance has changed.
// Changes that are not received yet are merged into one value.
func (e *Endpoint) Changed() <-chan struct{} { return e.changed }

// Leave makes the endpoint refuse new requests. Running requests complete.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return
	}
	e.leaving = true
	e.record(Execution{Event: EndpointLeaves})
	e.notifyChanged()
}

// Return makes a leaving endpoint accept requests again.
func (e *Endpoint) Return() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = false
	e.notifyChanged()
}

// SetFault replaces the fault of the endpoint.
func (e *Endpoint) SetFault(f EndpointFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Log returns a copy of the log.
func (e *Endpoint) Log() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}

// Handle runs a request. A request that has started runs to its end even if ctx
// is cancelled.
func (e *Endpoint) Handle(ctx context.Context, r plat.Request) (plat.Answer, error) {
	fault, err := e.begin(r, isExcess(ctx))
	if err != nil {
		return plat.Answer{}, err
	}
	delay := e.delay
	if fault.Kind == FaultSlow {
		delay += fault.Delay
	}
	if err := wait(context.WithoutCancel(ctx), delay); err != nil {
		return plat.Answer{}, err
	}
	leaving := e.end(r)
	if fault.Kind == FaultDie {
		return plat.Answer{}, errTerminated
	}
	body, err := json.Marshal(Output{Endpoint: e.info.Name, Request: r.ID, Attempt: r.Attempt, Input: string(r.Body)})
	if err != nil {
		return plat.Answer{}, fmt.Errorf("encode answer: %w", err)
	}
	answer := plat.Answer{Status: http.StatusOK, Type: "application/json", Body: body, Leaving: leaving}
	if fault.Kind == FaultCut {
		return answer, fmt.Errorf("fault: %w", plat.ErrIncomplete)
	}
	return answer, nil
}

// begin occupies a slot for r or refuses it. excess reports whether r arrived
// on a connection beyond the endpoint's limit.
func (e *Endpoint) begin(r plat.Request, excess bool) (EndpointFault, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := e.consumeFault()
	reason := ""
	switch {
	case e.leaving:
		reason = plat.RefusedLeaving
	case excess:
		reason = plat.RefusedConnections
	case fault.Kind == FaultRefuse:
		reason = RefusedFault
	case e.running >= e.info.Slots:
		reason = plat.RefusedSlots
	}
	if reason != "" {
		e.record(Execution{Request: r.ID, Attempt: r.Attempt, Event: ExecutionRefused, Reason: reason})
		return fault, &plat.RefusedError{Reason: reason, Leaving: e.leaving}
	}
	e.running++
	e.record(Execution{Request: r.ID, Attempt: r.Attempt, Event: ExecutionStarted})
	return fault, nil
}

// end releases the slot of r and reports whether the endpoint is leaving.
func (e *Endpoint) end(r plat.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.record(Execution{Request: r.ID, Attempt: r.Attempt, Event: ExecutionEnded})
	return e.leaving
}

// consumeFault returns the fault for one request and counts the request against
// a limited fault.
func (e *Endpoint) consumeFault() EndpointFault {
	f := e.fault
	if f.Next > 0 {
		if e.fault.Next--; e.fault.Next == 0 {
			e.fault = EndpointFault{}
		}
	}
	return f
}

// notifyChanged sends a value on the channel of Changed unless one is pending.
func (e *Endpoint) notifyChanged() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *Endpoint) record(x Execution) {
	x.At, x.Endpoint = time.Now(), e.info.Name
	e.log = append(e.log, x)
}
