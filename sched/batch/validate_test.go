package batch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against a job whose numbers overflow when they are added or multiplied, and which
// then ends the process of every owner, one after the other.
func TestJobsBeyondReasonAreInvalid(t *testing.T) {
	Convey("A job of the usual kind is valid", t, func() {
		So(testJob("j1", 0, testStep(400, 8)).Validate(), ShouldBeNil)
	})
	Convey("Numbers beyond reason are not", t, func() {
		change := map[string]func(j *Job){
			"task counts whose sum is negative": func(j *Job) { j.Steps = []Step{testStep(1<<62, 0), testStep(1<<62, 0)} },
			"task counts whose sum is small": func(j *Job) {
				j.Steps = []Step{testStep(1<<62, 0), testStep(1<<62, 0), testStep(1<<62, 0), testStep(1<<62, 0), testStep(1, 0)}
			},
			"repetitions whose product is zero":      func(j *Job) { j.Steps, j.Repetitions = []Step{testStep(400, 0)}, 1<<60 },
			"more tasks than a row holds":            func(j *Job) { j.Steps, j.Repetitions = []Step{testStep(40, 0)}, 11 },
			"no steps":                               func(j *Job) { j.Steps = nil },
			"no tasks":                               func(j *Job) { j.Steps[0].Tasks = 0 },
			"negative repetitions":                   func(j *Job) { j.Repetitions = -1 },
			"negative accelerators":                  func(j *Job) { j.Steps[0].PerTask.Accelerators = -8 },
			"a billion accelerators":                 func(j *Job) { j.Steps[0].PerTask.Accelerators = 1_000_000_000 },
			"memory of 2^62 MB":                      func(j *Job) { j.Steps[0].PerTask.MemoryMB = 1 << 62 },
			"an estimate that overflows nanoseconds": func(j *Job) { j.Steps[0].EstimateMs = 1 << 62 },
			"a negative estimate":                    func(j *Job) { j.Steps[0].EstimateMs = -1 },
			"a start before 1970":                    func(j *Job) { j.StartAtMs = -1 },
			"a start after 2200":                     func(j *Job) { j.StartAtMs = maxUnixMs + 1 },
			"an interval of 300 million years":       func(j *Job) { j.IntervalMs = 1 << 62 },
			"a dependency on itself":                 func(j *Job) { j.Steps[0].DependsOn = []int{0} },
			"a negative limit per worker":            func(j *Job) { j.Steps[0].MaxPerWorker = -1 },
			"negative attempts":                      func(j *Job) { j.MaxAttempts = -1 },
		}
		for name, apply := range change {
			j := testJob("j1", 0, testStep(1, 1))
			apply(j)
			So(fmt.Sprintf("%s: %v", name, j.Validate()), ShouldNotEqual, name+": <nil>")
		}
	})
}

// Guards against a worker whose description overflows sums over all workers, or makes all
// later ones of it count as old.
func TestWorkersBeyondReasonAreInvalid(t *testing.T) {
	Convey("Only descriptions that can be true are valid", t, func() {
		valid := WorkerInfo{ID: "w", Incarnation: testIncarnation(1_700_000_000_000), Labels: []string{"a"}, Capacity: Resources{64000, 100000, 8}}
		So(valid.Validate(), ShouldBeNil)
		for _, change := range []func(w *WorkerInfo){
			func(w *WorkerInfo) { w.Capacity.MilliCores = 1 << 62 },
			func(w *WorkerInfo) { w.Capacity.MemoryMB = -1 },
			func(w *WorkerInfo) { w.Capacity.Accelerators = 1_000_000_000 },
			func(w *WorkerInfo) { w.Labels = make([]string, 100_000) },
			func(w *WorkerInfo) { w.Labels = []string{strings.Repeat("x", 1000)} },
			func(w *WorkerInfo) { w.Incarnation.StartedMs = 1 << 62 },
			func(w *WorkerInfo) { w.Incarnation.StartedMs = -1 },
		} {
			w := valid
			change(&w)
			So(w.Validate(), ShouldNotBeNil)
		}
	})
}

// Guards against a configuration beyond reason that makes times overflow.
func TestObjectiveIsBounded(t *testing.T) {
	Convey("Extreme slack factors and targets give a bounded objective", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		for _, slack := range []float64{-1e308, 0, 1e308} {
			for _, target := range []int64{-1 << 62, 0, 1 << 62} {
				j := testJob(fmt.Sprint(slack, target), 0, testStep(400, 8))
				j.SlackFactor, j.TargetMs = slack, target
				b.submit(j)
				objective := b.scheduler.objective(b.scheduler.jobs[j.ID])
				So(objective, ShouldBeBetweenOrEqual, time.Duration(0), maxObjective)
			}
		}
		b.runCycle()
	})
}

// FuzzJob schedules any job that is valid: none may end the process.
func FuzzJob(f *testing.F) {
	for _, j := range []*Job{testJob("j1", 0, testStep(3, 1)), testJob("j2", 2, Step{Tasks: 2, Gang: true, SameRack: true, Checkpoints: true})} {
		raw, err := json.Marshal(j)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, []byte(`{"s":"running","t":[{"p":1,"r":1,"w":"w1","l":{"u":"u","b":1}}]}`))
	}
	f.Add([]byte(`{"id":"j","st":[{"n":4611686018427387904},{"n":4611686018427387904}]}`), []byte(`{}`))
	f.Add([]byte(`{"id":"j","rp":1152921504606846976,"st":[{"n":400}]}`), []byte(`{"t":[{"r":-5}]}`))
	f.Add([]byte(strings.Repeat(`{"id":`, 9000)), []byte(strings.Repeat(`[`, 9000)))
	f.Fuzz(func(_ *testing.T, spec, state []byte) {
		var j Job
		var record Record
		if json.Unmarshal(spec, &j) != nil || j.Validate() != nil || json.Unmarshal(state, &record) != nil || record.Validate() != nil {
			return
		}
		b := newTestbed()
		b.scheduler.Configure(map[ident.Workspace]WorkspaceGuarantee{j.Workspace: {Accelerators: 1 << 62}})
		b.addWorker("w1", "r1")
		b.scheduler.Load(&j, record, false, b.now)
		for range 3 {
			b.runCycle()
			b.acceptStarts()
			b.advance(900 * time.Millisecond)
			b.report("w1", nil, nil)
		}
		b.scheduler.Cancel(j.ID, b.now)
		b.runCycle()
	})
}
