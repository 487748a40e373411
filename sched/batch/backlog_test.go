package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/admission"
)

// ahead returns the work ahead of a new job of a priority in a measured backlog.
func ahead(b *admission.Backlog, label string, priority int) time.Duration {
	if b.Services["svc"] == nil {
		return 0
	}
	return time.Duration(b.Services["svc"].Pools[label].AheadMs[priority]) * time.Millisecond
}

// Guards against a published backlog that counts work which holds no new job up, or leaves out
// work that does.
func TestBacklogIsWorkAhead(t *testing.T) {
	measure := func(b *testbed) *admission.Backlog { return new(BacklogMeter).Measure(b.scheduler, b.now) }
	oneWorker := func() *testbed {
		b := newTestbed()
		b.addWorker("w1", "r1")
		return b
	}
	Convey("Waiting and running work of the same and more urgent priorities is ahead", t, func() {
		b := oneWorker()
		b.submit(testJob("bulk", 2, testStep(8, 1))) // 5 s of the whole worker
		b.submit(testJob("normal", 1, testStep(8, 1)))
		b.submit(testJob("urgent", 0, testStep(8, 1)))
		for priority, want := range []time.Duration{5 * time.Second, 10 * time.Second, 15 * time.Second} {
			So(ahead(measure(b), "", priority), ShouldEqual, want)
		}
		var running []RunningTask
		for _, o := range b.runCycle() {
			running = append(running, runningRow(o, 0))
		}
		b.acceptStarts()
		b.advance(2 * time.Second)
		b.report("w1", running, nil)
		So(ahead(measure(b), "", 0), ShouldAlmostEqual, 3*time.Second, float64(10*time.Millisecond))
		So(ahead(measure(b), "", 2), ShouldAlmostEqual, 13*time.Second, float64(10*time.Millisecond))
	})
	Convey("Late work of the own priority is placed later, but for bulk work, and expired work is no work", t, func() {
		b := oneWorker()
		for priority := range 3 {
			b.submit(testJob(fmt.Sprint("p", priority), priority, testStep(8, 1))) // 16 s, latest start after 11 s
		}
		b.advance(12 * time.Second)
		b.report("w1", nil, nil)
		So(ahead(measure(b), "", 0), ShouldEqual, 0)
		So(ahead(measure(b), "", 1), ShouldEqual, 5*time.Second)
		So(ahead(measure(b), "", 2), ShouldEqual, 15*time.Second)
		b.advance(37 * time.Second)
		b.report("w1", nil, nil)
		So(measure(b).Services, ShouldBeEmpty)
	})
	Convey("Later steps, later occurrences, long-running and best-effort tasks are not ahead", t, func() {
		b := oneWorker()
		later := testStep(8, 1)
		later.DependsOn = []int{0}
		b.submit(testJob("steps", 1, testStep(8, 1), later))
		repeated := testJob("repeated", 1, testStep(8, 1))
		repeated.Repetitions, repeated.StartAtMs, repeated.IntervalMs = 3, testStart.UnixMilli(), 60_000
		b.submit(repeated)
		lasting, filling := testStep(4, 1), testStep(4, 1)
		lasting.LongRunning, filling.BestEffort = true, true
		b.submit(testJob("lasting", 1, lasting))
		b.submit(testJob("filling", 1, filling))
		So(ahead(measure(b), "", 1), ShouldEqual, 10*time.Second)
	})
	Convey("A checkpoint saves work", t, func() {
		b := oneWorker()
		step := testStep(8, 1)
		step.Checkpoints = true
		record := Record{State: JobRunning}
		for range 8 {
			record.Tasks = append(record.Tasks, TaskRecord{Run: 1, Checkpoint: "c", CheckpointPercent: 60})
		}
		b.scheduler.Load(testJob("resumed", 1, step), record, false, b.now)
		So(ahead(measure(b), "", 1), ShouldAlmostEqual, 2*time.Second, float64(10*time.Millisecond))
	})
	Convey("Each label has its own workers and work", t, func() {
		b := oneWorker()
		b.addWorker("w2", "r2")
		labelled := testStep(8, 1)
		labelled.Label = "r2"
		b.submit(testJob("labelled", 2, labelled))
		b.submit(testJob("other", 2, testStep(8, 1)))
		So(ahead(measure(b), "r2", 2), ShouldEqual, 5*time.Second)
		So(ahead(measure(b), "", 2), ShouldEqual, 2500*time.Millisecond)
		labelled.Label = "none"
		b.submit(testJob("impossible", 2, labelled))
		So(measure(b).Services["svc"].Pools, ShouldNotContainKey, "none")
	})
	Convey("A worker counts for a while after it was lost, and not once it leaves", t, func() {
		b := oneWorker()
		b.addWorker("w2", "r2")
		job := testJob("j", 2, testStep(16, 1))
		job.TargetMs = time.Hour.Milliseconds()
		b.submit(job)
		So(ahead(measure(b), "", 2), ShouldEqual, 5*time.Second)
		b.scheduler.Attached("w2", false)
		b.advance(capacityMemory - time.Second)
		So(ahead(measure(b), "", 2), ShouldEqual, 5*time.Second)
		b.advance(time.Second)
		So(measure(b).Services, ShouldBeEmpty)
		b.report("w1", nil, nil)
		So(ahead(measure(b), "", 2), ShouldEqual, 10*time.Second)
	})
}

// Guards against a drain rate that counts what arrives, or forgets what was served.
func TestDrainRateIsWhatLeaves(t *testing.T) {
	Convey("It is the work that becomes less, beside what is added", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		var meter BacklogMeter
		for i := range 200 {
			job := testJob(fmt.Sprint("first", i), 2, testStep(1, 1))
			job.TargetMs = time.Hour.Milliseconds()
			b.submit(job)
		}
		var last *admission.Backlog
		number := int64(0)
		var running []Order
		for i := range 60 {
			for _, o := range running {
				if i%5 == 0 {
					number++
					b.report("w1", nil, endedRow(number, o, EndSucceeded))
				}
			}
			if i%5 == 0 {
				b.runCycle()
				b.acceptStarts()
				running = b.starts
				So(running, ShouldHaveLength, 8)
			}
			for k := range 4 {
				job := testJob(fmt.Sprintf("later%d-%d", i, k), 2, testStep(1, 1))
				job.AcceptedMs, job.TargetMs = b.now.UnixMilli(), time.Hour.Milliseconds()
				b.submit(job)
			}
			last = meter.Measure(b.scheduler, b.now)
			b.advance(time.Second)
		}
		So(float64(last.Services["svc"].Pools[""].DrainPermille[2])/1000, ShouldAlmostEqual, 1, 0.2)
	})
}

// Guards against entries that compute another objective or path than the scheduler.
func TestAdmissionUsesSchedulersObjective(t *testing.T) {
	b := newTestbed()
	for i := range 4 {
		b.addWorker(fmt.Sprint("w", i), "r1")
	}
	wide, last := testStep(20, 1), testStep(1, 1)
	last.DependsOn = []int{0}
	spec := testJob("j", 1, wide, last)
	b.submit(spec)
	b.scheduler.Schedule(b.now)
	Convey("The objective is the scheduler's, the path has no waves", t, func() {
		published := new(BacklogMeter).Measure(b.scheduler, b.now)
		request := AdmissionJob(spec, published)
		So(request.Objective, ShouldEqual, b.scheduler.objective(b.scheduler.jobs["j"]))
		So(request.Objective, ShouldEqual, 61*time.Second) // 3 times three waves and the last step, and 1 s
		So(request.Starts, ShouldResemble, []admission.Start{{Path: 10 * time.Second}})
	})
	Convey("A queue whose tasks take longer than declared has longer paths", t, func() {
		published := new(BacklogMeter).Measure(b.scheduler, b.now)
		published.Services["svc"].Queues = map[string]int64{"q": 20_000}
		So(AdmissionJob(spec, published).Starts, ShouldResemble, []admission.Start{{Path: 40 * time.Second}})
		So(AdmissionJob(spec, published).Objective, ShouldBeGreaterThan, b.scheduler.objective(b.scheduler.jobs["j"]))
	})
	Convey("Jobs without an end or an estimate are of value whenever they end", t, func() {
		published := new(BacklogMeter).Measure(b.scheduler, b.now)
		repeated, lasting, unknown := *spec, *spec, *spec
		repeated.Repetitions = 2
		lasting.Steps = []Step{{Tasks: 1, LongRunning: true}}
		unknown.Steps = []Step{{Tasks: 1}}
		So(AdmissionJob(&repeated, published).Objective, ShouldEqual, 0)
		So(AdmissionJob(&lasting, published).Objective, ShouldEqual, 0)
		So(AdmissionJob(&unknown, published).Starts, ShouldResemble, []admission.Start{{}})
	})
}

// Guards against an entry that refuses a job which the scheduler would take as guaranteed.
func TestWithinGuaranteeAgreesWithTiers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(testTiming, testStart)
		guarantee := rapid.IntRange(0, 24).Draw(t, "guarantee")
		s.Configure(map[ident.Workspace]WorkspaceGuarantee{"ws": {Accelerators: guarantee}})
		var unfinished []*Job
		for i := range rapid.IntRange(0, 6).Draw(t, "jobs") {
			job := testJob(fmt.Sprint("j", i), rapid.IntRange(0, 1).Draw(t, "priority"), testStep(rapid.IntRange(1, 3).Draw(t, "tasks"), rapid.IntRange(0, 8).Draw(t, "accelerators")))
			job.AcceptedMs += rapid.Int64Range(0, 5).Draw(t, "accepted")
			s.Load(job, Record{}, false, testStart)
			unfinished = append(unfinished, job)
		}
		spec := testJob("new", rapid.IntRange(0, 1).Draw(t, "priority"), testStep(rapid.IntRange(1, 3).Draw(t, "tasks"), rapid.IntRange(0, 8).Draw(t, "accelerators")))
		spec.AcceptedMs += 10
		within := WithinGuarantee(guarantee, unfinished, spec)
		s.Load(spec, Record{}, false, testStart)
		if guaranteed := s.tiers(testStart.Add(time.Second))[s.jobs["new"]] == tierGuaranteed; guaranteed != within {
			t.Fatalf("within the guarantee: %v, tier of the scheduler: %v", within, guaranteed)
		}
	})
}

// BenchmarkMeasureBacklog measures what the owner does once a second for its backlog.
func BenchmarkMeasureBacklog(b *testing.B) {
	bed := newBusy(2000)
	var meter BacklogMeter
	for b.Loop() {
		bed.advance(time.Millisecond)
		meter.Measure(bed.scheduler, bed.now)
	}
}
