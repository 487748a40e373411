package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a second run of a task whose start is still being repeated, although a report
// lists it: the process is restarted under its id, and the next one carries the start out.
func TestListedRunWithOpenStartOutlivesRestart(t *testing.T) {
	Convey("A run is listed, its start has no answer, and its process is restarted", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		start := b.runCycle()[0]
		b.advance(300 * time.Millisecond)
		b.report("w1", []RunningTask{runningRow(start, 1)}, nil)
		b.runCycle()
		next := b.scheduler.workers["w1"].info
		next.Incarnation = testIncarnation(2)
		b.scheduler.Announced(next, b.now)
		b.addWorker("w2", "r2")
		So(b.runCycle(), ShouldBeEmpty)
		Convey("The next process has carried it out, and goes on", func() {
			b.scheduler.Answered(start, AnswerOKRepeated, 50, b.now)
			b.scheduler.Reported("w1", Report{Incarnation: testIncarnation(2), ClockMs: 60, Running: []RunningTask{runningRow(start, 1)}}, b.now)
			So(b.runCycle(), ShouldBeEmpty)
			So(b.stops, ShouldBeEmpty)
		})
	})
	Convey("Once the only attempt was answered, the run has ended with its process", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		start := b.runCycle()[0]
		b.scheduler.Answered(start, AnswerOK, 50, b.now)
		b.advance(300 * time.Millisecond)
		b.report("w1", []RunningTask{runningRow(start, 1)}, nil)
		b.runCycle()
		next := b.scheduler.workers["w1"].info
		next.Incarnation = testIncarnation(2)
		b.scheduler.Announced(next, b.now)
		b.addWorker("w2", "r2")
		So(b.runCycle(), ShouldHaveLength, 1)
	})
}

// lateStart is a start that is carried out late by a process that was restarted under the id of the
// one it was for. The young clock of that process makes its lease as long as it may be.
type lateStart struct {
	// releasedAfter is the age of the worker's report when the start is released, and
	// carriedOutAfter how much later it is carried out.
	releasedAfter, carriedOutAfter time.Duration
	answer                         AnswerKind
	// answeredAfter is when the owner gets the answer, counted from the release.
	answeredAfter time.Duration
}

// lateLease returns an owner whose worker has reported at a time of which the second value is
// the duration until all leases there have expired. Nothing is heard of the worker any more.
func lateLease(c lateStart) (b *testbed, reported time.Time, lease time.Duration) {
	b = newTestbed()
	b.clockMs = 480000
	b.addWorker("w1", "r1")
	reported = b.now
	b.scheduler.Tick(b.now)
	b.submit(testJob("j1", 1, testStep(1, 1)))
	b.advance(c.releasedAfter)
	start := b.runCycle()[0]
	b.advance(c.answeredAfter)
	b.scheduler.Answered(start, c.answer, 0, b.now)
	b.scheduler.Attached("w1", false)
	return b, reported, c.releasedAfter + c.carriedOutAfter + testTiming.MaxLease
}

// startsElsewhere returns when the owner starts a task on another worker.
func (b *testbed) startsElsewhere() time.Time {
	b.addWorker("w2", "r2")
	for range 300 {
		b.advance(100 * time.Millisecond)
		b.report("w2", nil, nil)
		if len(b.runCycle()) > 0 {
			return b.now
		}
	}
	return time.Time{}
}

// Guards against a second run while the first one may hold a lease that began with a late start.
func TestTasksWaitForLeasesOfLateStarts(t *testing.T) {
	late := lateStart{releasedAfter: 1400 * time.Millisecond, carriedOutAfter: 1200 * time.Millisecond, answer: AnswerUnknown}
	// A start is sent for 2.5 s, by a clock that is 2% slow, and carried out up to 12 s later.
	const latest = 14550 * time.Millisecond
	for name, c := range map[string]lateStart{
		"same_owner":            late,
		"latest":                {releasedAfter: 1400 * time.Millisecond, carriedOutAfter: latest, answer: AnswerUnknown},
		"former_attempt":        {releasedAfter: 100 * time.Millisecond, carriedOutAfter: 12250 * time.Millisecond, answer: AnswerOKRepeated, answeredAfter: 250 * time.Millisecond},
		"answer_is_not_awaited": {carriedOutAfter: latest, answer: AnswerUnknown, answeredAfter: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b, reported, lease := lateLease(c)
			if waited := b.startsElsewhere().Sub(reported); waited < lease {
				t.Errorf("the task starts elsewhere after %v, the lease lasts for %v", waited, lease)
			}
		})
	}
	t.Run("next_owner", func(t *testing.T) {
		b, reported, lease := lateLease(late)
		b.advance(700 * time.Millisecond)
		b.readClock(0, 0)
		ends := b.record()
		b.advance(500 * time.Millisecond)
		next := b.successor(ends)
		next.readClock(0, 0)
		if waited := next.startsElsewhere().Sub(reported); waited < lease {
			t.Errorf("the task starts elsewhere after %v, the lease lasts for %v", waited, lease)
		}
	})
	t.Run("former_attempt_is_over", func(t *testing.T) {
		b := newTestbed()
		b.clockMs = 480000
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		start := b.runCycle()[0]
		b.scheduler.Answered(start, AnswerOKRepeated, 0, b.now)
		for n := range 26 {
			b.advance(500 * time.Millisecond)
			b.report("w1", []RunningTask{runningRow(start, n)}, nil)
			b.runCycle()
		}
		reported := b.now
		b.scheduler.Attached("w1", false)
		if waited := b.startsElsewhere().Sub(reported); waited < testTiming.MaxLease || waited > leaseExpiry(testTiming.MaxLease)+200*time.Millisecond {
			t.Errorf("the task starts elsewhere %v after a report from when no attempt could be carried out any more", waited)
		}
	})
	t.Run("answered_start_is_not_late", func(t *testing.T) {
		b, reported, _ := lateLease(lateStart{answer: AnswerOK})
		if waited := b.startsElsewhere().Sub(reported); waited > leaseExpiry(testTiming.MaxLease)+200*time.Millisecond {
			t.Errorf("the task of a run whose start was answered starts elsewhere after %v", waited)
		}
	})
}

// Guards against a record of lease ends that leaves out the lease of a late start. It differs from the
// case next_owner of TestTasksWaitForLeasesOfLateStarts in the call of Tick within a second, without
// which the owner counts as paused and records nothing at all.
func TestOpenStartKeepsWorkerOutOfLeaseEnds(t *testing.T) {
	for answer, recorded := range map[AnswerKind]bool{AnswerOK: true, AnswerUnknown: false, AnswerOKRepeated: false} {
		b := newTestbed()
		b.clockMs = 480000
		b.addWorker("w1", "r1")
		b.scheduler.Tick(b.now)
		b.submit(testJob("j1", 1, testStep(1, 1)))
		b.advance(700 * time.Millisecond)
		b.scheduler.Tick(b.now)
		b.advance(700 * time.Millisecond)
		start := b.runCycle()[0]
		b.scheduler.Answered(start, answer, 0, b.now)
		b.scheduler.Attached("w1", false)
		b.advance(700 * time.Millisecond)
		b.readClock(0, 0)
		if _, found := b.record()["w1"]; found != recorded {
			t.Errorf("answer %d: the worker is recorded: %t", answer, found)
		}
	}
}
