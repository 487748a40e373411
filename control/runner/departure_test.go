package runner

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// lockedWriter is a rowWriter that is safe for concurrent use.
type lockedWriter struct {
	mu sync.Mutex
	rowWriter
}

func (s *lockedWriter) Commit(ctx context.Context, txn rows.Txn) (rows.Applied, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rowWriter.Commit(ctx, txn)
}

func (s *lockedWriter) fail(times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = times
}

// latest returns the row that was written last, or nothing.
func (s *lockedWriter) latest() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.written) == 0 {
		return ""
	}
	return string(s.written[len(s.written)-1].Value)
}

// departingRunner is an agent without an owner, whose process has sent all its reports and refuses
// connections from then on.
type departingRunner struct {
	*Runner
	store *lockedWriter
	tasks *refusingTasks
	ctx   context.Context
	stop  context.CancelFunc

	mu     sync.Mutex
	counts map[string]int
}

func (d *departingRunner) countEvent(event string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[event]++
}

func (d *departingRunner) count(event string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts[event]
}

// newDepartingRunner returns such an agent, to which a process has announced that it drains. Its
// first writes fail.
func newDepartingRunner(failedWrites int) *departingRunner {
	d := &departingRunner{store: &lockedWriter{}, tasks: &refusingTasks{}, counts: make(map[string]int)}
	d.Runner = newRunner(d.store, d.countEvent)
	d.opts.Tasks = d.tasks
	announce(d.Runner, announcement(5, 1, true))
	d.ctx, d.stop = context.WithCancel(context.Background())
	go d.Publish(d.ctx)
	go d.WatchDepartures(d.ctx)
	synctest.Wait()
	d.store.fail(failedWrites)
	return d
}

// recordedLeft reports whether the latest row says that the process has left.
func (d *departingRunner) recordedLeft() bool {
	synctest.Wait()
	return strings.Contains(d.store.latest(), `"lv":true`)
}

// confirmTime is how long after its deregistration a process that has ended at once counts as left.
const confirmTime = (refusalsUntilLeft - 1) * renewRetryDelay

// Guards against a departure that is lost because no owner is attached when it takes place.
func TestDepartureIsRecordedWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A departure is confirmed and written to the worker's row", t, func() {
			d := newDepartingRunner(0)
			defer d.stop()
			time.Sleep(10 * unreachableRetryDelay)
			So(d.recordedLeft(), ShouldBeFalse)
			d.Leave("u")
			time.Sleep(confirmTime - time.Millisecond)
			So(d.recordedLeft(), ShouldBeFalse)
			time.Sleep(time.Millisecond)
			So(d.recordedLeft(), ShouldBeTrue)
			So(d.store.latest(), ShouldContainSubstring, `"l":{"u":"u","b":5}`)
			Convey("until the process announces itself", func() {
				announce(d.Runner, announcement(5, 2, true))
				So(d.recordedLeft(), ShouldBeFalse)
				So(d.count("upstream_left_contradicted"), ShouldEqual, 1)
			})
			Convey("A process that starts again under its id is counted", func() {
				announce(d.Runner, announcement(6, 1, false))
				So(d.recordedLeft(), ShouldBeFalse)
				So(d.count("upstream_returned"), ShouldEqual, 1)
			})
		})
		Convey("A process that still responds has not left", t, func() {
			d := newDepartingRunner(0)
			defer d.stop()
			d.tasks.open()
			d.Leave("u")
			time.Sleep(confirmTime)
			So(d.recordedLeft(), ShouldBeFalse)
			time.Sleep(unreachableRetryDelay)
			So(d.recordedLeft(), ShouldBeTrue)
		})
		Convey("The deregistration of another process is none", t, func() {
			d := newDepartingRunner(0)
			defer d.stop()
			d.Leave("other")
			time.Sleep(time.Minute)
			So(d.recordedLeft(), ShouldBeFalse)
		})
	})
}

// Guards against an agent that is told to stop between the end of its process and the record of
// the departure, which the next owner needs.
func TestAgentRecordsDepartureBeforeItStops(t *testing.T) {
	finish := func(d *departingRunner) time.Duration {
		ctx, cancel := context.WithTimeout(d.ctx, time.Second)
		defer cancel()
		start := time.Now()
		d.FinishDeparture(ctx)
		return time.Since(start)
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("It waits for the record of a departure", t, func() {
			d := newDepartingRunner(1)
			defer d.stop()
			d.Leave("u")
			So(finish(d), ShouldEqual, confirmTime+publishRetryDelay)
			So(d.recordedLeft(), ShouldBeTrue)
			So(finish(d), ShouldEqual, 0)
		})
		Convey("but not for ever", t, func() {
			d := newDepartingRunner(10)
			defer d.stop()
			d.Leave("u")
			So(finish(d), ShouldEqual, time.Second)
			So(d.count("departure_unrecorded"), ShouldEqual, 1)
		})
		Convey("and not at all if its process has not deregistered", t, func() {
			d := newDepartingRunner(0)
			defer d.stop()
			So(finish(d), ShouldEqual, 0)
		})
	})
}

// Guards against a start that is sent after the owner was told that the process has left: the owner
// takes the run as ended, and starts its task elsewhere.
func TestStartsAreNotSentToLeftProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A start for a process that has left is rejected unsent", t, func() {
			d := newDepartingRunner(0)
			defer d.stop()
			d.Leave("u")
			time.Sleep(confirmTime)
			So(d.recordedLeft(), ShouldBeTrue)
			tasks := &lossyTasks{answer: batch.AnswerOK}
			d.opts.Tasks = tasks
			s := &session{runner: d.Runner, startSlots: make(chan struct{}, maxConcurrentStarts)}
			outcome := s.carryOut(d.ctx, batch.Order{Incarnation: d.currentAnnouncement().Incarnation, Run: batch.Run{Task: batch.TaskID{Job: "j"}, Number: 1}})
			So(outcome.Kind, ShouldEqual, batch.AnswerRejectedNoCapacity)
			So(outcome.unanswered, ShouldEqual, 0)
			So(tasks.orders, ShouldBeEmpty)
		})
	})
}

// Guards against work that waits for its lease although its process has left as announced, and
// against a departure that is inferred too early or outlives what contradicts it.
func TestProcessHasLeftAfterDeregistrationAndRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Five refusals after the deregistration of a draining process", t, func() {
			r, s, tasks, stop := newRefusedSession(nil, true, false)
			defer stop()
			So(nextWorkerInfo(s), ShouldContainSubstring, `"un":true`)
			start := time.Now()
			r.Leave("u")
			So(nextWorkerInfo(s), ShouldNotContainSubstring, `"lv"`)
			So(nextWorkerInfo(s), ShouldContainSubstring, `"lv":true`)
			So(time.Since(start), ShouldEqual, confirmTime)
			Convey("mean that it has left, until it announces itself", func() {
				announce(r, announcement(5, 2, true))
				So(r.currentAnnouncement().Info.Left, ShouldBeFalse)
				time.Sleep(10 * unreachableRetryDelay)
				So(r.currentAnnouncement().Info.Left, ShouldBeFalse)
			})
			Convey("or sends a report", func() {
				tasks.open()
				So(nextWorkerInfo(s), ShouldNotContainSubstring, `"lv"`)
			})
		})
		Convey("A heartbeat after the deregistration revokes it", t, func() {
			r, s, _, stop := newRefusedSession(nil, true, true)
			defer stop()
			announce(r, announcement(5, 2, true))
			So(nextWorkerInfo(s), ShouldContainSubstring, `"un":true`)
			time.Sleep(10 * unreachableRetryDelay)
			So(r.currentAnnouncement().Info.Left, ShouldBeFalse)
		})
	})
}
