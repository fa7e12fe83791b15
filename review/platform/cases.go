package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

var whole = demand{CPU: 64000, Mem: 262144, GPU: 8}

const (
	// settle gives the leader time to read the list of runners.
	settle = 3 * time.Second
	// restartTime is above reuse_after_s and below the three heartbeats after which
	// the entry of a silent runner is removed.
	restartTime = 2500 * time.Millisecond
)

// stalled: a job of one long task near its data. The runner near the data is lost
// for good, so the task runs far from it, where each percent takes 2.1 s.
func stalled(s *scene) {
	const near, services = "r1", "render"
	s.configure(1, []string{services}, route{"q", "/q/", services})
	s.addRunner("i-01", services, "a", near, whole)
	s.addRunner("i-02", services, "a", "r2", whole)
	for i := 3; i <= 8; i++ {
		s.addRunner(fmt.Sprintf("i-%02d", i), services, "b", "r2", whole)
	}
	s.startInstances(3)
	time.Sleep(settle)
	j := s.submit("/q/", step{
		demand: demand{8000, 16384, 1}, Count: 1, EstimateMS: 70000, Affinity: near, Requires: "a", work: 70 * time.Second,
	})
	end := j.accepted
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.runners[0].crash()
	}
	s.watch(j, j.ID, end.Add(finishS), []string{services}, end.Add(85*time.Second))
	s.logf("the job is shown as %s", s.phase(j))
}

// kindChanged: two runners crash. One, the only one of kind b, is lost for good;
// the other starts again 2.5 s later, under its id and address, as one of kind b.
func kindChanged(s *scene) {
	const services = "render"
	s.configure(1, []string{services}, route{"q", "/q/", services})
	for i := 1; i <= 15; i++ {
		s.addRunner(fmt.Sprintf("i-%02d", i), services, "a", fmt.Sprintf("r%d", (i-1)/8+1), whole)
	}
	s.addRunner("i-16", services, "b", "r2", whole)
	s.startInstances(3)
	time.Sleep(settle)
	if s.trouble {
		s.runners[15].crash()
		s.runners[14].crash()
		time.Sleep(restartTime)
		s.runners[14].boot("b")
	}
	time.Sleep(8 * time.Second)
	j := s.submit("/q/", step{demand: demand{8000, 16384, 1}, Count: 1, EstimateMS: 2000, Requires: "b", work: 2 * time.Second})
	a := s.submit("/q/", step{demand: demand{8000, 16384, 8}, Count: 15, EstimateMS: 2000, Requires: "a", work: 2 * time.Second})
	end := a.accepted
	s.watch(j, j.ID, end.Add(finishS), []string{services}, end.Add(finishS+8*time.Second))
	for _, x := range s.taskRuns(a.ID) {
		if x.kind != "a" {
			s.logf("ROUTE, not counted here: %s requires kind a and was started at %s of kind %s", x.task, x.runner, x.kind)
		}
	}
	s.logf("the job is shown as %s", s.phase(j))
}

// queueMoved: a new version of the configuration has a queue served by another
// service, and the runners of the former service drain and leave.
func queueMoved(s *scene) {
	const former, next = "render-1", "render-2"
	services := []string{former, next}
	s.configure(1, services, route{"q", "/q/", former}, route{"p", "/p/", next})
	s.addRunner("i-01", former, "a", "r1", whole)
	for i := 2; i <= 16; i++ {
		s.addRunner(fmt.Sprintf("i-%02d", i), next, "a", fmt.Sprintf("r%d", i/8+1), whole)
	}
	s.startInstances(3)
	time.Sleep(settle)
	// Four tasks of 6 s, two at a time.
	j := s.submit("/q/", step{demand: demand{8000, 16384, 4}, Count: 4, EstimateMS: 6000, work: 6 * time.Second})
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.configure(2, services, route{"q", "/q/", next}, route{"p", "/p/", next})
		time.Sleep(4 * time.Second)
		go s.runners[0].drain(7 * time.Second)
	}
	last := s.submit("/q/", step{demand: demand{8000, 16384, 1}, Count: 1, EstimateMS: 2000, work: 2 * time.Second})
	end := last.accepted
	s.watch(j, j.ID, end.Add(finishS), services, end.Add(finishS+10*time.Second))
	s.logf("the job is shown as %s", s.phase(j))
}

// lastingFails: the tasks of a job that lasts fail from time to time.
func lastingFails(s *scene) {
	const services = "serve"
	s.configure(1, []string{services}, route{"q", "/q/", services})
	for i := 1; i <= 3; i++ {
		s.addRunner(fmt.Sprintf("i-%02d", i), services, "a", "r1", whole)
	}
	s.startInstances(3)
	time.Sleep(settle)
	st := step{demand: demand{8000, 16384, 1}, Count: 2, EstimateMS: 1000, LongRunning: true}
	if s.trouble {
		st.failAfter = 4 * time.Second
	}
	j := s.submit("/q/", st)
	until := j.accepted.Add(95 * time.Second)
	done := make(chan struct{})
	for i := range st.Count {
		go func() {
			s.watch(j, fmt.Sprintf("%s.0.0.%d", j.ID, i), j.accepted.Add(settle), []string{services}, until)
			done <- struct{}{}
		}()
	}
	for range st.Count {
		<-done
	}
}

// nearRackFull: a burst of large jobs fills the rack that holds the data of a job.
func nearRackFull(s *scene) {
	const services = "render"
	s.configure(1, []string{services}, route{"q", "/q/", services})
	for i := 1; i <= 6; i++ {
		s.addRunner(fmt.Sprintf("i-%02d", i), services, "a", fmt.Sprintf("r%d", (i-1)/2+1), whole)
	}
	s.startInstances(3)
	time.Sleep(settle)
	large := step{demand: demand{8000, 16384, 8}, Count: 1, EstimateMS: 60000, Affinity: "r1", work: 60 * time.Second}
	if s.trouble {
		s.submit("/q/", large)
		s.submit("/q/", large)
		time.Sleep(time.Second)
	}
	j := s.submit("/q/", step{demand: demand{8000, 16384, 1}, Count: 1, EstimateMS: 30000, Affinity: "r1", work: 30 * time.Second})
	end := j.accepted
	s.watch(j, j.ID, end.Add(finishS), []string{services}, end.Add(finishS+8*time.Second))
	s.logf("the job is shown as %s", s.phase(j))
}

// lateStart: among the starts of 20 small jobs, the first try of one gets no answer
// and is carried out 9 s later. Its second try is carried out and the task ends.
// Then the runner, which is idle, restarts under its id.
func lateStart(s *scene) {
	const services, small, late = "render", 20, 9 * time.Second
	s.configure(1, []string{services}, route{"q", "/q/", services})
	for i := 1; i <= 8; i++ {
		s.addRunner(fmt.Sprintf("i-%02d", i), services, "a", "r1", whole)
	}
	s.startInstances(3)
	time.Sleep(settle)
	if s.trouble {
		var mu sync.Mutex
		starts := 0
		for _, r := range s.runners {
			r.late = func(path, _ string) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if path == "/v1/run-start" {
					if starts++; starts == small/2 {
						s.late = r
						return late
					}
				}
				return 0
			}
		}
	}
	var jobs []*job
	for range small {
		jobs = append(jobs, s.submit("/q/", step{demand: demand{8000, 16384, 1}, Count: 1, EstimateMS: 1000, work: time.Second}))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for _, j := range jobs {
		s.logf("job %s is shown as %s", j.ID, s.phase(j))
	}
	if s.trouble {
		s.late.crash()
		time.Sleep(restartTime)
		s.late.boot("a")
	}
	time.Sleep(late)
	for _, j := range jobs {
		runs := s.taskRuns(j.ID)
		for i, x := range runs {
			for _, y := range runs[:i] {
				if y.how == "done" && x.begun.After(y.ended) {
					s.breach("TWICE: %s begins again at %s, %v after its run at %s has ended done; its job is shown as %s",
						x.task, x.runner, x.begun.Sub(y.ended).Round(time.Millisecond), y.runner, s.phase(j))
				}
			}
		}
	}
}

// overdue: a job that runs each half minute is handed in with a first time nearly a
// year ago, among jobs of other callers.
func overdue(s *scene) {
	const services, times, interval = "render", 1_000_000, 30 * time.Second
	s.configure(1, []string{services}, route{"q", "/q/", services})
	for i := 1; i <= 4; i++ {
		s.addRunner(fmt.Sprintf("i-%02d", i), services, "a", "r1", whole)
	}
	s.startInstances(3)
	time.Sleep(settle)
	sound := func() *job {
		return &job{Queue: "/q/", Steps: []step{{demand: demand{8000, 16384, 8}, Count: 8, EstimateMS: 6000, work: 6 * time.Second}}}
	}
	jobs := []*job{s.submitJob(sound())}
	if s.trouble {
		s.submitJob(&job{
			Queue: "/q/", Times: times, FirstMS: time.Now().Add(-times * interval).UnixMilli(), IntervalMS: interval.Milliseconds(),
			Steps: []step{{demand: demand{8000, 16384, 1}, Count: 1, EstimateMS: 1000, work: time.Second}},
		})
	}
	for range 3 {
		time.Sleep(time.Second)
		if j := sound(); s.offer(j) {
			jobs = append(jobs, j)
		}
	}
	end := time.Now()
	done := make(chan struct{})
	for _, j := range jobs {
		go func() {
			s.watch(j, j.ID, end.Add(finishS), []string{services}, end.Add(60*time.Second))
			s.logf("job %s is shown as %s", j.ID, s.phase(j))
			done <- struct{}{}
		}()
	}
	for range jobs {
		<-done
	}
}

// wide: a large job of tasks that last comes at once. There is room for all of them.
func wide(s *scene) {
	const services = "serve"
	s.configure(1, []string{services}, route{"q", "/q/", services})
	for i := 1; i <= 6; i++ {
		s.addRunner(fmt.Sprintf("i-%02d", i), services, "a", "r1", whole)
	}
	s.startInstances(3)
	time.Sleep(settle)
	count := 1000
	if s.trouble {
		count = 2200
	}
	j := s.submit("/q/", step{demand: demand{CPU: 50, Mem: 64}, Count: count, EstimateMS: 1000, LongRunning: true})
	time.Sleep(30 * time.Second)
	started := make(map[string]bool)
	for _, x := range s.taskRuns(j.ID) {
		started[x.task] = true
	}
	s.logf("%d of %d tasks have begun", len(started), count)
	if len(started) < count {
		s.breach("LOST: %d tasks that last have not begun in 30 s", count-len(started))
	}
}

// cancelled: the store gives no answer for 3 s. A job is handed in and gets no
// certain answer, and its caller cancels it as soon as the store is back. What the
// store has received in the outage takes effect 6 s after its arrival.
func cancelled(s *scene) {
	const (
		services         = "render"
		outage, lateness = 3 * time.Second, 6 * time.Second
		// calm is the time after a disruption that no longer counts as near, and gone
		// the time after which a task of a cancelled job has ended: cancel_ms and
		// stop_ms.
		calm, gone = 4 * time.Second, 3200 * time.Millisecond
	)
	s.configure(1, []string{services}, route{"q", "/q/", services})
	for i := 1; i <= 4; i++ {
		s.addRunner(fmt.Sprintf("i-%02d", i), services, "a", "r1", whole)
	}
	s.startInstances(3)
	time.Sleep(settle)
	begin := time.Now()
	if s.trouble {
		s.store.silence(outage, lateness)
	}
	j := s.newJob(&job{Queue: "/q/", Steps: []step{{demand: demand{8000, 16384, 1}, Count: 1, EstimateMS: 30000, work: 30 * time.Second}}})
	s.callOnce(http.MethodPost, j.Queue+j.ID, j)
	time.Sleep(time.Until(begin.Add(outage + 100*time.Millisecond)))
	status, _ := s.call(http.MethodDelete, j.Queue+j.ID, nil)
	if status/100 != 2 && status != http.StatusGone {
		abort(fmt.Errorf("the cancelling was not acknowledged: %d", status))
	}
	time.Sleep(time.Until(begin.Add(outage + lateness + calm + gone)))
	for _, x := range s.taskRuns(j.ID) {
		if x.ended.IsZero() {
			s.breach("UNASKED: %s is running at %s, %v after the cancelling of its job was acknowledged with %d; the job is shown as %s",
				x.task, x.runner, time.Since(begin.Add(outage)).Round(100*time.Millisecond), status, s.phase(j))
		}
	}
}
