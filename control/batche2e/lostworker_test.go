package batche2e

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// maxStandstill is how long after the loss of a worker its tasks may stand still, as the
// platform's users demand it.
const maxStandstill = 14 * time.Second

// loseForGood cuts a worker and its agent off for good. The upstream process works on until
// its lease ends.
func (s *cluster) loseForGood(id string) {
	s.log.add("w%s is lost", id)
	s.workers[id].stop()
	s.net.Crash("10.0.1." + id)
}

// runsOn reports whether a task runs on a worker. Leases expire as they should.
func (s *cluster) runsOn(id string) bool {
	for _, w := range s.workers {
		w.upstream.expireLease()
	}
	u := s.workers[id].upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.running) > 0
}

// crashOwner waits until one of the entries is the owner, and crashes it after a delay.
func (s *cluster) crashOwner(delay time.Duration) {
	for ; ; s.wait(50 * time.Millisecond) {
		for _, e := range s.entries {
			if string(e.replica.Owner(time.Now()).Owner.Entry) == e.id {
				s.wait(delay)
				s.crash(e)
				return
			}
		}
	}
}

// loseWorkerAndOwners loses a worker with a task, and then a number of owners: the first one a
// while after the loss, the others half a second after they took over. It returns the time from
// the loss until the task runs on another worker.
func (s *cluster) loseWorkerAndOwners(crashAfter time.Duration, owners int) time.Duration {
	for id := range owners + 1 {
		s.startEntry(fmt.Sprint(id + 1))
	}
	s.startWorker("1")
	s.wait(2 * time.Second)
	s.submit(s.entries["1"], "bulk", job1, "60s", 1)
	s.wait(2 * time.Second)
	s.startWorker("2")
	s.wait(time.Second)
	s.loseForGood("1")
	lost := time.Now()
	s.crashOwner(crashAfter)
	for range owners - 1 {
		s.crashOwner(500 * time.Millisecond)
	}
	for !s.runsOn("2") && time.Since(lost) < time.Minute {
		s.wait(50 * time.Millisecond)
	}
	return time.Since(lost)
}

// Guards against tasks of a lost worker that stand still because each new owner counts the
// worker's lease anew.
func TestLostWorkersTasksRunElsewhereDespiteNewOwners(t *testing.T) {
	for _, c := range []struct {
		owners     int
		crashAfter time.Duration
	}{
		{1, 3500 * time.Millisecond}, {1, 4 * time.Second}, {1, 5 * time.Second}, {1, 7 * time.Second}, {1, 9 * time.Second},
		{2, 3500 * time.Millisecond}, {2, 4 * time.Second}, {2, 5 * time.Second}, {2, 7 * time.Second},
		{3, 3500 * time.Millisecond}, {3, 4 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d_owners_the_first_after_%v", c.owners, c.crashAfter), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t)
				s.lease = 10 * time.Second
				took := s.loseWorkerAndOwners(c.crashAfter, c.owners)
				t.Logf("the task runs again after %v", took)
				if took > maxStandstill {
					t.Errorf("the task stands still for %v, more than %v", took, maxStandstill)
				}
				s.close()
			})
		})
	}
}

// Guards against tasks of a lost worker that stand still for as long as a start without an answer
// may be carried out, though the owner had the answer before everything was lost: the row that the
// next owner finds was written before the answer, and nothing had to be written since.
func TestAnsweredStartsDoNotHoldTasksOfLostWorkers(t *testing.T) {
	for _, age := range []time.Duration{20, 60, 150, 300, 900} {
		age *= time.Millisecond
		t.Run(fmt.Sprintf("lost_%v_after_the_start", age), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t)
				s.lease = 10 * time.Second
				e := s.startEntry("1")
				s.startWorker("1")
				s.wait(2 * time.Second)
				s.submit(e, "bulk", job1, "60s", 1)
				for !s.runsOn("1") {
					s.wait(time.Millisecond)
				}
				s.wait(age)
				s.loseForGood("1")
				s.crash(e)
				lost := time.Now()
				s.wait(700 * time.Millisecond)
				s.startEntry("1")
				s.startWorker("2")
				for !s.runsOn("2") && time.Since(lost) < time.Minute {
					s.wait(50 * time.Millisecond)
				}
				if took := time.Since(lost); took > maxStandstill {
					t.Errorf("the task stands still for %v, more than %v", took, maxStandstill)
				}
				s.close()
			})
		})
	}
}

// Guards against tasks that run twice, or are cut short, because a worker that is back from a
// silence counts as silent for the next owner, which it may not reach.
func TestWorkerThatIsBackKeepsItsTasksAcrossOwners(t *testing.T) {
	for _, silence := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second, 7 * time.Second} {
		for crashAfter := time.Duration(0); crashAfter <= 2*time.Second; crashAfter += 250 * time.Millisecond {
			for _, lost := range []bool{false, true} {
				t.Run(fmt.Sprintf("silent_%v_crash_after_%v_lost_then_%v", silence, crashAfter, lost), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newCluster(t)
						s.lease = 10 * time.Second
						s.cutWorkerOff(silence, crashAfter)
						s.setLinks("1", lost)
						for range 180 {
							s.wait(100 * time.Millisecond)
							if s.runsOn("1") && s.runsOn("2") {
								t.Fatal("the task runs twice at the same time")
							}
						}
						if s.runsOn("2") != lost || s.runsOn("1") == lost {
							t.Errorf("the task runs on the worker that was back: %v, on the other one: %v", s.runsOn("1"), s.runsOn("2"))
						}
						s.close()
					})
				})
			}
		}
	}
}

// setLinks takes the links of a worker to all entries down, or restores them.
func (s *cluster) setLinks(worker string, down bool) {
	for id := range 2 {
		s.net.SetLinkDown(fmt.Sprint("10.0.0.", id+1), "10.0.1."+worker, down)
	}
}

// cutWorkerOff cuts a worker with a task off from all entries for a while. The owner crashes the
// given time after that.
func (s *cluster) cutWorkerOff(silence, crashAfter time.Duration) {
	for id := range 2 {
		s.startEntry(fmt.Sprint(id + 1))
	}
	s.startWorker("1")
	s.wait(2 * time.Second)
	s.submit(s.entries["1"], "bulk", job1, "60s", 1)
	s.wait(2 * time.Second)
	s.startWorker("2")
	s.wait(time.Second)
	s.setLinks("1", true)
	s.wait(silence)
	s.setLinks("1", false)
	s.crashOwner(crashAfter)
}
