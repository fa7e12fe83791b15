package graph

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// timedJob returns a job of which the given number of occurrences of two steps are due
// long before the times of the tests.
func timedJob(times int) *Job {
	return &Job{
		ID: testID, MaxAttempts: 3, Times: times, First: time.Unix(1000, 0), Interval: time.Second,
		Steps: []Step{{Count: 2}, {Count: 1, After: []int{0}, Checkpoints: true}},
	}
}

var longAfter = time.Unix(1<<31, 0)

// store encodes the snapshot of p as a row does.
func store(t assert.TestingT, p *Progress) []byte {
	value, err := json.Marshal(p.Snapshot())
	assert.NilError(t, err)
	return value
}

func restore(t assert.TestingT, j *Job, value []byte) *Progress {
	var s Snapshot
	assert.NilError(t, json.Unmarshal(value, &s))
	return Restore(j, s)
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestOverdueOccurrences guards against a job of which a million occurrences are due at
// once and which takes the memory of an instance, whether none of them has run, one of
// the first never ends, or an earlier version of the program has listed all in a row.
func TestOverdueOccurrences(t *testing.T) {
	// maxHeap is far below the memory of the smallest instance, 184 MB.
	const times, maxHeap, maxRow = 250_000, 8 << 20, 256 << 10
	j := timedJob(times)
	before := heapInUse()
	check := func(p *Progress) {
		t.Helper()
		value := store(t, p)
		assert.Assert(t, len(value) < maxRow, "row of %d bytes before compression", len(value))
		assert.Assert(t, heapInUse() < before+maxHeap, "%d bytes in use", heapInUse()-before)
		assert.Assert(t, len(p.Ready(allTasks)) <= maxOpenTasks)
	}
	p := NewProgress(j)
	assert.Assert(t, p.Open(longAfter).IsZero())
	check(p)

	// The first occurrence never ends, and 20,000 others do.
	for range 20_000 {
		o := p.Occurrences[1]
		for step := range j.Steps {
			for i := range o.Steps[step].count {
				assert.Assert(t, p.End(TaskID{testID, o.Number, step, i}, 1, Done, ""))
			}
		}
		p.Open(longAfter)
	}
	check(p)
	assert.Equal(t, p.Occurrences[0].Number, 0)
	assert.Equal(t, p.Occurrences[1].Number, 20_001)
	assert.Assert(t, p.IsDone(TaskID{testID, 20_000, 1, 0}))
	assert.Assert(t, !p.IsDone(TaskID{testID, 0, 1, 0}))
	assert.Assert(t, !p.IsDone(TaskID{testID, 20_001, 1, 0}))
	p = restore(t, j, store(t, p))
	check(p)
	assert.Equal(t, p.Occurrences[1].Number, 20_001)

	row := []byte(`{"occurrences":[{"steps":[{"done":"3"},{}]}` + strings.Repeat(`,{"steps":[{},{}]}`, times-1) + `]}`)
	before = heapInUse()
	p = restore(t, j, row)
	assert.Assert(t, p.Task(TaskID{testID, 0, 0, 1}).Done)
	p.Open(longAfter)
	check(p)
	runtime.KeepAlive(row)
}

// TestAllOccurrencesRun guards against occurrences that run twice or never, and jobs
// that never complete, because only some occurrences are open at a time. The progress
// is restored and merged at random moments, as at a change of the leader.
func TestAllOccurrencesRun(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		times := rapid.IntRange(1, 3*maxOpenOccurrences).Draw(r, "times")
		j := timedJob(times)
		p := NewProgress(j)
		p.Open(longAfter)
		done := make(map[TaskID]int)
		stale := p.Snapshot()
		take := uint64(rapid.Uint32().Draw(r, "seed"))
		for rounds := 0; p.Phase() != Completed; rounds++ {
			assert.Assert(r, rounds < 100*times+100, "no progress")
			units := p.Ready(allTasks)
			assert.Assert(r, len(units) > 0, "nothing is ready with %d of %d tasks done", len(done), 3*times)
			for _, u := range units {
				take = take*6364136223846793005 + 1442695040888963407
				if take>>62 == 0 {
					continue
				}
				u.SetBusy(true)
				id := u.Tasks()[0]
				assert.Assert(r, id.Step == 0 || done[TaskID{testID, id.Occurrence, 0, 0}]*done[TaskID{testID, id.Occurrence, 0, 1}] == 1,
					"%v before the step it depends on", id)
				done[id]++
				p.End(id, int64(rounds+1), Done, "")
				u.SetBusy(false)
			}
			p.Open(longAfter)
			switch take >> 33 % 5 {
			case 0:
				p = restore(r, j, store(r, p))
				p.Open(longAfter)
			case 1:
				// A successor that has read an older row learns the rest from the
				// former leader.
				successor := Restore(j, stale)
				successor.Merge(p.Snapshot())
				assert.Equal(r, successor.Phase(), p.Phase())
				successor.Open(longAfter)
				p = successor
			case 2:
				stale = p.Snapshot()
			case 3:
				// A snapshot of an earlier term has nothing new.
				_, changed := p.Merge(stale)
				assert.Assert(r, !changed)
			}
		}
		assert.Equal(r, len(done), 3*times)
		for id, n := range done {
			assert.Equal(r, n, 1, "%v", id)
		}
		assert.Equal(r, restore(r, j, store(r, p)).Phase(), Completed)
	})
}

// TestEarlierForm guards against rows of timed jobs that an earlier version of the
// program can't read, as long as the jobs have had few tasks.
func TestEarlierForm(t *testing.T) {
	j := timedJob(maxListedTasks)
	p := NewProgress(j)
	now := j.First.Add(time.Second)
	p.Open(now)
	for step := range j.Steps {
		for i := range j.Steps[step].Count {
			p.End(TaskID{testID, 0, step, i}, 1, Done, "")
		}
	}
	p.End(TaskID{testID, 1, 0, 1}, 1, Done, "")
	p.Open(now)
	assert.Equal(t, len(p.Occurrences), 1)
	assert.Equal(t, string(store(t, p)), `{"occurrences":[{"steps":[{"done":"3"},{"done":"1"}]},{"steps":[{"done":"2"},{}]}]}`)
	p.Open(longAfter)
	assert.Equal(t, fmt.Sprint(restore(t, j, store(t, p)).Snapshot()), fmt.Sprint(p.Snapshot()))
	assert.Assert(t, p.Snapshot().Opened > 0)
}

// TestBusyOccurrenceStaysOpen guards against tasks whose capacity is forgotten, since
// their gang was completed by the end of another member and its occurrence was closed.
func TestBusyOccurrenceStaysOpen(t *testing.T) {
	j := &Job{ID: testID, Times: 2, First: time.Unix(1000, 0), Interval: time.Second, Steps: []Step{{Count: 2, Gang: true}}}
	p := NewProgress(j)
	p.Open(longAfter)
	u := p.Ready(allTasks)[0]
	u.SetBusy(true)
	u.SetBusy(true)
	p.End(TaskID{Job: testID}, 1, Done, "")
	p.Open(longAfter)
	assert.Assert(t, p.HasUnit(u))
	u.SetBusy(false)
	p.Open(longAfter)
	assert.Assert(t, !p.HasUnit(u))
	u.SetBusy(false)
}

// TestReadyShared guards against steps that are never placed because an earlier one has
// so many tasks that wait.
func TestReadyShared(t *testing.T) {
	j := &Job{ID: testID, Steps: []Step{{Count: 8000, Label: "rare"}, {Count: 3}, {Count: 2, Gang: true}, {Count: 9, After: []int{1}}}}
	p := NewProgress(j)
	p.Open(longAfter)
	counts := make(map[int]int)
	for _, u := range p.Ready(300) {
		counts[u.Step] += len(u.Members)
	}
	assert.DeepEqual(t, counts, map[int]int{0: 100, 1: 3, 2: 2})
	assert.Equal(t, len(p.Ready(1)), 3)
}
