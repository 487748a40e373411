package gangsched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// The benchmark keeps 12 tasks on each worker and measures this many decisions.
const (
	benchTasksPerWorker = 12
	benchDecisions      = 4000
	benchBacklog        = 500
	benchRack           = 16
	benchWorkspaces     = 610
)

// standing is a busy partition for benchmarks.
type standing struct {
	s       *Scheduler
	rng     *rand.Rand
	now     time.Time
	running []ident.Job
	at      map[ident.Job]int
	attempt map[ident.Job]int
	jobs    int
	tasks   int
}

func newStanding(workers int) *standing {
	b := &standing{s: New(Config{}), rng: rand.New(rand.NewPCG(1, uint64(workers))), now: testStart, at: make(map[ident.Job]int), attempt: make(map[ident.Job]int)}
	for i := range workers {
		b.s.AddWorker(b.now, model.Worker{ID: ident.Worker(fmt.Sprintf("w%d", i)), Rack: ident.Rack(fmt.Sprintf("r%d", i/benchRack)), Capacity: model.Resources{Accelerators: 16, Cores: 64, MemoryMB: 131072}})
	}
	var plan model.Plan
	for i := range benchWorkspaces {
		shape := model.Shape{Name: "gang", Count: max(workers/(4*benchWorkspaces), 1), Tasks: 4, PerTask: model.Resources{Accelerators: 4}, Locality: model.LocalityRack}
		plan.Workspaces = append(plan.Workspaces, model.WorkspacePlan{Workspace: ident.Workspace(fmt.Sprintf("ws%d", i)), Weight: 1 + i%3, Shapes: []model.Shape{shape}})
	}
	if err := b.s.ApplyPlan(b.now, plan); err != nil {
		panic(err)
	}
	return b
}

// fill submits jobs until the given number of tasks runs and a backlog waits.
func (b *standing) fill(tasks int) {
	for b.tasks < tasks || b.s.queuedCount() < benchBacklog {
		b.submit(false)
		b.schedule()
	}
}

func (b *standing) submit(claim bool) {
	b.jobs++
	sizes := []int{1, 1, 2, 4, 8, 16, 64}
	spec := model.Job{
		ID: ident.Job(fmt.Sprintf("j%d", b.jobs)), Workspace: ident.Workspace(fmt.Sprintf("ws%d", b.rng.IntN(benchWorkspaces))),
		Caller: ident.Caller(fmt.Sprint(b.rng.IntN(4))), Service: "svc", Tasks: sizes[b.rng.IntN(len(sizes))],
		PerTask: model.Resources{Accelerators: 1, Cores: 3, MemoryMB: 6000}, Locality: model.Locality(b.rng.IntN(2)),
		RunTime: time.Duration(1+b.rng.IntN(240)) * time.Minute, Checkpointable: b.rng.IntN(2) == 0,
	}
	if b.rng.IntN(5) == 0 {
		spec.PerTask.Accelerators = 2
	}
	if claim {
		spec.Shape, spec.Tasks, spec.Locality = "gang", 4, model.LocalityRack
		spec.PerTask = model.Resources{Accelerators: 4, Cores: 12, MemoryMB: 24000}
	}
	if err := b.s.Submit(b.now, spec); err != nil {
		panic(err)
	}
}

// schedule carries out the actions at once and returns whether a stop is due.
func (b *standing) schedule() []model.Action {
	actions := b.s.Schedule(b.now)
	for _, a := range actions {
		if a.Kind == model.ActionStart {
			b.at[a.Job] = len(b.running)
			b.running = append(b.running, a.Job)
			b.attempt[a.Job] = a.Attempt
			b.tasks += len(a.Members)
		}
	}
	return actions
}

func (b *standing) finish(id ident.Job, o model.Outcome) {
	i := b.at[id]
	last := b.running[len(b.running)-1]
	b.running[i], b.at[last] = last, i
	b.running = b.running[:len(b.running)-1]
	delete(b.at, id)
	b.tasks -= b.s.jobs[id].spec.Tasks
	b.s.Finished(b.now, model.Result{Job: id, Attempt: b.attempt[id], Outcome: o})
}

// decisions ends and submits jobs and returns how long each decision took.
func (b *standing) decisions(target int) []float64 {
	var took []float64
	var victims []ident.Job
	measure := func(f func()) {
		start := time.Now()
		f()
		for _, a := range b.schedule() {
			if a.Kind == model.ActionPreempt {
				victims = append(victims, a.Job)
			}
		}
		took = append(took, float64(time.Since(start).Nanoseconds())/1000)
	}
	for len(took) < benchDecisions {
		b.now = b.now.Add(time.Second)
		for _, v := range victims {
			b.finish(v, model.OutcomePreempted)
		}
		victims = nil
		claim := b.rng.IntN(20) == 0
		measure(func() { b.submit(claim) })
		if b.tasks > target || b.s.queuedCount() > benchBacklog {
			id := b.running[b.rng.IntN(len(b.running))]
			if b.s.jobs[id].state == StateRunning {
				measure(func() { b.finish(id, model.OutcomeSucceeded) })
			}
		}
	}
	return took
}

func percentile(values []float64, p float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// slope fits log y over log x.
func slope(x, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	for i := range x {
		lx, ly := math.Log(x[i]), math.Log(y[i])
		sx, sy, sxx, sxy = sx+lx, sy+ly, sxx+lx*lx, sxy+lx*ly
	}
	n := float64(len(x))
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// BenchmarkDecision measures one event (a submission or an end) with the
// decision that follows it, beside 12 standing tasks per worker.
func BenchmarkDecision(b *testing.B) {
	var sizes, p50s, p99s []float64
	for _, workers := range []int{1000, 5000, 20000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			before := heapMB()
			world := newStanding(workers)
			world.fill(benchTasksPerWorker * workers)
			resident := heapMB() - before
			var took []float64
			b.ResetTimer()
			for range b.N {
				took = append(took, world.decisions(benchTasksPerWorker*workers)...)
			}
			b.StopTimer()
			sizes = append(sizes, float64(workers))
			p50s = append(p50s, percentile(took, 0.5))
			p99s = append(p99s, percentile(took, 0.99))
			b.ReportMetric(p50s[len(p50s)-1], "p50-us")
			b.ReportMetric(p99s[len(p99s)-1], "p99-us")
			b.ReportMetric(resident, "resident-MB")
			b.ReportMetric(float64(world.s.queuedCount()), "queued")
			if len(sizes) > 1 {
				b.ReportMetric(slope(sizes, p50s), "p50-slope")
				b.ReportMetric(slope(sizes, p99s), "p99-slope")
			}
		})
	}
}
