package batch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// storeMs returns the store's clock at a time.
func storeMs(at time.Time) int64 { return at.Sub(testStart).Milliseconds() + 90_000 }

// readClock lets the owner read the store's clock in a response that takes as long as given on
// either way.
func (b *testbed) readClock(request, response time.Duration) {
	b.scheduler.ReadClock(ClockReading{AtMs: storeMs(b.now.Add(-response)), Sent: b.now.Add(-request - response), Received: b.now})
}

// record runs a cycle whose transaction is durable at once and returns the lease ends in it.
func (b *testbed) record() LeaseEnds {
	c, ends := b.prepareRecord()
	b.commit(c)
	return ends
}

// prepareRecord runs a cycle whose transaction is under way.
func (b *testbed) prepareRecord() (*Commit, LeaseEnds) {
	b.scheduler.Tick(b.now)
	b.scheduler.Schedule(b.now)
	c := b.scheduler.Prepare(100, nil)
	ends, _ := b.scheduler.RecordLeaseEnds(c, b.now)
	return c, ends
}

// newSilent returns a testbed in which w1 has a run and has been silent for long enough, and when
// its latest report arrived.
func newSilent() (b *testbed, run Run, reported time.Time) {
	b = newTestbed()
	b.addWorker("w1", "r1")
	run = startRun(b, "j1")
	reported = b.now
	b.advance(silentAfter / 2)
	b.scheduler.Tick(b.now)
	b.advance(silentAfter / 2)
	return b, run, reported
}

// successor returns a testbed with the next owner, which takes over now.
func (b *testbed) successor(ends LeaseEnds) *testbed { return b.successorWith(ends, &OpenStarts{}) }

// successorWith does the same with the open starts in the owner's row, or nil if it has none.
func (b *testbed) successorWith(ends LeaseEnds, open *OpenStarts) *testbed {
	next := &testbed{scheduler: New(testTiming, b.now), now: b.now, clockMs: b.clockMs}
	next.scheduler.Configure(nil)
	next.scheduler.InheritLeaseEnds(ends)
	next.scheduler.InheritOpenStarts(open)
	for id, j := range b.scheduler.jobs {
		next.scheduler.Load(j.spec, j.snapshot(), false, b.now)
		next.scheduler.handling = id
	}
	next.scheduler.handling = ""
	return next
}

// Guards against a record that lets the next owner give runs up while their worker may hold a
// lease: the margins of the lease, and slow requests and responses, add to the time.
func TestLeaseEndsAreNotRecordedTooEarly(t *testing.T) {
	for _, slow := range []time.Duration{0, 40 * time.Millisecond, 900 * time.Millisecond} {
		Convey("With responses that are slow by "+slow.String(), t, func() {
			b, run, reported := newSilent()
			b.readClock(slow, slow/2)
			ends := b.record()
			earliest := storeMs(reported.Add(leaseExpiry(testTiming.MaxLease)))
			So(ends["w1"], ShouldBeBetween, earliest, earliest+(2*slow).Milliseconds()+5)

			b.advance(3 * time.Second)
			next := b.successor(ends)
			next.readClock(slow/2, slow)
			for next.scheduler.activeTask(run) != nil {
				next.runCycle()
				next.advance(10 * time.Millisecond)
			}
			So(next.now, ShouldHappenOnOrAfter, reported.Add(leaseExpiry(testTiming.MaxLease)))
			So(next.now, ShouldHappenBefore, reported.Add(leaseExpiry(testTiming.MaxLease)+3*slow+50*time.Millisecond))
		})
	}
}

// Guards against a record from a reading of the store's clock that is too old to count a
// suspension of the owner's machine since.
func TestLeaseEndsNeedClockReadAfterReport(t *testing.T) {
	Convey("Without a reading, or with one from before the report, nothing is recorded", t, func() {
		b, _, reported := newSilent()
		So(b.record(), ShouldBeEmpty)
		b.scheduler.ReadClock(ClockReading{AtMs: storeMs(reported), Sent: reported.Add(-time.Millisecond), Received: b.now})
		So(b.record(), ShouldBeEmpty)
		b.scheduler.ReadClock(ClockReading{Sent: b.now, Received: b.now})
		So(b.record(), ShouldBeEmpty)
		b.readClock(0, 0)
		So(b.record(), ShouldContainKey, ident.Worker("w1"))
	})
	Convey("A successor to which the store states no clock counts the lease anew", t, func() {
		b, run, _ := newSilent()
		b.readClock(0, 0)
		next := b.successor(b.record())
		next.scheduler.ReadClock(ClockReading{Sent: b.now, Received: b.now})
		next.runFor(leaseExpiry(testTiming.MaxLease) - 100*time.Millisecond)
		So(next.scheduler.activeTask(run), ShouldNotBeNil)
		next.runFor(200 * time.Millisecond)
		So(next.scheduler.activeTask(run), ShouldBeNil)
	})
	Convey("A record that can't be true never lets a lease count for longer", t, func() {
		b, run, _ := newSilent()
		next := b.successor(LeaseEnds{"w1": 1<<63 - 1})
		next.readClock(0, 0)
		next.runFor(leaseExpiry(testTiming.MaxLease) - 100*time.Millisecond)
		So(next.scheduler.activeTask(run), ShouldNotBeNil)
		next.runFor(200 * time.Millisecond)
		So(next.scheduler.activeTask(run), ShouldBeNil)
	})
}

// Guards against a lease that is granted while a durable record says that there is none: the
// next owner would start the runs again while they go on.
func TestRecordedWorkerGetsNoLeaseBeforeItIsOffTheRecord(t *testing.T) {
	grants := func(b *testbed) bool {
		_, ok := b.scheduler.RenewalFor("w1")
		return ok
	}
	Convey("A worker that reports", t, func() {
		b, run, _ := newSilent()
		b.readClock(0, 0)
		Convey("before the record is written gets a lease", func() {
			b.report("w1", []RunningTask{{Run: run}}, nil)
			So(b.record(), ShouldBeEmpty)
			So(grants(b), ShouldBeTrue)
		})
		Convey("while the record is under way gets none until a transaction without it is durable", func() {
			c, ends := b.prepareRecord()
			So(ends, ShouldContainKey, ident.Worker("w1"))
			b.report("w1", []RunningTask{{Run: run}}, nil)
			So(grants(b), ShouldBeFalse)
			b.commit(c)
			So(grants(b), ShouldBeFalse)
			So(b.scheduler.AwaitsLease(), ShouldBeTrue)
			c, ends = b.prepareRecord()
			So(ends, ShouldBeEmpty)
			So(grants(b), ShouldBeFalse)
			b.commit(c)
			So(c.RenewedWorkers(), ShouldContain, ident.Worker("w1"))
			So(grants(b), ShouldBeTrue)
			So(b.scheduler.AwaitsLease(), ShouldBeFalse)
		})
		Convey("gets none while the transaction that was to take it off was refused", func() {
			b.record()
			b.report("w1", []RunningTask{{Run: run}}, nil)
			c, _ := b.prepareRecord()
			b.scheduler.Abort(c)
			So(grants(b), ShouldBeFalse)
			b.record()
			So(grants(b), ShouldBeTrue)
		})
		Convey("gets none from a successor that took the record over, until that one has written", func() {
			next := b.successor(b.record())
			next.scheduler.Tick(next.now)
			next.scheduler.Attached("w1", true)
			next.scheduler.Announced(b.scheduler.workers["w1"].info, next.now)
			next.report("w1", []RunningTask{{Run: run}}, nil)
			So(grants(next), ShouldBeFalse)
			So(next.scheduler.AwaitsLease(), ShouldBeTrue)
			So(next.record(), ShouldBeEmpty)
			So(grants(next), ShouldBeTrue)
			next.runFor(leaseExpiry(testTiming.MaxLease) - 100*time.Millisecond)
			So(next.scheduler.activeTask(run), ShouldNotBeNil)
		})
	})
	Convey("A start that was held while its worker was recorded is not sent", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		startRun(b, "j1")
		b.scheduler.Load(testJob("j2", 2, testStep(1, 1)), Record{}, false, b.now)
		held, _ := b.prepareRecord()
		So(held.Starts(), ShouldEqual, 1)
		b.scheduler.Committed(held)
		for range 2 {
			b.advance(silentAfter / 2)
			b.scheduler.Tick(b.now)
		}
		b.readClock(0, 0)
		ends, _ := b.scheduler.RecordLeaseEnds(b.scheduler.Prepare(100, nil), b.now)
		So(ends, ShouldContainKey, ident.Worker("w1"))
		So(b.scheduler.ReleaseStarts(held, b.now, b.now), ShouldBeEmpty)
		So(b.scheduler.jobs["j2"].tasks[0].Phase, ShouldEqual, TaskWaiting)
	})
}

// Guards against a lease that each owner counts anew although the first one recorded its end.
func TestLeaseEndsPassFromOwnerToOwner(t *testing.T) {
	Convey("Three owners hand the same end on", t, func() {
		b, run, reported := newSilent()
		b.readClock(0, 0)
		ends := b.record()
		for range 3 {
			b = b.successor(ends)
			b.readClock(20*time.Millisecond, 20*time.Millisecond)
			b.runFor(time.Second)
			So(b.record(), ShouldResemble, ends)
		}
		b.runFor(reported.Add(leaseExpiry(testTiming.MaxLease) + 100*time.Millisecond).Sub(b.now))
		So(b.scheduler.activeTask(run), ShouldBeNil)
	})
	Convey("An end stays recorded until the end of the runs is durable", t, func() {
		b, _, _ := newSilent()
		b.readClock(0, 0)
		ends := b.record()
		b.advance(leaseExpiry(testTiming.MaxLease))
		b.scheduler.Tick(b.now)
		b.scheduler.resumedAt = time.Time{}
		b.scheduler.Tick(b.now)
		b.advance(resumeGrace)
		b.scheduler.Tick(b.now)
		So(b.scheduler.workers["w1"].active, ShouldBeEmpty)
		c := b.scheduler.Prepare(0, nil)
		kept, _ := b.scheduler.RecordLeaseEnds(c, b.now)
		So(kept, ShouldResemble, ends)
		b.commit(c)
		So(b.record(), ShouldBeEmpty)
	})
	Convey("A pause of the owner makes no worker silent", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		startRun(b, "j1")
		b.runFor(time.Second)
		b.advance(10 * time.Second)
		b.readClock(0, 0)
		So(b.record(), ShouldBeEmpty)
	})
	Convey("A silent worker without runs is not recorded", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.runFor(2 * silentAfter)
		b.readClock(0, 0)
		So(b.record(), ShouldBeEmpty)
	})
}

// Guards against an owner's row that grows without bound when many workers are silent.
func TestLeaseEndsAreBounded(t *testing.T) {
	Convey("Those that end first are kept", t, func() {
		var silent []silentWorker
		for i := range 1000 {
			id := ident.Worker(fmt.Sprintf("side-<%03d>", i))
			silent = append(silent, silentWorker{newWorker(WorkerInfo{ID: id}), leaseEnd{atMs: int64(101_000 - i)}})
		}
		out := make(LeaseEnds)
		for _, w := range fitLeaseEnds(silent, maxLeaseEndBytes) {
			out[w.info.ID] = w.end.atMs
			So(w.end.atMs, ShouldBeLessThan, 100_201)
		}
		So(len(out), ShouldBeGreaterThan, 100)
		raw, err := json.Marshal(out)
		So(err, ShouldBeNil)
		So(len(raw), ShouldBeBetween, maxLeaseEndBytes-100, maxLeaseEndBytes+1)
	})
	Convey("Silent workers that have no room are counted, and get leases", t, func() {
		b := newTestbed()
		for i := range 300 {
			id := fmt.Sprintf("side-%03d", i)
			b.addWorker(id, "r1")
			b.submit(testJob("j"+id, 2, testStep(1, 8)))
		}
		started := 0
		for starts := b.runCycle(); len(starts) > 0; starts = b.runCycle() {
			started += len(starts)
			b.acceptStarts()
			for _, o := range starts {
				b.report(string(o.Worker), []RunningTask{runningRow(o, 1)}, nil)
			}
		}
		So(started, ShouldEqual, 300)
		b.runFor(silentAfter)
		b.scheduler.Tick(b.now)
		b.readClock(0, 0)
		ends, omitted := b.scheduler.RecordLeaseEnds(b.scheduler.Prepare(100, nil), b.now)
		So(len(ends), ShouldBeGreaterThan, 100)
		So(len(ends)+omitted, ShouldEqual, 300)
		for i := range 300 {
			id := ident.Worker(fmt.Sprintf("side-%03d", i))
			_, listed := ends[id]
			_, granted := b.scheduler.RenewalFor(id)
			So(granted, ShouldEqual, !listed)
		}
	})
}
