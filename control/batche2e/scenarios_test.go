package batche2e

import (
	"testing"
	"time"
)

// Guards against jobs that are lost, answered wrongly or run twice without any
// fault, also when they are submitted twice.
func TestSubmitAndComplete(t *testing.T) {
	runScenario(t, "submit", func(s *cluster) {
		a, b := s.startEntry("1"), s.startEntry("2")
		s.startWorker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "2s", 2)
		s.wait(300 * time.Millisecond)
		s.submit(b, "bulk", job1, "2s", 2)
		s.queryState(b, "bulk", job1)
		s.queryState(b, "urgent", job1)
		s.queryState(b, "bulk", job2)
		s.wait(3 * time.Second)
		s.queryState(a, "bulk", job1)
		s.queryState(b, "bulk", job1)
	})
}

// Guards against tasks that keep running after their cancellation was answered.
func TestCancel(t *testing.T) {
	runScenario(t, "cancel", func(s *cluster) {
		a, b := s.startEntry("1"), s.startEntry("2")
		s.startWorker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "20s", 2)
		s.wait(time.Second)
		s.cancel(b, "bulk", job1)
		s.queryState(b, "bulk", job1)
		s.wait(time.Second)
		s.queryState(a, "bulk", job1)
		s.cancel(a, "bulk", job2)
	})
}

// Guards against a new owner that starts tasks again that are still running.
func TestTakeoverKeepsRunningWork(t *testing.T) {
	runScenario(t, "takeover", func(s *cluster) {
		a := s.startEntry("1")
		s.startWorker("1")
		s.wait(2 * time.Second)
		b := s.startEntry("2")
		s.wait(time.Second)
		s.submit(b, "bulk", job1, "9s", 1)
		s.wait(time.Second)
		s.crash(a)
		s.submit(b, "bulk", job2, "1s", 1)
		s.wait(12 * time.Second)
		s.queryState(b, "bulk", job1)
		s.queryState(b, "bulk", job2)
	})
}

// Guards against an interruption of service when an owner shuts down as planned.
func TestHandover(t *testing.T) {
	runScenario(t, "handover", func(s *cluster) {
		a := s.startEntry("1")
		s.startWorker("1")
		s.wait(2 * time.Second)
		b := s.startEntry("2")
		s.wait(time.Second)
		s.submit(b, "bulk", job1, "4s", 1)
		s.wait(time.Second)
		s.shutDown(a)
		s.submit(b, "bulk", job2, "1s", 1)
		s.wait(6 * time.Second)
		s.queryState(b, "bulk", job1)
		s.queryState(b, "bulk", job2)
	})
}

// Guards against a task that runs twice because its first start had no answer
// and was executed late.
func TestStartsThatExecuteLate(t *testing.T) {
	runScenario(t, "late-order", func(s *cluster) { submitWithDelayedStarts(s, 4) })
}

// Guards against a start that is abandoned because one answer was lost.
func TestRepeatedStart(t *testing.T) {
	runScenario(t, "repeated-order", func(s *cluster) { submitWithDelayedStarts(s, 1) })
}

// submitWithDelayedStarts submits a job whose first starts get no answer and are
// executed three seconds later.
func submitWithDelayedStarts(s *cluster, starts int) {
	a := s.startEntry("1")
	w := s.startWorker("1")
	s.wait(2 * time.Second)
	w.upstream.mu.Lock()
	w.upstream.delayedStarts, w.upstream.startDelay = starts, 3*time.Second
	w.upstream.mu.Unlock()
	s.submit(a, "bulk", job1, "2s", 1)
	s.wait(8 * time.Second)
	s.queryState(a, "bulk", job1)
}

// Guards against new tasks on a draining worker.
func TestDrain(t *testing.T) {
	runScenario(t, "drain", func(s *cluster) {
		a := s.startEntry("1")
		w := s.startWorker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "2s", 1)
		s.wait(time.Second)
		s.log.add("w1 drains")
		w.announce(true)
		s.wait(100 * time.Millisecond)
		s.submit(a, "bulk", job2, "1s", 1)
		s.wait(2 * time.Second)
		s.queryState(a, "bulk", "")
		s.startWorker("2")
		s.wait(3 * time.Second)
		s.queryState(a, "bulk", job1)
		s.queryState(a, "bulk", job2)
	})
}

// Guards against keys that are still accepted after their removal.
func TestKeyRemoval(t *testing.T) {
	runScenario(t, "key-removal", func(s *cluster) {
		a := s.startEntry("1")
		s.startWorker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "1s", 1)
		s.log.add("the key is removed")
		s.catalog.Store(catalogWith("other"))
		s.submit(a, "bulk", job2, "1s", 1)
		s.queryState(a, "bulk", job1)
		s.wait(2 * time.Second)
		s.log.add("the key is back")
		s.catalog.Store(catalogWith("key"))
		s.queryState(a, "bulk", job1)
	})
}

// Guards against lost jobs when every process of the system restarts at once.
func TestColdStart(t *testing.T) {
	runScenario(t, "cold-start", func(s *cluster) {
		a, b := s.startEntry("1"), s.startEntry("2")
		s.startWorker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "5s", 1)
		s.wait(time.Second)
		s.crash(a)
		s.crash(b)
		s.workers["1"].stop()
		s.wait(time.Second)
		a, b = s.startEntry("1"), s.startEntry("2")
		s.startAgent("1")
		s.wait(time.Second)
		s.submit(b, "bulk", job2, "1s", 1)
		s.wait(8 * time.Second)
		s.queryState(a, "bulk", job1)
		s.queryState(b, "bulk", job2)
	})
}

// Guards against an owner that acts on wrong state when the answer to its own
// transaction is lost, and against lost work while the store is down.
func TestStoreOutage(t *testing.T) {
	runScenario(t, "store-trouble", func(s *cluster) {
		a := s.startEntry("1")
		s.startWorker("1")
		s.wait(2 * time.Second)
		a.store.set(func(c *storeClient) { c.loseNextAnswer = true })
		s.submit(a, "bulk", job1, "4s", 1)
		s.wait(time.Second)
		s.log.add("the store is down")
		a.store.set(func(c *storeClient) { c.down = true })
		s.submit(a, "bulk", job2, "1s", 1)
		s.wait(4 * time.Second)
		s.log.add("the store is back")
		a.store.set(func(c *storeClient) { c.down = false })
		s.wait(time.Second)
		s.queryState(a, "bulk", job1)
		s.submit(a, "bulk", job2, "1s", 1)
		s.wait(3 * time.Second)
		s.queryState(a, "bulk", job2)
	})
}

// Guards against tasks that are stopped or started twice when an entry with a
// larger CPU share replaces an owner that is alive.
func TestStrongEntryReplacesWeakOwner(t *testing.T) {
	runScenario(t, "relief", func(s *cluster) {
		a := s.startEntryWithCPU("1", 0.2)
		s.startWorker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "12s", 1)
		s.wait(time.Second)
		b := s.startEntryWithCPU("2", 0.8)
		s.wait(7 * time.Second)
		s.log.add("entry %s is owner", b.replica.Owner(time.Now()).Owner.Entry)
		s.submit(a, "bulk", job2, "1s", 1)
		s.wait(6 * time.Second)
		s.queryState(b, "bulk", job1)
		s.queryState(b, "bulk", job2)
	})
}
