package bench

import (
	"slices"
	"time"

	"github.com/baobabquay/baobabquay/internal/fleet"
	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/quota"
	"github.com/baobabquay/baobabquay/internal/sched"
)

// decide asks the policy and carries its actions out.
func (w *world) decide(s *site) {
	v := w.view(s)
	actions := w.policy.Decide(w.now, &v)
	s.dirty = false
	s.decided = w.now
	for _, a := range actions {
		w.act(s, a)
	}
	w.judge.packs(w, s)
}

func (w *world) view(s *site) sched.View {
	v := sched.View{
		Domain:     s.domain,
		InService:  s.inService,
		Workers:    slices.Clone(s.workers),
		Guarantees: quota.HomesIn(w.config, s.domain),
		Past:       w.past,
		Waiting:    make([]jobs.Job, 0, len(s.waiting)),
	}
	for _, q := range s.waiting {
		v.Waiting = append(v.Waiting, q.job)
	}
	for _, g := range s.gangs {
		v.Gangs = append(v.Gangs, sched.Gang{
			Job: g.job, Progress: g.progress(w.now), Saved: g.saved(w.now), Reclaiming: !g.stops.IsZero(),
		})
	}
	for _, o := range w.sites {
		if o != s {
			v.Peers = append(v.Peers, o.peer())
		}
	}
	return v
}

func (s *site) peer() sched.Peer {
	p := sched.Peer{Domain: s.domain, InService: s.inService, Waiting: s.queued(), Workers: s.specs}
	for _, x := range s.workers {
		if x.Health == fleet.Healthy {
			p.Free += x.Free.Accelerators
		}
	}
	return p
}

func (s *site) queued() int {
	n := 0
	for _, q := range s.waiting {
		n += q.job.Spec.Shape.Total().Accelerators
	}
	return n
}

func (w *world) act(s *site, a sched.Action) {
	switch a.Kind {
	case sched.Place:
		w.place(s, a)
	case sched.Reclaim:
		for _, g := range s.gangs {
			if sameJob(g.job, a.Job) && g.stops.IsZero() {
				g.stops = w.now.Add(stopDelay)
				w.score.reclaims++
			}
		}
	case sched.Move:
		if q := s.dequeue(a.Job); q != nil {
			w.sendTo(a, q)
		}
	case sched.Wait:
		for _, q := range s.waiting {
			if sameJob(q.job, a.Job) {
				q.reason = a.Reason
			}
		}
	case sched.Refuse:
		if q := s.dequeue(a.Job); q != nil {
			w.open--
			w.score.refused++
		}
	}
}

func (w *world) sendTo(a sched.Action, q *request) {
	for _, o := range w.sites {
		if o.domain == a.To {
			o.waiting = append(o.waiting, q)
			o.dirty = true
		}
	}
}

func (w *world) place(s *site, a sched.Action) {
	q := s.dequeue(a.Job)
	if q == nil {
		return
	}
	q.job.State = jobs.Starting
	q.job.Attempt++
	q.job.Started = w.now
	q.job.Slots = a.Slots
	g := &run{request: q, begins: w.now.Add(startDelay)}
	if q.job.Saved > 0 {
		g.begins = g.begins.Add(resumeDelay)
		w.score.lose(w.now, resumeDelay, q.job.Spec.Shape)
	}
	if slices.ContainsFunc(a.Slots, func(x jobs.Slot) bool { return w.bad[x.Worker] }) {
		g.fails = g.begins.Add(failDelay)
	}
	s.change(q.job, -1)
	s.gangs = append(s.gangs, g)
	w.judge.placed(w, s, g)
	w.score.started(q, g.begins)
}

func (s *site) dequeue(j jobs.Job) *request {
	i := slices.IndexFunc(s.waiting, func(q *request) bool { return sameJob(q.job, j) })
	if i < 0 {
		return nil
	}
	q := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return q
}

func sameJob(a, b jobs.Job) bool { return a.ID == b.ID && a.Workspace == b.Workspace }

// assign gives a job to a shard, as the submit path does: work inside a
// guarantee goes to a home with an unused shape, other work to the shard in
// service with the least waiting work.
func (w *world) assign(q *request) {
	var best *site
	most, load := 0, 0.0
	for _, s := range w.sites {
		if !s.inService || !s.canEver(q.job) {
			continue
		}
		n := 0
		if q.job.Spec.Guaranteed {
			n = max(w.unused(s, q.job), 0)
		}
		l := float64(s.queued()-s.peer().Free) / float64(len(s.workers))
		if best == nil || n > most || (n == most && l < load) {
			best, most, load = s, n, l
		}
	}
	if best == nil {
		w.open--
		w.score.refused++
		return
	}
	best.waiting = append(best.waiting, q)
	best.dirty = true
}

// unused is the number of claims homed in s that cover j less the guaranteed
// jobs of the workspace there.
func (w *world) unused(s *site, j jobs.Job) int {
	n := 0
	for _, c := range quota.HomesIn(w.config, s.domain) {
		if c.Workspace == j.Workspace && quota.Covers(c.Shape, j.Spec.Shape) {
			n += c.Count
		}
	}
	for _, q := range s.waiting {
		if q.job.Spec.Guaranteed && q.job.Workspace == j.Workspace {
			n--
		}
	}
	for _, g := range s.gangs {
		if g.job.Spec.Guaranteed && g.job.Workspace == j.Workspace {
			n--
		}
	}
	return n
}

func (s *site) canEver(j jobs.Job) bool {
	return fleet.CanEver(s.workers, j.Spec.Shape)
}

// lowerBound is the least time in which the work can be done with n
// accelerators: each job takes its run time after its arrival, and what arrives
// from any instant on takes its area.
func lowerBound(requests []*request, n int) time.Duration {
	var bound, area time.Duration
	for _, q := range slices.Backward(requests) {
		if q.cancelled {
			continue
		}
		area += q.actual * time.Duration(q.job.Spec.Shape.Total().Accelerators)
		bound = max(bound, q.at+q.actual, q.at+area/time.Duration(n))
	}
	return bound
}
