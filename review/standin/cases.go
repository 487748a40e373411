package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

// downTime is how long a killed process stays away: node_kill with for_s = 3.5.
const downTime = 3500 * time.Millisecond

// smallDeployment starts entries and minions of one kind and waits until they serve.
func smallDeployment(log *record, entries, minions int, capacity demand) *system {
	s := newSystem(log)
	s.configure()
	for i := range entries {
		s.addEntry(i + 1)
	}
	for i := range minions {
		s.addMinion(i+1, "a", rackOf(i+1), capacity)
	}
	s.awaitReady()
	return s
}

// rackOf puts three minions into a rack.
func rackOf(i int) string { return fmt.Sprintf("r1-%d", i/3) }

// killOwner kills the entry that gives the orders and starts it again after downTime.
func (s *system) killOwner() {
	p := s.owner()
	s.kill(p)
	time.AfterFunc(downTime, func() { s.launch(p) })
}

// minionSize is that of twr-pier: 64 cores, 128 GB, 8 GPUs.
var minionSize = demand{64000, 131072, 8}

// manyStarts hands in jobs of 60 small tasks at a steady rate and kills the owner once.
func manyStarts(log *record, trouble bool) bool {
	s := smallDeployment(log, 3, 2, minionSize)
	defer s.stop()
	s.specBytes = 1000
	var jobs []*job
	if trouble {
		time.AfterFunc(4*time.Second, s.killOwner)
	}
	for i := range 36 {
		jobs = append(jobs, s.submit(jobID(i), step{Count: 60, CPU: 100, MemMB: 64, EstimatedMs: 1000, work: constant(time.Second)}))
		time.Sleep(300 * time.Millisecond)
	}
	return len(s.idleJobs(jobs, time.Now())) == 0
}

// manyEnds has 600 tasks at work on one minion, which end within about a second, and kills
// the owner before that.
func manyEnds(log *record, trouble bool) bool {
	s := smallDeployment(log, 3, 1, minionSize)
	defer s.stop()
	end := time.Now().Add(14 * time.Second)
	if trouble {
		time.AfterFunc(time.Until(end)-500*time.Millisecond, s.killOwner)
	}
	var jobs []*job
	for i := range 12 {
		jobs = append(jobs, s.submit(jobID(i), step{Count: 50, CPU: 100, MemMB: 64, EstimatedMs: int(time.Until(end).Milliseconds()), work: until(end)}))
		time.Sleep(600 * time.Millisecond)
	}
	time.Sleep(time.Until(end.Add(15 * time.Second)))
	for _, j := range jobs {
		j.state = s.state(j)
		log.line("job %s is shown as %s", j.id, j.state)
	}
	return s.fleet.checkRepeats() == 0 && len(s.fleet.broken) == 0
}

// until returns the work of tasks that end one after another within a second of a time.
func until(end time.Time) func(int) time.Duration {
	return func(index int) time.Duration {
		return max(200*time.Millisecond, time.Until(end)+time.Duration(index)*20*time.Millisecond)
	}
}

// largeRecords brings 44 jobs to a point where all but 13 of their 398 tasks are done. Eight of
// these are at work, one on each minion, and end one after another; the store refuses all
// calls in that time.
func largeRecords(log *record, trouble bool) bool {
	s := smallDeployment(log, 3, 8, minionSize)
	defer s.stop()
	const jobCount, gap = 44, 450 * time.Millisecond
	lastSteps := time.Now().Add(jobCount*gap + 10*time.Second)
	if trouble {
		time.AfterFunc(time.Until(lastSteps), func() {
			log.line("the store answers every call with 503")
			s.store.setDown(true)
			time.Sleep(4500 * time.Millisecond)
			s.store.setDown(false)
			log.line("the store serves again")
		})
	}
	var jobs []*job
	for i := range jobCount {
		first := step{Count: 385, CPU: 1000, MemMB: 64, EstimatedMs: 300, work: constant(300 * time.Millisecond)}
		last := step{Count: 8, CPU: 1000, MemMB: 64, PerServer: 1, EstimatedMs: 20000, After: []int{0}, work: func(index int) time.Duration {
			return max(time.Second, time.Until(lastSteps)+time.Duration(300+index*480+i*8)*time.Millisecond)
		}}
		report := step{Count: 5, CPU: 1000, MemMB: 64, EstimatedMs: 500, After: []int{1}, work: constant(500 * time.Millisecond)}
		jobs = append(jobs, s.submit(jobID(i), first, last, report))
		time.Sleep(gap)
	}
	idle := s.idleJobs(jobs, lastSteps.Add(6*time.Second))
	s.store.mu.Lock()
	log.line("largest transaction sent: %d bytes; refused because of its size: %d", s.store.largestTx, s.store.refusedSize)
	s.store.mu.Unlock()
	return len(idle) == 0
}

// lastAttempt has one minion of kind b, which for a while fails all that it starts. A job
// that needs that kind comes then, and is left with one attempt.
func lastAttempt(log *record, trouble bool) bool {
	s := smallDeployment(log, 3, 3, minionSize)
	defer s.stop()
	m := s.addMinion(4, "b", rackOf(4), minionSize)
	time.Sleep(3 * time.Second)
	work := func(label string) step {
		return step{Count: 1, CPU: 5600, MemMB: 11000, GPU: 1, EstimatedMs: 2000, Label: label, work: constant(2 * time.Second)}
	}
	jobs := []*job{s.submit(jobID(0), work("b")), s.submit(jobID(1), work("a"))}
	time.Sleep(4 * time.Second)
	if trouble {
		m.setFailing(true)
		time.AfterFunc(4*time.Second, func() { m.setFailing(false) })
	}
	time.Sleep(time.Second)
	jobs = append(jobs, s.submit(jobID(2), work("b")))
	for i := range 10 {
		jobs = append(jobs, s.submit(jobID(3+i), work("a")))
		time.Sleep(time.Second)
	}
	return len(s.idleJobs(jobs, time.Now())) == 0
}

// cutTime is that of core_cut: for_s = 5.5.
const cutTime = 5500 * time.Millisecond

// Traffic of lateStarts: small jobs come every usualPause, and 2.5 times as often in a burst.
const (
	usualPause = 55 * time.Millisecond
	burstPause = 22 * time.Millisecond
)

// lateStarts hands in small jobs, of which clients cancel 40% within 0.9 s of their acceptance.
// The traffic comes in waves that end with a burst. In each burst, the owner is cut off from
// the store, and the other entries within the next 1.4 s.
func lateStarts(log *record, trouble bool) bool {
	s := smallDeployment(log, 3, 2, minionSize)
	defer s.stop()
	var clients sync.WaitGroup
	jobs := 0
	traffic := func(pause, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
			jobs++
			id := jobID(jobs)
			clients.Go(func() { s.submitAndMayCancel(id) })
		}
	}
	for range 7 {
		traffic(usualPause, 3*time.Second)
		traffic(burstPause, 1200*time.Millisecond)
		if trouble {
			s.cutAllInTurn()
		}
		traffic(burstPause, time.Second)
		time.Sleep(7 * time.Second)
	}
	clients.Wait()
	time.Sleep(6 * time.Second)
	return s.fleet.checkCanceled() == 0
}

func (s *system) submitAndMayCancel(id string) {
	j := s.submit(id, step{Count: 1, CPU: 5600, MemMB: 11000, GPU: 1, EstimatedMs: 900, work: constant(900 * time.Millisecond)})
	if j.accepted.IsZero() || rand.Float64() >= 0.4 {
		return
	}
	time.Sleep(time.Duration(rand.Int63n(int64(900 * time.Millisecond))))
	s.cancel(j)
}

// cutAllInTurn cuts the owner off from the store now, and the other entries soon.
func (s *system) cutAllInTurn() {
	owner, wait := s.owner(), time.Duration(0)
	for i, p := range s.entries {
		if p == owner {
			go s.cutEntry(i, 0)
			continue
		}
		wait += 700 * time.Millisecond
		go s.cutEntry(i, wait)
	}
}

func (s *system) cutEntry(i int, after time.Duration) {
	time.Sleep(after)
	s.log.line("%s is cut off from the store", s.entries[i].name)
	s.links[i].cutFor(cutTime)
	s.log.line("%s reaches the store again", s.entries[i].name)
}
