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
	// Endpoint is a back end that answers requests.
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

	// EndpointFault is a fault of an endpoint. The zero value is none.
	EndpointFault struct {
		Kind EndpointFaultKind
		// Delay adds to the time of an answer.
		Delay time.Duration
		// Next, if positive, limits the fault to that number of requests.
		Next int
	}

	// EndpointFaultKind tells how a fault shows.
	EndpointFaultKind string

	// Execution is one line of an endpoint's log.
	Execution struct {
		At       time.Time
		Endpoint ident.Endpoint
		Request  ident.Request
		Attempt  int
		Event    ExecutionEvent
		Reason   string
	}

	// ExecutionEvent is a step of a request at an endpoint.
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
	// FaultCut ends an answer in its middle.
	FaultCut EndpointFaultKind = "cut"
	// FaultDie runs the request and gives no answer.
	FaultDie EndpointFaultKind = "die"
	// FaultRefuse refuses requests.
	FaultRefuse EndpointFaultKind = "refuse"
	// FaultSlow delays answers.
	FaultSlow EndpointFaultKind = "slow"
)

// The events of an endpoint's log.
const (
	// ExecutionStarted is written when a request begins to run.
	ExecutionStarted ExecutionEvent = "started"
	// ExecutionEnded is written when it ends, before the answer is sent.
	ExecutionEnded ExecutionEvent = "ended"
	// ExecutionRefused is written when it is refused.
	ExecutionRefused ExecutionEvent = "refused"
	// EndpointLeaves is written when the endpoint begins to leave.
	EndpointLeaves ExecutionEvent = "leaves"
)

// RefusedFault is the reason of a refusal by FaultRefuse.
const RefusedFault = "fault"

var errDied = errors.New("endpoint died before its answer")

// Check returns an error that wraps ErrFault if f is not a fault.
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

// NewEndpoint returns a live endpoint that takes delay to answer.
func NewEndpoint(info plat.Endpoint, delay time.Duration) *Endpoint {
	return &Endpoint{info: info, delay: delay, changed: make(chan struct{}, 1)}
}

// Instance returns the endpoint's entry in the list.
func (e *Endpoint) Instance() plat.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := plat.Instance{Kind: plat.KindEndpoint, State: plat.Live, Endpoint: e.info}
	if e.leaving {
		i.State = plat.Leaving
	}
	return i
}

// Changed yields after a change of Instance.
func (e *Endpoint) Changed() <-chan struct{} { return e.changed }

// Leave makes the endpoint refuse new requests. Those that run are completed.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return
	}
	e.leaving = true
	e.record(Execution{Event: EndpointLeaves})
	e.announce()
}

// Return makes a leaving endpoint take requests again.
func (e *Endpoint) Return() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = false
	e.announce()
}

// SetFault replaces the fault of the endpoint.
func (e *Endpoint) SetFault(f EndpointFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Log returns the executions and refusals so far.
func (e *Endpoint) Log() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}

// Handle runs a request. Once started it runs to its end, even if ctx ends.
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
		return plat.Answer{}, errDied
	}
	body, err := json.Marshal(Output{Endpoint: e.info.Name, Request: r.ID, Attempt: r.Attempt, Input: string(r.Body)})
	if err != nil {
		return plat.Answer{}, fmt.Errorf("encode answer: %w", err)
	}
	a := plat.Answer{Status: http.StatusOK, Type: "application/json", Body: body, Leaving: leaving}
	if fault.Kind == FaultCut {
		return a, fmt.Errorf("fault: %w", plat.ErrIncomplete)
	}
	return a, nil
}

// begin takes a slot for r or refuses it.
func (e *Endpoint) begin(r plat.Request, excess bool) (EndpointFault, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := e.takeFault()
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

// end frees the slot of r and reports whether the endpoint is leaving.
func (e *Endpoint) end(r plat.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.record(Execution{Request: r.ID, Attempt: r.Attempt, Event: ExecutionEnded})
	return e.leaving
}

// takeFault returns the fault for one request.
func (e *Endpoint) takeFault() EndpointFault {
	f := e.fault
	if f.Next > 0 {
		if e.fault.Next--; e.fault.Next == 0 {
			e.fault = EndpointFault{}
		}
	}
	return f
}

// announce makes Changed yield, unless it already does.
func (e *Endpoint) announce() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *Endpoint) record(x Execution) {
	x.At, x.Endpoint = time.Now(), e.info.Name
	e.log = append(e.log, x)
}
