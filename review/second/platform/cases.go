package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// jobID returns the identifier of the n-th job of a kind.
func jobID(kind, n int) string { return fmt.Sprintf("%08x%08x", kind, n) }

// guaranteeCase checks RECLAIM: tenant north has 64 accelerators guaranteed and needs 8
// of them, while tenant south has come to use the whole site for tasks that last.
func guaranteeCase(s *site, trouble bool) bool {
	const (
		reclaim = 2700 * time.Millisecond
		shown   = 30 * time.Second
		usual   = 5
		burst   = 14 // 2.8 times the usual number
		tasks   = 4
	)
	jobs := usual
	if trouble {
		jobs = burst
	}
	lasting := job{Spec: "lasting", Steps: []step{{
		capacity: capacity{CPU: 8000, MemoryMB: 32768, GPU: 8}, Count: tasks, LongRunning: true, MayMiss: 1,
	}}}
	for i := range jobs {
		s.submit(s.instances[i%len(s.instances)], "key-south", "/plain/", jobID(1, i), lasting)
	}
	full := min(jobs*tasks, len(s.runners))
	s.await(fmt.Sprintf("%d tasks of south are at work", full), 15*time.Second, func() bool {
		n := 0
		for i := range jobs {
			n += s.atWork(jobID(1, i))
		}
		return n == full
	})
	time.Sleep(2 * time.Second)
	id := jobID(2, 0)
	s.submit(s.instances[0], "key-north", "/urgent/", id, job{Spec: "work 2500", Steps: []step{{
		capacity: capacity{CPU: 8000, MemoryMB: 32768, GPU: 8}, Count: 1, EstimateMS: 2500,
	}}})
	acked := time.Now()
	for s.startsOf(id) == 0 && time.Since(acked) < shown {
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(acked)
	s.note("case", "job %s of north: %d starts %.1f s after its ack", id, s.startsOf(id), took.Seconds())
	for i := range jobs {
		s.note("case", "job %s of south, which may miss 1 task: %d of %d at work", jobID(1, i), s.atWork(jobID(1, i)), tasks)
	}
	s.call(s.instances[1], http.MethodGet, "key-north", "/urgent/"+id, nil)
	return took <= reclaim
}

// waitingCase checks MIXED: the number of waiting jobs of a queue. Three jobs can only
// run on the runners of one rack, which has just been lost.
func waitingCase(s *site, trouble bool) bool {
	const (
		rack    = "r1-1"
		jobs    = 3
		visible = 3 * time.Second
		margin  = 2 * time.Second
	)
	if trouble {
		for _, r := range s.runners {
			if r.labels[1] == rack {
				r.crash()
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	for i := range jobs {
		s.submit(s.instances[i], "key-south", "/plain/", jobID(3, i), job{Spec: "work 2500", Steps: []step{{
			capacity: capacity{CPU: 8000, MemoryMB: 32768, GPU: 8}, Count: 1, EstimateMS: 2500, Requires: rack,
		}}})
	}
	held := true
	for acked := time.Now(); time.Since(acked) < 20*time.Second; time.Sleep(time.Second) {
		waiting := 0
		for i := range jobs {
			if s.startsOf(jobID(3, i)) == 0 {
				waiting++
			}
		}
		late := time.Since(acked) > visible+margin
		for _, in := range s.instances[:2] {
			status, body := s.call(in, http.MethodGet, "key-south", "/plain/", nil)
			var answer struct{ Waiting *int }
			if status != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.Waiting == nil {
				continue
			}
			if late && 2**answer.Waiting < waiting {
				s.note("case", "%d jobs have not begun, %s gives %d as waiting", waiting, in.name, *answer.Waiting)
				held = false
			}
		}
	}
	return held
}

// lastingCase checks LOST for a task that lasts: the runner of one of eight tasks is lost
// for good. Their data is on a rack whose other runners are taken, and five other racks
// are idle.
func lastingCase(s *site, trouble bool) bool {
	const (
		rack  = "r1-1"
		tasks = runnersPerRack
		shown = 40 * time.Second
		// A task may be away for lastRun after its last run, and for idle beyond that.
		lastRun = 6 * time.Second
		idle    = 3 * time.Second
	)
	id := jobID(4, 0)
	s.submit(s.instances[0], "key-south", "/plain/", id, job{Spec: "lasting", Steps: []step{{
		capacity: capacity{CPU: 8000, MemoryMB: 32768, GPU: 8}, Count: tasks, LongRunning: true, Affinity: rack, EstimateMS: 600_000,
	}}})
	s.await("all tasks are at work", 15*time.Second, func() bool { return s.atWork(id) == tasks })
	time.Sleep(4 * time.Second)
	if trouble {
		for _, r := range s.runners {
			if r.atWork(id) > 0 {
				r.crash()
				break
			}
		}
	}
	crashed, held := time.Now(), true
	for time.Since(crashed) < shown {
		away := tasks - s.atWork(id)
		if away > 0 && held && time.Since(crashed) > lastRun+idle {
			s.note("case", "%d task does not run, %d of %d runners are idle", away, s.idleRunners(), len(s.runners))
			held = false
		}
		if away == 0 && (!trouble || time.Since(crashed) > lastRun) && !held {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.note("case", "%d of %d tasks run, %d runners are idle, %.1f s after", s.atWork(id), tasks, s.idleRunners(), time.Since(crashed).Seconds())
	return held
}

// urgentCase checks RECLAIM: tenant north has 64 accelerators guaranteed and needs 8 of them,
// while tenant south has come to use all processors for urgent tasks that last and need no
// accelerator.
func urgentCase(s *site, trouble bool) bool {
	const (
		reclaim = 2700 * time.Millisecond
		shown   = 30 * time.Second
		usual   = 18
		burst   = 48 // 2.67 times the usual number
	)
	jobs := usual
	if trouble {
		jobs = burst
	}
	lasting := job{Spec: "lasting", Steps: []step{{
		capacity: capacity{CPU: 64000, MemoryMB: 32768}, Count: 1, LongRunning: true,
	}}}
	for i := range jobs {
		s.submit(s.instances[i%len(s.instances)], "key-south", "/urgent/", jobID(5, i), lasting)
	}
	s.await(fmt.Sprintf("%d tasks of south are at work", jobs), 15*time.Second, func() bool {
		n := 0
		for i := range jobs {
			n += s.atWork(jobID(5, i))
		}
		return n == jobs
	})
	time.Sleep(2 * time.Second)
	id := jobID(6, 0)
	s.submit(s.instances[0], "key-north", "/urgent/", id, job{Spec: "work 2500", Steps: []step{{
		capacity: capacity{CPU: 8000, MemoryMB: 32768, GPU: 8}, Count: 1, EstimateMS: 2500,
	}}})
	acked := time.Now()
	for s.startsOf(id) == 0 && time.Since(acked) < shown {
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(acked)
	s.note("case", "job %s of north: %d starts %.1f s after its ack", id, s.startsOf(id), took.Seconds())
	s.call(s.instances[1], http.MethodGet, "key-north", "/urgent/"+id, nil)
	return took <= reclaim
}

// gangCase checks RECLAIM: tenant north has a gang of 128 small tasks of priority 0, which fit
// on one runner. Tenant south has come to use all runners of the leader's region, so that
// the gang goes to a runner of the other region.
func gangCase(s *site, trouble bool) bool {
	const (
		reclaim = 2700 * time.Millisecond
		shown   = 40 * time.Second
		usual   = 12
		burst   = 32 // 2.67 times the usual number
		members = 128
	)
	if zone := s.leaderZone(); regions[zone] != storeRegion {
		s.fail("the case could not run: the leader is in zone %q", zone)
	}
	jobs := usual
	if trouble {
		jobs = burst
	}
	for i := range jobs {
		s.submit(s.instances[i%len(s.instances)], "key-south", "/plain/", jobID(7, i), job{Spec: "lasting", Steps: []step{{
			capacity: capacity{CPU: 64000, MemoryMB: 32768}, Count: 1, LongRunning: true,
		}}})
	}
	s.await(fmt.Sprintf("%d tasks of south are at work", jobs), 15*time.Second, func() bool {
		n := 0
		for i := range jobs {
			n += s.atWork(jobID(7, i))
		}
		return n == jobs
	})
	time.Sleep(2 * time.Second)
	id := jobID(8, 0)
	s.submit(s.instances[0], "key-north", "/urgent/", id, job{Spec: "work 2500", Steps: []step{{
		capacity: capacity{CPU: 500, MemoryMB: 256}, Count: members, EstimateMS: 2500, Gang: true,
	}}})
	acked := time.Now()
	time.Sleep(reclaim)
	begun := s.begunTasks(id)
	s.note("case", "%d of %d tasks of %s have begun %v after its ack", begun, members, id, reclaim)
	for !s.gangComplete(id) && time.Since(acked) < shown {
		time.Sleep(20 * time.Millisecond)
	}
	s.note("case", "all members of a run of %s together: %v, %.1f s after its ack, %d starts", id, s.gangComplete(id),
		time.Since(acked).Seconds(), s.startsOf(id))
	s.call(s.instances[1], http.MethodGet, "key-north", "/urgent/"+id, nil)
	return begun == members
}

// twiceCase checks TWICE: the first try of a start arrives late. By then the second try has
// been carried out, the task is done, and the runner, idle since, has restarted while the
// store is down, so that the list doesn't show it.
func twiceCase(s *site, trouble bool) bool {
	const (
		outageAt  = 3 * time.Second
		crashAt   = 4 * time.Second
		restartAt = 6500 * time.Millisecond
		outageEnd = 9 * time.Second
		end       = 12 * time.Second
	)
	task := step{capacity: capacity{CPU: 8000, MemoryMB: 32768, GPU: 8}, Count: 1, EstimateMS: 1000}
	for i := range 20 {
		s.submit(s.instances[i%len(s.instances)], "key-south", "/plain/", jobID(9, i), job{Spec: "work 1000", Steps: []step{task}})
	}
	time.Sleep(3 * time.Second)
	id := jobID(10, 0)
	if trouble {
		s.mu.Lock()
		s.lateJob = id
		s.mu.Unlock()
	}
	begun := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begun.Add(d))) }
	s.submit(s.instances[0], "key-south", "/plain/", id, job{Spec: "work 1000", Steps: []step{task}})
	at(outageAt)
	if _, body := s.call(s.instances[1], http.MethodGet, "key-south", "/plain/"+id, nil); string(body) != `{"phase":"completed"}` {
		s.fail("the case could not run: the job is not completed")
	}
	done := s.startsOf(id)
	if trouble {
		s.store.down.Store(true)
		s.note("store", "is down")
		at(crashAt)
		s.lateRunner.crash()
		at(restartAt)
		s.lateRunner.restart()
		at(outageEnd)
		s.store.down.Store(false)
		s.note("store", "is back")
	}
	at(end)
	s.note("case", "%d starts of the task of %s, %d of them after the job was shown as completed", s.startsOf(id), id, s.startsOf(id)-done)
	return s.startsOf(id) == done
}

// wideCase checks LOST for tasks that last: those of a job with more than 2,000 tasks.
func wideCase(s *site, trouble bool) bool {
	const (
		usual, burst = 800, 2200 // 2.75 times the usual number
		shown        = 40 * time.Second
	)
	tasks := usual
	if trouble {
		tasks = burst
	}
	id := jobID(11, 0)
	s.submit(s.instances[0], "key-south", "/plain/", id, job{Spec: "lasting", Steps: []step{{
		capacity: capacity{CPU: 100, MemoryMB: 100}, Count: tasks, LongRunning: true,
	}}})
	for acked := time.Now(); s.atWork(id) < tasks && time.Since(acked) < shown; time.Sleep(100 * time.Millisecond) {
	}
	s.note("case", "%d of %d tasks at work, %d runners are idle", s.atWork(id), tasks, s.idleRunners())
	return s.atWork(id) == tasks
}

// nearCase checks LOST: a job has its data on a rack that others have come to fill, on a site
// whose runners have no accelerators. All other runners are idle.
func nearCase(s *site, trouble bool) bool {
	const (
		rack         = "r1-1"
		usual, burst = 3, 8 // 2.67 times the usual number
		// limit is finish_s and the 3 s for which the job may have nothing running.
		limit = 17 * time.Second
	)
	jobs := usual
	if trouble {
		jobs = burst
	}
	task := step{capacity: capacity{CPU: 64000, MemoryMB: 32768}, Count: 1, Affinity: rack}
	lasting := task
	lasting.LongRunning = true
	for i := range jobs {
		s.submit(s.instances[0], "key-south", "/plain/", jobID(12, i), job{Spec: "lasting", Steps: []step{lasting}})
	}
	time.Sleep(2 * time.Second)
	id := jobID(13, 0)
	task.EstimateMS = 60_000
	s.submit(s.instances[0], "key-north", "/plain/", id, job{Spec: "work 60000", Steps: []step{task}})
	acked := time.Now()
	for s.startsOf(id) == 0 && time.Since(acked) < limit {
		time.Sleep(20 * time.Millisecond)
	}
	s.note("case", "%d starts of %s, %.1f s after its ack; %d runners are idle", s.startsOf(id), id, time.Since(acked).Seconds(), s.idleRunners())
	return s.startsOf(id) > 0
}
