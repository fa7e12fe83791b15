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

// The instants of the script. They are odd, so that callers act between two
// rounds of the instances and no two events share an instant.
const (
	atApply       = 130 * time.Millisecond
	atFirstJob    = 10*time.Second + 230*time.Millisecond
	atLent        = 14*time.Second + 270*time.Millisecond
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

	// lentEvery lets the summaries of the shards follow each job.
	lentEvery = 1330 * time.Millisecond
	// requestEvery is the period of requests at each instance.
	requestEvery = 730 * time.Millisecond
	// tryEvery is the period at which callers and operators repeat a call.
	tryEvery = 1070 * time.Millisecond
	// tryFor is the time after which an operator gives a change up.
	tryFor = 60 * time.Second
	// sampleEvery is the period at which the version in force is looked at.
	sampleEvery = 190 * time.Millisecond
)

// play runs the script and returns when everything has come to rest.
func (w *World) play() {
	w.start("i1", home)
	w.start("i2", home)
	w.start("i3", remote)
	go w.sample()
	w.at(atApply)
	w.change(func(*config.Config) *config.Config { return w.firstConfig() })
	w.callers.Go(w.traffic)
	w.at(atFirstJob)
	w.submit(lent, "first", normal(2, 7*time.Second))
	w.at(atLent)
	long := lentFor
	if w.setup.LentFor > 0 {
		long = w.setup.LentFor
	}
	for _, s := range []struct {
		id      ident.Request
		members int
	}{{"large0", 3}, {"large1", 3}, {"small0", 2}, {"small1", 2}} {
		w.submit(lent, s.id, normal(s.members, long))
		w.pause(lentEvery)
	}
	w.at(atGuaranteed)
	w.submit(owning, "guaranteed", jobs.Spec{
		Shape: gangShape, Guaranteed: true, Class: jobs.Urgent, Payload: payload(6 * time.Second),
	})
	w.at(atCancel)
	w.submit(lent, "unwanted", normal(1, time.Hour))
	w.pause(2 * time.Second)
	w.callers.Go(func() { _ = w.cancel(lent, "unwanted") })
	w.operate()
	w.at(atLateJob)
	w.submit(lent, "late", normal(2, 3*time.Second))
	w.callers.Wait()
	w.at(atEnd)
	w.finish()
}

// operate is what operators do.
func (w *World) operate() {
	w.at(atDomainOut)
	w.setDomain(false)
	w.submit(lent, "moved", normal(1, 2*time.Second))
	w.at(atDomainIn)
	w.setDomain(true)
	w.at(atConfig)
	w.change(func(c *config.Config) *config.Config {
		next := *c
		next.Limits.RetryShare = 0.2
		return &next
	})
	w.at(atJoin)
	w.start("i4", home)
	w.at(atPlannedStop)
	if in := w.holder(); in != nil {
		w.callers.Go(in.stop)
	}
}

// finish ends all processes.
func (w *World) finish() {
	w.mu.Lock()
	names := append([]ident.Instance(nil), w.names...)
	w.mu.Unlock()
	for _, name := range names {
		w.net.resume(name)
		in, _ := w.instance(name)
		in.kill("ended")
	}
	time.Sleep(2 * requestTimeout)
}

// at waits until an instant of the script, if it is not over.
func (w *World) at(d time.Duration) { time.Sleep(d - w.since()) }

func (w *World) pause(d time.Duration) { time.Sleep(d) }

// holder returns the live instance that holds the lease of the near domain.
func (w *World) holder() *Instance {
	row, err := w.store.Store().Get(context.Background(), record.LeaseKey(nearby))
	if err != nil {
		return nil
	}
	form, err := record.DecodeLease(row.Value)
	if err != nil {
		return nil
	}
	for _, in := range w.live() {
		if in.self.Instance == form.Holder && len(w.live()) > 1 {
			return in
		}
	}
	return nil
}

// some returns a live instance for a caller, a different one each time.
func (w *World) some(n int) *Instance {
	all := w.balanced()
	if len(all) == 0 {
		return nil
	}
	return all[n%len(all)]
}

// traffic sends requests to every instance; each third is non-idempotent, and
// some identifiers are sent to two instances.
func (w *World) traffic() {
	w.at(8 * time.Second)
	for n := 0; w.since() < atTrafficEnd; n++ {
		for k, in := range w.balanced() {
			id := ident.Request(fmt.Sprintf("r%d-%s", n, in.self.Instance))
			once := n%3 == 0 && !w.setup.Plain
			w.ask(in, id, once)
			if n%6 == 0 && k == 0 {
				w.ask(w.some(n+1), id, once)
			}
		}
		time.Sleep(requestEvery)
	}
}

// ask has a caller send a request. The caller waits in another thread.
func (w *World) ask(in *Instance, id ident.Request, nonIdempotent bool) {
	if in == nil {
		return
	}
	a := &Answer{
		Asked: time.Now(), Instance: in.self.Instance, Request: id,
		Input: "input of " + string(id), NonIdempotent: nonIdempotent,
	}
	w.mu.Lock()
	w.answers = append(w.answers, a)
	w.mu.Unlock()
	w.callers.Go(func() {
		if !w.arrive(in) {
			return
		}
		got := in.relay.Do(in.life, relay.Request{
			Workspace: lent, ID: id, Service: service, NonIdempotent: nonIdempotent,
			Region: in.self.Region, Body: []byte(a.Input),
		})
		// A process that is gone or paused answers nobody.
		if !w.net.pass(in.self.Instance) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if strings.HasPrefix(string(id), faultBurst) {
			w.net.Hit(faultBurst)
		}
		a.At, a.Outcome, a.Body, a.Reason = time.Now(), got.Outcome.String(), got.Body, string(got.Reason)
	})
}

// arrive is the arrival of a caller's call at an instance.
func (w *World) arrive(in *Instance) bool {
	if w.net.Before != nil {
		w.net.Before(Call{From: in.self.Instance, Op: OpAccept, Region: in.self.Region})
	}
	return w.net.pass(in.self.Instance)
}

// submit has a caller submit a job until it is accepted or refused for good.
// Each try goes to another instance, with the same identifier.
func (w *World) submit(ws ident.Workspace, id ident.Request, spec jobs.Spec) {
	w.callers.Go(func() {
		for n := 0; w.since() < atTrafficEnd; n++ {
			if w.tried(n, ws, id, spec) {
				return
			}
			time.Sleep(tryEvery)
		}
	})
}

func (w *World) tried(n int, ws ident.Workspace, id ident.Request, spec jobs.Spec) bool {
	in := w.some(n)
	if in == nil || !w.arrive(in) {
		return false
	}
	j, err := in.intake.Submit(in.life, intake.Submission{Workspace: ws, Request: id, Spec: spec})
	if !w.net.pass(in.self.Instance) {
		return false
	}
	s := Submit{At: time.Now(), Workspace: ws, Request: id, Guaranteed: spec.Guaranteed, Outcome: "accepted", Job: j.ID}
	var refusal *intake.Refusal
	if errors.As(err, &refusal) {
		s.Outcome = string(refusal.Outcome)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.submits = append(w.submits, s)
	return err == nil
}

// cancel has a caller cancel a job until the answer is known. It reports
// whether there was one.
func (w *World) cancel(ws ident.Workspace, id ident.Request) bool {
	for n := 0; w.since() < atEnd-tryFor; n++ {
		if in := w.some(n); in != nil && w.arrive(in) {
			_, err := in.intake.Cancel(in.life, ws, ident.Job("req-"+string(id)))
			var refusal *intake.Refusal
			if err == nil || errors.As(err, &refusal) && refusal.Reason == intake.ReasonEnded {
				return true
			}
		}
		time.Sleep(tryEvery)
	}
	return false
}

func (w *World) setDomain(in bool) {
	w.change(func(c *config.Config) *config.Config {
		next, _ := c.WithDomain(nearby, in)
		return next
	})
}

// change has an operator change the configuration, in another thread, until
// the change is accepted.
func (w *World) change(edit func(*config.Config) *config.Config) {
	w.callers.Go(func() {
		begin := time.Now()
		for n := 0; time.Since(begin) < tryFor; n++ {
			if in := w.some(n); in != nil && w.changed(in, edit) {
				return
			}
			time.Sleep(tryEvery)
		}
	})
}

func (w *World) changed(in *Instance, edit func(*config.Config) *config.Config) bool {
	if !w.arrive(in) {
		return false
	}
	ctx, cancel := context.WithTimeout(in.life, requestTimeout)
	defer cancel()
	present := in.site.Current()
	next := edit(present)
	if next == nil {
		return false
	}
	_, err := in.site.Apply(ctx, present.Version, next)
	return err == nil
}

// sample logs the version in force at each live instance, now and then and
// with each change.
func (w *World) sample() {
	for w.since() < atEnd {
		for _, in := range w.live() {
			w.note(in)
		}
		time.Sleep(sampleEvery)
	}
}

func (w *World) watch(in *Instance) {
	for in.life.Err() == nil {
		changed := in.site.Changed()
		w.note(in)
		select {
		case <-changed:
		case <-in.life.Done():
		}
	}
}

func (w *World) note(in *Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions = append(w.versions, Version{
		At: time.Now(), Instance: in.self.Instance, Version: in.site.Current().Version,
	})
}

// normal returns a job without a guarantee.
func normal(members int, d time.Duration) jobs.Spec {
	s := gangShape
	s.Members = members
	return jobs.Spec{Shape: s, Class: jobs.Normal, Payload: payload(d)}
}

func payload(d time.Duration) []byte {
	return fmt.Appendf(nil, `{"runFor":%q,"result":"ok"}`, d)
}
