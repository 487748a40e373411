package batch

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

func closed(zones ...ident.Zone) map[ident.Zone]bool {
	out := make(map[ident.Zone]bool)
	for _, zone := range zones {
		out[zone] = true
	}
	return out
}

// newZonedBed returns a testbed with workers w0, w1 and so on, one in each of the given zones.
// Their labels are their names, and there is a rack in each zone.
func newZonedBed(zones ...ident.Zone) standstillBed {
	b := standstillBed{newTestbed()}
	for i, zone := range zones {
		id := "w" + string(rune('0'+i))
		b.addWorker(id, "r-"+string(zone))
		info := b.scheduler.workers[ident.Worker(id)].info
		info.Zone, info.Labels = zone, append(info.Labels, id)
		b.scheduler.Announced(info, b.now)
	}
	return b
}

// startedOn returns the workers of the starts, sorted.
func startedOn(starts []Order) []ident.Worker {
	var out []ident.Worker
	for _, o := range starts {
		out = append(out, o.Worker)
	}
	slices.Sort(out)
	return out
}

// prepared returns the commit of one planning pass.
func (b *testbed) prepared() *Commit {
	b.scheduler.Tick(b.now)
	b.scheduler.Schedule(b.now)
	return b.scheduler.Prepare(100, nil)
}

// loggedReasons returns the reasons of the events about a job.
func (b *testbed) loggedReasons(event string, id ident.Job) []string {
	var out []string
	for _, e := range b.scheduler.TakeLogEvents() {
		if e.Event == event && e.Run.Task.Job == id {
			out = append(out, e.Reason)
		}
	}
	return out
}

// Guards against work that is placed in a zone that the operator evacuates, and against runs that
// are stopped there.
func TestNothingIsPlannedInClosedZones(t *testing.T) {
	gang := testStep(2, 4)
	gang.Gang = true
	rackGang := gang
	rackGang.SameRack = true
	labelled := testStep(1, 1)
	labelled.Label = "w0"
	for _, c := range []struct {
		name   string
		step   Step
		closed map[ident.Zone]bool
		want   []ident.Worker
	}{
		{"a task", testStep(1, 1), closed("z1"), []ident.Worker{"w2"}},
		{"a gang", gang, closed("z1"), []ident.Worker{"w2", "w2"}},
		{"a gang for one rack", rackGang, closed("z1"), []ident.Worker{"w2", "w2"}},
		{"a task for a label", labelled, closed("z1"), nil},
		{"a task for a label, and another zone is closed", labelled, closed("z2"), []ident.Worker{"w0"}},
		{"all zones", testStep(1, 1), closed("z1", "z2"), nil},
		{"a zone without workers", labelled, closed("z9"), []ident.Worker{"w0"}},
	} {
		for priority := range 3 {
			Convey(c.name, t, func() {
				b := newZonedBed("z1", "z1", "z2")
				b.scheduler.CloseZones(c.closed)
				b.submit(testJob("j2", priority, c.step))
				So(startedOn(b.runCycle()), ShouldResemble, c.want)
			})
		}
	}
	Convey("Work starts in the next pass after the zone is reopened", t, func() {
		b := newZonedBed("z1")
		b.scheduler.CloseZones(closed("z1"))
		b.submit(testJob("j2", 1, testStep(1, 1)))
		So(b.runCycle(), ShouldBeEmpty)
		b.scheduler.CloseZones(closed())
		So(b.runCycle(), ShouldHaveLength, 1)
	})
	Convey("Runs that are in progress go on", t, func() {
		b := newZonedBed("z1")
		b.submit(testJob("j2", 1, testStep(2, 1)))
		So(b.startsFor(100*time.Millisecond), ShouldEqual, 2)
		b.scheduler.CloseZones(closed("z1"))
		b.startsFor(10 * time.Second)
		So(b.stops, ShouldBeEmpty)
		So(b.scheduler.workers["w0"].active, ShouldHaveLength, 2)
	})
	Convey("Guaranteed work stops nothing in a closed zone to make room", t, func() {
		b := newZonedBed("z1", "z2")
		b.scheduler.Configure(map[ident.Workspace]WorkspaceGuarantee{"ws": {Accelerators: 8}})
		b.submit(testJob("j1", 2, testStep(2, 8)))
		b.runCycle()
		b.acceptStarts()
		b.scheduler.CloseZones(closed("z1"))
		b.submit(testJob("j2", 0, testStep(1, 8)))
		b.startsFor(300 * time.Millisecond)
		for _, v := range b.scheduler.workers["w1"].active {
			So(v.stop.requested, ShouldBeTrue)
		}
		for _, v := range b.scheduler.workers["w0"].active {
			So(v.stop.requested, ShouldBeFalse)
		}
	})
}

// Guards against a start that is sent although the zone was closed while its record was written,
// and against a gang of which some members are sent and others are not.
func TestStartsAreWithdrawnWhenTheirZoneCloses(t *testing.T) {
	Convey("A start in the zone is planned again, one elsewhere is sent", t, func() {
		b := newZonedBed("z1", "z2")
		step := testStep(2, 8)
		b.submit(testJob("j2", 1, step))
		c := b.prepared()
		So(c.Starts(), ShouldEqual, 2)
		b.scheduler.CloseZones(closed("z1"))
		So(startedOn(b.commit(c)), ShouldResemble, []ident.Worker{"w1"})
		So(b.loggedReasons(EventWithdrawn, "j2"), ShouldResemble, []string{string(WithdrawnZone)})
		So(b.scheduler.workers["w0"].active, ShouldBeEmpty)
		So(b.scheduler.workers["w0"].faults, ShouldEqual, 0)
		b.scheduler.CloseZones(nil)
		starts := b.runCycle()
		So(startedOn(starts), ShouldResemble, []ident.Worker{"w0"})
		So(starts[0].Run.Number, ShouldEqual, 2)
	})
	for _, zone := range []ident.Zone{"z1", "z2"} {
		Convey("No member of a gang with members in two zones is sent: "+string(zone), t, func() {
			b := newZonedBed("z1", "z2", "z3")
			gang := testStep(2, 8)
			gang.Gang, gang.MaxPerWorker = true, 1
			b.scheduler.CloseZones(closed("z3"))
			b.submit(testJob("j2", 1, gang))
			c := b.prepared()
			So(c.Starts(), ShouldEqual, 2)
			b.scheduler.CloseZones(closed(zone))
			So(b.commit(c), ShouldBeEmpty)
			So(b.loggedReasons(EventWithdrawn, "j2"), ShouldResemble, []string{string(WithdrawnZone), string(WithdrawnZone)})
			So(b.scheduler.TakeStops(), ShouldBeEmpty)
			starts := b.runCycle()
			So(starts, ShouldHaveLength, 2)
			So(starts[0].Run.Number, ShouldEqual, 2)
			So(starts[1].Run.Number, ShouldEqual, 2)
			for _, o := range starts {
				So(b.scheduler.workers[o.Worker].info.Zone, ShouldNotEqual, zone)
			}
		})
	}
	Convey("A member that is rejected after the zone was closed starts the gang again elsewhere", t, func() {
		b := newZonedBed("z1", "z2", "z3")
		gang := testStep(2, 8)
		gang.Gang = true
		b.scheduler.CloseZones(closed("z3"))
		b.submit(testJob("j2", 1, gang))
		sent := b.runCycle()
		So(startedOn(sent), ShouldResemble, []ident.Worker{"w0", "w1"})
		b.scheduler.CloseZones(closed("z1"))
		in1 := slices.IndexFunc(sent, func(o Order) bool { return o.Worker == "w0" })
		b.scheduler.Answered(sent[in1], AnswerRejectedNoCapacity, 0, b.now)
		other := sent[1-in1]
		b.scheduler.Answered(other, AnswerOK, b.clockMs, b.now)
		b.report("w1", nil, endedRow(1, other, EndStopped))
		So(startedOn(b.runCycle()), ShouldResemble, []ident.Worker{"w1", "w2"})
	})
	Convey("A commit that was refused and written again", t, func() {
		b := newZonedBed("z1")
		b.submit(testJob("j2", 1, testStep(1, 1)))
		c := b.prepared()
		b.scheduler.Abort(c)
		b.scheduler.CloseZones(closed("z1"))
		So(b.commit(b.scheduler.Prepare(100, nil)), ShouldBeEmpty)
	})
	Convey("A zone that is reopened and closed again before the release", t, func() {
		b := newZonedBed("z1")
		b.submit(testJob("j2", 1, testStep(1, 1)))
		c := b.prepared()
		b.scheduler.CloseZones(closed("z1"))
		b.scheduler.CloseZones(nil)
		b.scheduler.CloseZones(closed("z1"))
		So(b.commit(c), ShouldBeEmpty)
	})
}

// Guards against work that waits for a closed zone under the name of another rule, that counts as
// standing still, that keeps capacity from other work meanwhile, or that waits on when the zone is
// reopened.
func TestWorkWaitsForItsZone(t *testing.T) {
	labelled := testStep(1, 1)
	labelled.Label = "w0"
	gang := testStep(3, 8)
	gang.Gang = true
	spread := testStep(2, 1)
	spread.LongRunning, spread.MaxPerWorker = true, 1
	for _, c := range []struct {
		name string
		step Step
		// starts is how many tasks start although the zone is closed.
		starts  int
		prepare func(b standstillBed, j *Job)
	}{
		{"a label", labelled, 0, nil},
		{"a gang that is too large for the open zones", gang, 0, nil},
		{"one task on each worker", func() Step { s := spread; s.Tasks = 3; return s }(), 2, nil},
		{"headroom for urgent work", labelled, 0, func(b standstillBed, _ *Job) {
			b.scheduler.urgentPeak, b.scheduler.urgentPeakAt = 16, b.now
		}},
		{"a ticket of the advisor", labelled, 0, func(_ standstillBed, j *Job) { j.NeedsAdvice = true }},
	} {
		for priority := 1; priority < 3; priority++ {
			Convey(c.name, t, func() {
				b := newZonedBed("z1", "z2", "z3")
				b.scheduler.CloseZones(closed("z1"))
				j := testJob("j2", priority, c.step)
				if c.prepare != nil {
					c.prepare(b, j)
				}
				b.submit(j)
				So(b.startsFor(waitLogDelay+2*time.Second), ShouldEqual, c.starts)
				var reasons []string
				for _, e := range b.scheduler.TakeLogEvents() {
					So(e.Event, ShouldNotEqual, EventStandsStill)
					if e.Event == "task waits" {
						reasons = append(reasons, e.Reason)
					}
				}
				So(reasons, ShouldResemble, []string{"zone_evacuated"})
				summary := b.scheduler.Summarize(b.now)
				So(summary.Waiting[WaitForZone].Count, ShouldEqual, 1)
				So(b.scheduler.TakeAdviceRequests(), ShouldBeEmpty)
				b.scheduler.CloseZones(nil)
				if j.NeedsAdvice {
					b.startsFor(planInterval)
					step := b.scheduler.TakeAdviceRequests()[0].Step
					b.scheduler.Advised(step, []Ticket{{Worker: "u", Text: "t"}}, time.Minute, b.now, b.now)
				}
				So(b.startsFor(2*planInterval), ShouldEqual, c.step.Tasks-c.starts)
			})
		}
	}
	Convey("A job that stands still when the zone is closed does so no longer", t, func() {
		b := newZonedBed("z1", "z1", "z2")
		b.scheduler.urgentPeak, b.scheduler.urgentPeakAt = 24, b.now
		gang := testStep(2, 2)
		gang.Gang, gang.Label = true, "r-z1"
		b.submit(testJob("j2", 2, gang))
		So(b.startsFor(standstillLogDelay-200*time.Millisecond), ShouldEqual, 0)
		So(b.scheduler.jobs["j2"].waits, ShouldNotBeEmpty)
		b.scheduler.CloseZones(closed("z1"))
		b.startsFor(3 * time.Second)
		So(b.reasons(), ShouldBeEmpty)
	})
	Convey("Capacity elsewhere is free for other work", t, func() {
		b := newZonedBed("z1", "z2")
		b.submit(testJob("busy", 1, testStep(1, 4)))
		b.startsFor(100 * time.Millisecond)
		b.scheduler.CloseZones(closed("z1"))
		large := testStep(2, 8)
		large.Gang = true
		b.submit(testJob("large", 0, large))
		long := testStep(2, 4)
		long.EstimateMs = time.Hour.Milliseconds()
		b.submit(testJob("j2", 2, long))
		So(b.startsFor(2*planInterval), ShouldBeGreaterThan, 0)
	})
	Convey("Work that fits elsewhere once other work has ended waits for capacity", t, func() {
		b := newZonedBed("z1", "z2")
		b.submit(testJob("busy", 1, testStep(2, 8)))
		b.startsFor(100 * time.Millisecond)
		b.scheduler.CloseZones(closed("z1"))
		b.submit(testJob("j2", 1, testStep(1, 8)))
		b.startsFor(waitLogDelay + time.Second)
		So(b.loggedReasons("task waits", "j2"), ShouldResemble, []string{string(WaitForCapacity)})
	})
	Convey("A label that no worker has is not the zone's doing", t, func() {
		b := newZonedBed("z1", "z2")
		b.scheduler.CloseZones(closed("z1"))
		step := testStep(1, 1)
		step.Label = "none"
		b.submit(testJob("j2", 1, step))
		b.startsFor(waitLogDelay + time.Second)
		So(b.loggedReasons("task waits", "j2"), ShouldResemble, []string{string(WaitForWorker)})
	})
}
