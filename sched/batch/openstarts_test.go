package batch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// newOpen returns a testbed in which the start of a run on w1 was sent now.
func newOpen() (*testbed, Order) {
	b := newTestbed()
	b.addWorker("w1", "r1")
	b.scheduler.Tick(b.now)
	b.submit(testJob("j1", 1, testStep(1, 8)))
	return b, b.runCycle()[0]
}

// recordOpen returns the open starts that a transaction lists now.
func (b *testbed) recordOpen() *OpenStarts {
	open, _ := b.scheduler.RecordOpenStarts(b.now)
	return open
}

// listedStarts returns how many of the listed starts are open, and how many are not any more.
func listedStarts(b *testbed) [2]int {
	open, ended := b.scheduler.ListedStarts(b.now)
	return [2]int{open, ended}
}

// givesUpAfter returns how long the owner, which hears nothing of the worker, keeps a run.
func (b *testbed) givesUpAfter(run Run) time.Duration {
	from := b.now
	for b.scheduler.activeTask(run) != nil && b.now.Sub(from) < time.Minute {
		b.runCycle()
		b.advance(10 * time.Millisecond)
	}
	return b.now.Sub(from)
}

// usualExpiry is how long a new owner keeps a run on a worker without open starts.
var usualExpiry = leaseExpiry(testTiming.MaxLease)

// shouldBeAbout returns an error unless a time is the expected one, or little more.
func shouldBeAbout(actual any, expected ...any) string {
	want := expected[0].(time.Duration)
	return ShouldBeBetween(actual, want-time.Nanosecond, want+50*time.Millisecond)
}

// Guards against an owner's row that does not list a worker on which a start is permitted, or may
// still be carried out.
func TestOpenStartsAreListed(t *testing.T) {
	Convey("A start is listed by the transaction that permits it, and until it is answered", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		So(b.recordOpen().Workers, ShouldBeEmpty)
		b.submit(testJob("j1", 1, testStep(1, 8)))
		b.scheduler.Schedule(b.now)
		c := b.scheduler.Prepare(100, nil)
		So(b.recordOpen().Workers, ShouldResemble, map[ident.Worker]int64{"w1": 0})
		Convey("also if it is held while other transactions are written", func() {
			b.scheduler.Committed(c)
			b.advance(time.Second)
			b.readClock(0, 0)
			So(b.recordOpen().Workers, ShouldResemble, map[ident.Worker]int64{"w1": 0})
			Convey("and is not listed any more once it is given up unsent", func() {
				for _, o := range b.scheduler.ReleaseStarts(c, b.now, b.now) {
					b.scheduler.Answered(o, AnswerRejectedNoCapacity, 0, b.now)
				}
				So(b.recordOpen().Workers, ShouldBeEmpty)
			})
		})
		Convey("also if the transaction was refused, so that the next one permits it", func() {
			b.scheduler.Abort(c)
			c = b.scheduler.Prepare(100, nil)
			So(c.Starts(), ShouldEqual, 1)
			So(b.recordOpen().Workers, ShouldContainKey, ident.Worker("w1"))
		})
		Convey("and not any more after that", func() {
			b.starts = b.commit(c)
			So(b.recordOpen().Workers, ShouldContainKey, ident.Worker("w1"))
			So(listedStarts(b), ShouldResemble, [2]int{1, 0})
			b.acceptStarts()
			So(listedStarts(b), ShouldResemble, [2]int{0, 1})
			So(b.recordOpen().Workers, ShouldBeEmpty)
			So(listedStarts(b), ShouldResemble, [2]int{})
		})
	})
	Convey("Starts whose records are split over transactions are listed by the one that permits them", t, func() {
		b := newTestbed()
		for i := range 3 {
			b.addWorker(fmt.Sprint("w", i), "r1")
			b.submit(testJob(fmt.Sprint("j", i), 1, testStep(1, 8)))
		}
		b.scheduler.Schedule(b.now)
		for range 3 {
			c := b.scheduler.Prepare(1, nil)
			So(c.starts, ShouldHaveLength, 1)
			So(b.recordOpen().Workers, ShouldContainKey, c.starts[0].Worker)
			b.starts = b.commit(c)
			b.acceptStarts()
		}
		So(b.recordOpen().Workers, ShouldBeEmpty)
	})
	Convey("A start with a former attempt without an answer is listed", t, func() {
		const attempt, renewal = 12250 * time.Millisecond, 16 * time.Second
		b, start := newOpen()
		b.advance(250 * time.Millisecond)
		b.scheduler.Answered(start, AnswerOKRepeated, b.clockMs, b.now)
		b.advance(attempt - 251*time.Millisecond)
		So(b.recordOpen().Workers, ShouldContainKey, ident.Worker("w1"))
		Convey("until the worker reports once it can't be carried out any more", func() {
			b.advance(2 * time.Millisecond)
			b.report("w1", []RunningTask{runningRow(start, 1)}, nil)
			So(b.recordOpen().Workers, ShouldBeEmpty)
		})
		Convey("or until a renewal that was granted before can't be carried out either", func() {
			b.advance(renewal - attempt)
			So(b.recordOpen().Workers, ShouldContainKey, ident.Worker("w1"))
			So(listedStarts(b), ShouldResemble, [2]int{1, 0})
			b.advance(time.Millisecond)
			So(listedStarts(b), ShouldResemble, [2]int{0, 1})
			So(b.recordOpen().Workers, ShouldBeEmpty)
		})
	})
	Convey("Of two starts on a worker the one counts that may hold its lease for longer", t, func() {
		open := &OpenStarts{Workers: make(map[ident.Worker]int64)}
		for _, atMs := range []int64{7, 9, 8} {
			open.add("w1", atMs)
			open.addMore(atMs)
		}
		So(open, ShouldResemble, &OpenStarts{Workers: map[ident.Worker]int64{"w1": 9}, More: true, MoreEndMs: 9})
		for _, atMs := range []int64{0, 8} {
			open.add("w1", atMs)
			open.addMore(atMs)
		}
		So(open, ShouldResemble, &OpenStarts{Workers: map[ident.Worker]int64{"w1": 0}, More: true})
	})
}

// Guards against a time in the row at which a lease of a late start has not expired yet: slow
// responses add to it, and a suspension of the machine is not taken for time that passed.
func TestLateEndsAreNotRecordedTooEarly(t *testing.T) {
	for _, slow := range []time.Duration{0, 40 * time.Millisecond, 900 * time.Millisecond} {
		Convey("With responses that are slow by "+slow.String(), t, func() {
			b, start := newOpen()
			former := b.recordOpen()
			b.advance(time.Second)
			taken := b.now
			next := b.successorWith(nil, former)
			next.readClock(slow/3, slow/2)
			open := next.recordOpen()
			earliest := storeMs(taken.Add(lateLeaseExpiry))
			So(open.Workers["w1"], ShouldBeBetween, earliest, earliest+(2*slow).Milliseconds()+5)

			next.advance(3 * time.Second)
			last := next.successorWith(nil, open)
			last.readClock(slow, slow)
			last.givesUpAfter(start.Run)
			So(last.now, ShouldHappenBetween, taken.Add(lateLeaseExpiry-time.Nanosecond), taken.Add(lateLeaseExpiry+3*slow+50*time.Millisecond))
		})
	}
	Convey("An owner that reads the clock after a suspension does not count it as time that passed", t, func() {
		b, start := newOpen()
		next := b.successorWith(nil, b.recordOpen())
		next.advance(time.Second)
		const suspended = 5 * time.Second
		next.scheduler.ReadClock(ClockReading{AtMs: storeMs(next.now.Add(suspended)), Sent: next.now, Received: next.now})
		So(next.recordOpen().Workers["w1"], ShouldBeGreaterThanOrEqualTo, storeMs(b.now.Add(lateLeaseExpiry+suspended)))
		So(next.givesUpAfter(start.Run), shouldBeAbout, lateLeaseExpiry-time.Second)
	})
	Convey("A time is not known while the owner that sent the starts may act", t, func() {
		b, start := newOpen()
		b.scheduler.Answered(start, AnswerUnknown, 0, b.now)
		b.advance(2 * time.Second)
		b.readClock(0, 0)
		So(b.recordOpen().Workers, ShouldResemble, map[ident.Worker]int64{"w1": 0})
	})
	Convey("A time that can't be true never keeps a run for longer than the longest time", t, func() {
		for _, odd := range []int64{1<<63 - 1, -5, 0} {
			b, start := newOpen()
			next := b.successorWith(nil, &OpenStarts{Workers: map[ident.Worker]int64{"w1": odd}, More: true, MoreEndMs: odd})
			next.readClock(0, 0)
			So(next.givesUpAfter(start.Run), shouldBeAbout, lateLeaseExpiry)
		}
	})
}

// Guards against a next owner that gives a run up before the lease of a late start has expired,
// and against one that keeps the runs of other workers for as long.
func TestNextOwnerKeepsRunsOfOpenStarts(t *testing.T) {
	Convey("A listed worker", t, func() {
		b, start := newOpen()
		open := b.recordOpen()
		b.advance(time.Second)
		Convey("without a time in the row, or a clock, is kept for the longest time from the takeover", func() {
			So(b.successorWith(nil, open).givesUpAfter(start.Run), shouldBeAbout, lateLeaseExpiry)
		})
		Convey("of an owner that was replaced alive is kept from the end of its validity", func() {
			const validity = 2700 * time.Millisecond
			next := b.successorWith(nil, open)
			late := New(testTiming, b.now.Add(validity))
			late.InheritOpenStarts(open)
			for _, j := range b.scheduler.jobs {
				late.Load(j.spec, j.snapshot(), false, b.now)
			}
			next.scheduler = late
			So(next.givesUpAfter(start.Run), shouldBeAbout, validity+lateLeaseExpiry)
		})
		Convey("that is also silent in the row waits for both", func() {
			for _, end := range []time.Duration{time.Second, 30 * time.Second} {
				next := b.successorWith(LeaseEnds{"w1": storeMs(b.now.Add(end))}, open)
				next.readClock(0, 0)
				So(next.givesUpAfter(start.Run), shouldBeAbout, lateLeaseExpiry)
			}
		})
		Convey("that reports without the run has rejected the start", func() {
			next := b.successorWith(nil, open)
			next.addWorker("w1", "r1")
			So(next.scheduler.activeTask(start.Run), ShouldBeNil)
			So(next.recordOpen().Workers, ShouldBeEmpty)
		})
		Convey("that reports the run counts as any other from then on", func() {
			next := b.successorWith(nil, open)
			next.scheduler.Attached("w1", true)
			next.scheduler.Announced(b.scheduler.workers["w1"].info, next.now)
			next.report("w1", []RunningTask{runningRow(start, 1)}, nil)
			So(next.recordOpen().Workers, ShouldBeEmpty)
			So(next.givesUpAfter(start.Run), shouldBeAbout, usualExpiry)
		})
		Convey("that reports, but not all ends, has rejected the start as well", func() {
			next := b.successorWith(nil, open)
			next.scheduler.Attached("w1", true)
			next.scheduler.Announced(b.scheduler.workers["w1"].info, next.now)
			next.scheduler.Reported("w1", Report{Incarnation: testIncarnation(1), ClockMs: 100, MoreEnds: true}, next.now)
			So(next.scheduler.activeTask(start.Run), ShouldNotBeNil)
			So(next.givesUpAfter(start.Run), shouldBeAbout, usualExpiry)
		})
		Convey("whose process has left before it reported has no run any more", func() {
			next := b.successorWith(nil, open)
			info := b.scheduler.workers["w1"].info
			info.Left = true
			next.scheduler.Announced(info, next.now)
			So(next.givesUpAfter(start.Run), shouldBeAbout, 10*time.Millisecond)
		})
		Convey("of which another process has left is kept for the longest time", func() {
			next := b.successorWith(nil, open)
			info := b.scheduler.workers["w1"].info
			info.Left, info.Incarnation = true, Incarnation{"former", 1}
			next.scheduler.Registered(info)
			So(next.givesUpAfter(start.Run), shouldBeAbout, lateLeaseExpiry)
		})
	})
	Convey("A worker whose starts were answered is kept for the usual time", t, func() {
		b, start := newOpen()
		b.acceptStarts()
		So(b.successorWith(nil, b.recordOpen()).givesUpAfter(start.Run), shouldBeAbout, usualExpiry)
	})
	Convey("All workers are kept for the longest time if the row has no list", t, func() {
		b, start := newOpen()
		b.acceptStarts()
		next := b.successorWith(nil, nil)
		So(next.recordOpen().More, ShouldBeTrue)
		So(next.givesUpAfter(start.Run), shouldBeAbout, lateLeaseExpiry)
		So(next.recordOpen(), ShouldResemble, &OpenStarts{Workers: map[ident.Worker]int64{}})
	})
}

// Guards against a time that begins anew with each owner, and against owners that lose what they
// have not settled themselves.
func TestOpenStartsPassFromOwnerToOwner(t *testing.T) {
	Convey("The time counts from the first takeover", t, func() {
		for _, more := range []bool{false, true} {
			b, start := newOpen()
			open := b.recordOpen()
			if more {
				open = nil
			}
			b = b.successorWith(nil, open)
			first := b.now
			for range 4 {
				b.readClock(20*time.Millisecond, 20*time.Millisecond)
				b.runFor(time.Second)
				b = b.successorWith(nil, b.recordOpen())
			}
			b.readClock(20*time.Millisecond, 20*time.Millisecond)
			b.givesUpAfter(start.Run)
			So(b.now.Sub(first), ShouldBeBetween, lateLeaseExpiry-time.Nanosecond, lateLeaseExpiry+200*time.Millisecond)
		}
	})
	Convey("An owner that dies before it has read the clock passes the list on as it was", t, func() {
		b, start := newOpen()
		open := b.recordOpen()
		for range 3 {
			b = b.successorWith(nil, b.successorWith(nil, open).recordOpen())
			b.advance(time.Second)
		}
		So(b.recordOpen(), ShouldResemble, open)
		So(b.givesUpAfter(start.Run), shouldBeAbout, lateLeaseExpiry-time.Second)
	})
	Convey("A worker that the owner does not know stays listed until the time is over", t, func() {
		b := newTestbed()
		b.scheduler.InheritOpenStarts(&OpenStarts{Workers: map[ident.Worker]int64{"w7": 0}})
		b.readClock(0, 0)
		b.advance(lateLeaseExpiry - time.Millisecond)
		So(b.recordOpen().Workers, ShouldResemble, map[ident.Worker]int64{"w7": storeMs(testStart.Add(lateLeaseExpiry)) + 2})
		b.advance(5 * time.Millisecond)
		So(b.recordOpen().Workers, ShouldBeEmpty)
	})
}

// Guards against an owner's row that grows without bound when many starts are open, and against
// workers that it drops in silence.
func TestOpenStartsAreBounded(t *testing.T) {
	const workers = 3000 // Ten times as many as have room.
	b := newTestbed()
	for i := range workers {
		id := fmt.Sprintf("side-%04d", i)
		b.addWorker(id, "r1")
		b.submit(testJob("j"+id, 2, testStep(1, 8)))
	}
	answerAllBut := func(open int, c *Commit) {
		b.starts = b.commit(c)[open:]
		b.acceptStarts()
	}
	Convey("With ten times as many open starts as have room the next owner waits for all workers", t, func() {
		b.scheduler.Tick(b.now)
		b.scheduler.Schedule(b.now)
		c := b.scheduler.Prepare(workers, nil)
		So(c.Starts(), ShouldEqual, workers)
		open, omitted := b.scheduler.RecordOpenStarts(b.now)
		So(omitted, ShouldEqual, workers)
		So(open, ShouldResemble, &OpenStarts{More: true})
		answerAllBut(5, c)
		next := b.successorWith(nil, open)
		run := Run{Task: TaskID{Job: "jside-2500"}, Number: 1}
		for ; next.now.Sub(b.now) < lateLeaseExpiry; next.advance(900 * time.Millisecond) {
			next.scheduler.Tick(next.now)
			So(next.scheduler.activeTask(run), ShouldNotBeNil)
		}
		next.scheduler.Tick(next.now)
		So(next.scheduler.activeTask(run), ShouldBeNil)

		Convey("They are listed again once they have room", func() {
			listed, omitted := b.scheduler.RecordOpenStarts(b.now)
			So(omitted, ShouldEqual, 0)
			So(listed.More, ShouldBeFalse)
			So(listed.Workers, ShouldHaveLength, 5)
		})
	})
	Convey("The list has room for as many as it may take", t, func() {
		open := &OpenStarts{Workers: make(map[ident.Worker]int64)}
		for i := 0; open.fit(maxOpenStartBytes) == 0; i++ {
			raw, err := json.Marshal(open)
			So(err, ShouldBeNil)
			So(len(raw), ShouldBeLessThan, maxOpenStartBytes+20)
			open.add(ident.Worker(fmt.Sprintf("side-<%03d>", i)), int64(i%3))
		}
		So(open, ShouldResemble, &OpenStarts{More: true})
	})
}
