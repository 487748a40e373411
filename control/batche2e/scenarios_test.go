package batche2e

import (
	"testing"
	"time"
)

// Guards against jobs that are lost, answered wrongly or run twice on the plain
// path, also when they are handed in twice.
func TestSubmitAndComplete(t *testing.T) {
	session(t, "submit", func(s *system) {
		a, b := s.entry("1"), s.entry("2")
		s.worker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "2s", 2)
		s.wait(300 * time.Millisecond)
		s.submit(b, "bulk", job1, "2s", 2)
		s.state(b, "bulk", job1)
		s.state(b, "urgent", job1)
		s.state(b, "bulk", job2)
		s.wait(3 * time.Second)
		s.state(a, "bulk", job1)
		s.state(b, "bulk", job1)
	})
}

// Guards against work that goes on after the answer to its cancellation.
func TestCancel(t *testing.T) {
	session(t, "cancel", func(s *system) {
		a, b := s.entry("1"), s.entry("2")
		s.worker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "20s", 2)
		s.wait(time.Second)
		s.cancel(b, "bulk", job1)
		s.state(b, "bulk", job1)
		s.wait(time.Second)
		s.state(a, "bulk", job1)
		s.cancel(a, "bulk", job2)
	})
}

// Guards against a new owner that starts running work again.
func TestTakeoverKeepsRunningWork(t *testing.T) {
	session(t, "takeover", func(s *system) {
		a := s.entry("1")
		s.worker("1")
		s.wait(2 * time.Second)
		b := s.entry("2")
		s.wait(time.Second)
		s.submit(b, "bulk", job1, "9s", 1)
		s.wait(time.Second)
		s.crash(a)
		s.submit(b, "bulk", job2, "1s", 1)
		s.wait(12 * time.Second)
		s.state(b, "bulk", job1)
		s.state(b, "bulk", job2)
	})
}

// Guards against a pause in service when an owner leaves as planned.
func TestHandover(t *testing.T) {
	session(t, "handover", func(s *system) {
		a := s.entry("1")
		s.worker("1")
		s.wait(2 * time.Second)
		b := s.entry("2")
		s.wait(time.Second)
		s.submit(b, "bulk", job1, "4s", 1)
		s.wait(time.Second)
		s.leave(a)
		s.submit(b, "bulk", job2, "1s", 1)
		s.wait(6 * time.Second)
		s.state(b, "bulk", job1)
		s.state(b, "bulk", job2)
	})
}

// Guards against a task that runs twice because its first start had no answer
// and was carried out late.
func TestLateOrder(t *testing.T) {
	session(t, "late-order", func(s *system) { lateOrder(s, 4) })
}

// Guards against a start that is given up because one answer was lost.
func TestRepeatedOrder(t *testing.T) {
	session(t, "repeated-order", func(s *system) { lateOrder(s, 1) })
}

// lateOrder submits a job whose first starts get no answer and are carried out
// three seconds later.
func lateOrder(s *system, starts int) {
	a := s.entry("1")
	w := s.worker("1")
	s.wait(2 * time.Second)
	w.upstream.mu.Lock()
	w.upstream.lateStarts, w.upstream.lateBy = starts, 3*time.Second
	w.upstream.mu.Unlock()
	s.submit(a, "bulk", job1, "2s", 1)
	s.wait(8 * time.Second)
	s.state(a, "bulk", job1)
}

// Guards against new work for a worker that is about to leave.
func TestDrain(t *testing.T) {
	session(t, "drain", func(s *system) {
		a := s.entry("1")
		w := s.worker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "2s", 1)
		s.wait(time.Second)
		s.log.add("w1 drains")
		w.announce(true)
		s.wait(100 * time.Millisecond)
		s.submit(a, "bulk", job2, "1s", 1)
		s.wait(2 * time.Second)
		s.state(a, "bulk", "")
		s.worker("2")
		s.wait(3 * time.Second)
		s.state(a, "bulk", job1)
		s.state(a, "bulk", job2)
	})
}

// Guards against keys that still work after their removal.
func TestKeyRemoval(t *testing.T) {
	session(t, "key-removal", func(s *system) {
		a := s.entry("1")
		s.worker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "1s", 1)
		s.log.add("the key is removed")
		s.catalog.Store(catalogWith("other"))
		s.submit(a, "bulk", job2, "1s", 1)
		s.state(a, "bulk", job1)
		s.wait(2 * time.Second)
		s.log.add("the key is back")
		s.catalog.Store(catalogWith("key"))
		s.state(a, "bulk", job1)
	})
}

// Guards against lost jobs when every process of the system restarts at once.
func TestColdStart(t *testing.T) {
	session(t, "cold-start", func(s *system) {
		a, b := s.entry("1"), s.entry("2")
		s.worker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "5s", 1)
		s.wait(time.Second)
		s.crash(a)
		s.crash(b)
		s.workers["1"].stop()
		s.wait(time.Second)
		a, b = s.entry("1"), s.entry("2")
		s.agent("1")
		s.wait(time.Second)
		s.submit(b, "bulk", job2, "1s", 1)
		s.wait(8 * time.Second)
		s.state(a, "bulk", job1)
		s.state(b, "bulk", job2)
	})
}

// Guards against an owner that loses its way when the answer of its own
// transaction is lost, and against lost work while the store is down.
func TestStoreTrouble(t *testing.T) {
	session(t, "store-trouble", func(s *system) {
		a := s.entry("1")
		s.worker("1")
		s.wait(2 * time.Second)
		a.access.set(func(x *access) { x.loseNext = true })
		s.submit(a, "bulk", job1, "4s", 1)
		s.wait(time.Second)
		s.log.add("the store is down")
		a.access.set(func(x *access) { x.down = true })
		s.submit(a, "bulk", job2, "1s", 1)
		s.wait(4 * time.Second)
		s.log.add("the store is back")
		a.access.set(func(x *access) { x.down = false })
		s.wait(time.Second)
		s.state(a, "bulk", job1)
		s.submit(a, "bulk", job2, "1s", 1)
		s.wait(3 * time.Second)
		s.state(a, "bulk", job2)
	})
}

// Guards against work that is stopped or started twice when a strong entry
// relieves a weak owner that is alive.
func TestStrongEntryRelievesWeakOwner(t *testing.T) {
	session(t, "relief", func(s *system) {
		a := s.entryWith("1", 0.2)
		s.worker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "12s", 1)
		s.wait(time.Second)
		b := s.entryWith("2", 0.8)
		s.wait(7 * time.Second)
		s.log.add("entry %s is owner", b.replica.Owner(time.Now()).Owner.Entry)
		s.submit(a, "bulk", job2, "1s", 1)
		s.wait(6 * time.Second)
		s.state(b, "bulk", job1)
		s.state(b, "bulk", job2)
	})
}
