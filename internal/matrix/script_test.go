package matrix

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/intake"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/relay"
	"github.com/pkg/errors"
)

// Times of the script, counted from its start, and its intervals. The times of
// events avoid round values, so that callers act between two rounds of the
// instances and no two events coincide.
const (
	atFirstConfig = 130 * time.Millisecond
	atFirstJob    = 10*time.Second + 230*time.Millisecond
	atLongJobs    = 14*time.Second + 270*time.Millisecond
	atGuaranteed  = 20*time.Second + 310*time.Millisecond
	atCancel      = 30*time.Second + 370*time.Millisecond
	atDomainOut   = 48*time.Second + 410*time.Millisecond
	atDomainIn    = 58*time.Second + 430*time.Millisecond
	atConfig      = 64*time.Second + 470*time.Millisecond
	atJoin        = 68*time.Second + 530*time.Millisecond
	atPlannedStop = 74*time.Second + 590*time.Millisecond
	atLateJob     = 82*time.Second + 610*time.Millisecond
	atTrafficEnd  = 92 * time.Second
	atEnd         = 260 * time.Second

	// longJobInterval is the time between the submissions of two long jobs. It
	// is long enough for the summaries of the shards to include the earlier one.
	longJobInterval = 1330 * time.Millisecond
	// requestInterval is the time between two requests to an instance.
	requestInterval = 730 * time.Millisecond
	// retryInterval is the time after which callers and operators repeat a
	// call.
	retryInterval = 1070 * time.Millisecond
	// retryTimeout is the time after which an operator gives up a change. A
	// caller stops repeating a cancellation this long before atEnd.
	retryTimeout = 60 * time.Second
	// sampleInterval is the time between two samples of the version in force.
	sampleInterval = 190 * time.Millisecond
)

// runScript runs the script, waits until the callers have ended and, at atEnd,
// ends all processes.
func (sim *Simulation) runScript() {
	sim.startInstance("i1", homeRegion)
	sim.startInstance("i2", homeRegion)
	sim.startInstance("i3", remoteRegion)
	go sim.sampleVersions()
	sim.sleepUntil(atFirstConfig)
	sim.changeConfig(func(*config.Config) *config.Config { return sim.firstConfig() })
	sim.callers.Go(sim.sendTraffic)
	sim.sleepUntil(atFirstJob)
	sim.submit(borrowingWorkspace, "first", normalJob(2, 7*time.Second))
	sim.sleepUntil(atLongJobs)
	long := longJobRunTime
	if sim.setup.LongJobRunTime > 0 {
		long = sim.setup.LongJobRunTime
	}
	for _, s := range []struct {
		id      ident.Request
		members int
	}{{"large0", 3}, {"large1", 3}, {"small0", 2}, {"small1", 2}} {
		sim.submit(borrowingWorkspace, s.id, normalJob(s.members, long))
		sim.sleep(longJobInterval)
	}
	sim.sleepUntil(atGuaranteed)
	sim.submit(guaranteedWorkspace, "guaranteed", jobs.Spec{
		Shape: gangShape, Guaranteed: true, Class: jobs.Urgent, Payload: payload(6 * time.Second),
	})
	sim.sleepUntil(atCancel)
	sim.submit(borrowingWorkspace, "unwanted", normalJob(1, time.Hour))
	sim.sleep(2 * time.Second)
	sim.callers.Go(func() { _ = sim.cancel(borrowingWorkspace, "unwanted") })
	sim.runOperators()
	sim.sleepUntil(atLateJob)
	sim.submit(borrowingWorkspace, "late", normalJob(2, 3*time.Second))
	sim.callers.Wait()
	sim.sleepUntil(atEnd)
	sim.endProcesses()
}

// runOperators performs the actions of the operators, from taking the near
// domain out of service to the planned stop, and submits a job meanwhile.
func (sim *Simulation) runOperators() {
	sim.sleepUntil(atDomainOut)
	sim.setInService(false)
	sim.submit(borrowingWorkspace, "moved", normalJob(1, 2*time.Second))
	sim.sleepUntil(atDomainIn)
	sim.setInService(true)
	sim.sleepUntil(atConfig)
	sim.changeConfig(func(c *config.Config) *config.Config {
		next := *c
		next.Limits.RetryShare = 0.2
		return &next
	})
	sim.sleepUntil(atJoin)
	sim.startInstance("i4", homeRegion)
	sim.sleepUntil(atPlannedStop)
	if in := sim.leaseHolder(); in != nil {
		sim.callers.Go(in.plannedStop)
	}
}

// endProcesses ends all processes and waits until their calls have ended.
func (sim *Simulation) endProcesses() {
	sim.mu.Lock()
	names := append([]ident.Instance(nil), sim.instanceNames...)
	sim.mu.Unlock()
	for _, name := range names {
		sim.network.resume(name)
		in, _ := sim.instance(name)
		in.kill("ended")
	}
	time.Sleep(2 * requestTimeout)
}

// sleepUntil sleeps until a time of the script, unless it has passed.
func (sim *Simulation) sleepUntil(d time.Duration) { time.Sleep(d - sim.elapsed()) }

func (sim *Simulation) sleep(d time.Duration) { time.Sleep(d) }

// leaseHolder returns the live instance that holds the lease of the near domain,
// or nil if there is none or if it is the only live instance.
func (sim *Simulation) leaseHolder() *Instance {
	row, err := sim.store.Store().Get(context.Background(), record.LeaseKey(nearDomain))
	if err != nil {
		return nil
	}
	current, err := record.DecodeLease(row.Value)
	if err != nil {
		return nil
	}
	for _, in := range sim.liveInstances() {
		if in.self.Instance == current.Holder && len(sim.liveInstances()) > 1 {
			return in
		}
	}
	return nil
}

// pickInstance returns the instance to which the load balancer sends the n-th
// call of a caller, or nil if there is none.
func (sim *Simulation) pickInstance(n int) *Instance {
	all := sim.balancerTargets()
	if len(all) == 0 {
		return nil
	}
	return all[n%len(all)]
}

// sendTraffic sends requests to every instance from 8 s to atTrafficEnd. The
// requests of every third round are non-idempotent, and one request of every
// sixth round is sent to a second instance with the same identifier.
func (sim *Simulation) sendTraffic() {
	sim.sleepUntil(8 * time.Second)
	for n := 0; sim.elapsed() < atTrafficEnd; n++ {
		for i, in := range sim.balancerTargets() {
			id := ident.Request(fmt.Sprintf("r%d-%s", n, in.self.Instance))
			nonIdempotent := n%3 == 0 && !sim.setup.AllIdempotent
			sim.sendRequest(in, id, nonIdempotent)
			if n%6 == 0 && i == 0 {
				sim.sendRequest(sim.pickInstance(n+1), id, nonIdempotent)
			}
		}
		time.Sleep(requestInterval)
	}
}

// sendRequest starts a caller that sends a request and waits for the answer in
// its own goroutine.
func (sim *Simulation) sendRequest(in *Instance, id ident.Request, nonIdempotent bool) {
	if in == nil {
		return
	}
	a := &Answer{
		SentAt: time.Now(), Instance: in.self.Instance, Request: id,
		Input: "input of " + string(id), NonIdempotent: nonIdempotent,
	}
	sim.mu.Lock()
	sim.answers = append(sim.answers, a)
	sim.mu.Unlock()
	sim.callers.Go(func() {
		if !sim.acceptCall(in) {
			return
		}
		got := in.relay.Do(in.processCtx, relay.Request{
			Workspace: borrowingWorkspace, ID: id, Service: serviceName, NonIdempotent: nonIdempotent,
			Region: in.self.Region, Body: []byte(a.Input),
		})
		// A killed process does not answer, and a paused one only after it
		// resumes.
		if !sim.network.awaitRunning(in.self.Instance) {
			return
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if strings.HasPrefix(string(id), faultBurst) {
			sim.network.Hit(faultBurst)
		}
		a.AnsweredAt, a.Outcome, a.Body, a.Reason = time.Now(), got.Outcome.String(), got.Body, string(got.Reason)
	})
}

// acceptCall reports the arrival of a caller's call at an instance to the
// network, and returns false if the instance was killed.
func (sim *Simulation) acceptCall(in *Instance) bool {
	if sim.network.BeforeEffect != nil {
		sim.network.BeforeEffect(Call{From: in.self.Instance, Op: OpAccept, Region: in.self.Region})
	}
	return sim.network.awaitRunning(in.self.Instance)
}

// submit starts a caller that submits a job repeatedly until it is accepted or
// atTrafficEnd has passed. Each attempt goes to the next instance, with the same
// identifier.
func (sim *Simulation) submit(ws ident.Workspace, id ident.Request, spec jobs.Spec) {
	sim.callers.Go(func() {
		for n := 0; sim.elapsed() < atTrafficEnd; n++ {
			if sim.trySubmit(n, ws, id, spec) {
				return
			}
			time.Sleep(retryInterval)
		}
	})
}

// trySubmit submits a job once and reports whether it was accepted. It records
// the submission unless the instance is killed before it answers.
func (sim *Simulation) trySubmit(n int, ws ident.Workspace, id ident.Request, spec jobs.Spec) bool {
	in := sim.pickInstance(n)
	if in == nil || !sim.acceptCall(in) {
		return false
	}
	j, err := in.intake.Submit(in.processCtx, intake.Submission{Workspace: ws, Request: id, Spec: spec})
	if !sim.network.awaitRunning(in.self.Instance) {
		return false
	}
	s := Submission{
		At: time.Now(), Workspace: ws, Request: id, Guaranteed: spec.Guaranteed, Outcome: "accepted", Job: j.ID,
	}
	var refusal *intake.Refusal
	if errors.As(err, &refusal) {
		s.Outcome = string(refusal.Outcome)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.submissions = append(sim.submissions, s)
	return err == nil
}

// cancel cancels a job repeatedly until the cancellation is accepted or the job
// has ended, and reports whether either happened.
func (sim *Simulation) cancel(ws ident.Workspace, id ident.Request) bool {
	for n := 0; sim.elapsed() < atEnd-retryTimeout; n++ {
		if in := sim.pickInstance(n); in != nil && sim.acceptCall(in) {
			_, err := in.intake.Cancel(in.processCtx, ws, ident.Job("req-"+string(id)))
			var refusal *intake.Refusal
			if err == nil || errors.As(err, &refusal) && refusal.Reason == intake.ReasonEnded {
				return true
			}
		}
		time.Sleep(retryInterval)
	}
	return false
}

// setInService starts an operator that takes the near domain in or out of
// service.
func (sim *Simulation) setInService(inService bool) {
	sim.changeConfig(func(c *config.Config) *config.Config {
		next, _ := c.WithDomain(nearDomain, inService)
		return next
	})
}

// changeConfig starts an operator, in its own goroutine, that submits a change
// of the configuration repeatedly until it is accepted or retryTimeout has
// passed.
func (sim *Simulation) changeConfig(edit func(*config.Config) *config.Config) {
	sim.callers.Go(func() {
		begin := time.Now()
		for n := 0; time.Since(begin) < retryTimeout; n++ {
			if in := sim.pickInstance(n); in != nil && sim.tryChange(in, edit) {
				return
			}
			time.Sleep(retryInterval)
		}
	})
}

// tryChange submits a change of the configuration once and reports whether it
// was accepted. edit returns nil if it does not apply to the configuration.
func (sim *Simulation) tryChange(in *Instance, edit func(*config.Config) *config.Config) bool {
	if !sim.acceptCall(in) {
		return false
	}
	ctx, cancel := context.WithTimeout(in.processCtx, requestTimeout)
	defer cancel()
	current := in.site.Current()
	next := edit(current)
	if next == nil {
		return false
	}
	_, err := in.site.Apply(ctx, current.Version, next)
	return err == nil
}

// sampleVersions records the version in force at each live instance every
// sampleInterval.
func (sim *Simulation) sampleVersions() {
	for sim.elapsed() < atEnd {
		for _, in := range sim.liveInstances() {
			sim.recordVersion(in)
		}
		time.Sleep(sampleInterval)
	}
}

// recordVersionChanges records each version that is put in force at an instance.
func (sim *Simulation) recordVersionChanges(in *Instance) {
	for in.processCtx.Err() == nil {
		changed := in.site.Changed()
		sim.recordVersion(in)
		select {
		case <-changed:
		case <-in.processCtx.Done():
		}
	}
}

func (sim *Simulation) recordVersion(in *Instance) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.versions = append(sim.versions, VersionSample{
		At: time.Now(), Instance: in.self.Instance, Version: in.site.Current().Version,
	})
}

// normalJob returns a job without a guarantee that has the given number of
// members and runs for d.
func normalJob(members int, d time.Duration) jobs.Spec {
	s := gangShape
	s.Members = members
	return jobs.Spec{Shape: s, Class: jobs.Normal, Payload: payload(d)}
}

func payload(d time.Duration) []byte {
	return fmt.Appendf(nil, `{"runFor":%q,"result":"ok"}`, d)
}
