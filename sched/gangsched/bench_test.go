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

// The benchmark keeps benchTasksPerWorker tasks on each worker and measures
// benchDecisions decisions.
const (
	benchTasksPerWorker = 12
	benchDecisions      = 4000
	benchQueuedJobs     = 500
	benchWorkersPerRack = 16
	benchWorkspaces     = 610
)

// busyPartition is a partition with running and queued jobs.
type busyPartition struct {
	s        *Scheduler
	rng      *rand.Rand
	now      time.Time
	running  []ident.Job
	position map[ident.Job]int
	attempt  map[ident.Job]int
	jobs     int
	tasks    int
}

func newBusyPartition(workers int) *busyPartition {
	p := &busyPartition{s: New(Config{}), rng: rand.New(rand.NewPCG(1, uint64(workers))), now: testStart, position: make(map[ident.Job]int), attempt: make(map[ident.Job]int)}
	for i := range workers {
		p.s.AddWorker(p.now, model.Worker{ID: ident.Worker(fmt.Sprintf("w%d", i)), Rack: ident.Rack(fmt.Sprintf("r%d", i/benchWorkersPerRack)), Capacity: model.Resources{Accelerators: 16, Cores: 64, MemoryMB: 131072}})
	}
	var plan model.Plan
	for i := range benchWorkspaces {
		shape := model.Shape{Name: "gang", Count: max(workers/(4*benchWorkspaces), 1), Tasks: 4, PerTask: model.Resources{Accelerators: 4}, Locality: model.LocalityRack}
		plan.Workspaces = append(plan.Workspaces, model.WorkspacePlan{Workspace: ident.Workspace(fmt.Sprintf("ws%d", i)), Weight: 1 + i%3, Shapes: []model.Shape{shape}})
	}
	if err := p.s.ApplyPlan(p.now, plan); err != nil {
		panic(err)
	}
	return p
}

// fill submits jobs until the given number of tasks runs and enough jobs wait.
func (p *busyPartition) fill(tasks int) {
	for p.tasks < tasks || p.s.queuedCount() < benchQueuedJobs {
		p.submit(false)
		p.schedule()
	}
}

func (p *busyPartition) submit(claim bool) {
	p.jobs++
	sizes := []int{1, 1, 2, 4, 8, 16, 64}
	spec := model.Job{
		ID: ident.Job(fmt.Sprintf("j%d", p.jobs)), Workspace: ident.Workspace(fmt.Sprintf("ws%d", p.rng.IntN(benchWorkspaces))),
		Caller: ident.Caller(fmt.Sprint(p.rng.IntN(4))), Service: "svc", Tasks: sizes[p.rng.IntN(len(sizes))],
		PerTask: model.Resources{Accelerators: 1, Cores: 3, MemoryMB: 6000}, Locality: model.Locality(p.rng.IntN(2)),
		RunTime: time.Duration(1+p.rng.IntN(240)) * time.Minute, Checkpointable: p.rng.IntN(2) == 0,
	}
	if p.rng.IntN(5) == 0 {
		spec.PerTask.Accelerators = 2
	}
	if claim {
		spec.Shape, spec.Tasks, spec.Locality = "gang", 4, model.LocalityRack
		spec.PerTask = model.Resources{Accelerators: 4, Cores: 12, MemoryMB: 24000}
	}
	if err := p.s.Submit(p.now, spec); err != nil {
		panic(err)
	}
}

// schedule carries out the starts at once and returns all actions.
func (p *busyPartition) schedule() []model.Action {
	actions := p.s.Schedule(p.now)
	for _, a := range actions {
		if a.Kind == model.ActionStart {
			p.position[a.Job] = len(p.running)
			p.running = append(p.running, a.Job)
			p.attempt[a.Job] = a.Attempt
			p.tasks += len(a.Members)
		}
	}
	return actions
}

func (p *busyPartition) finish(id ident.Job, o model.Outcome) {
	i := p.position[id]
	last := p.running[len(p.running)-1]
	p.running[i], p.position[last] = last, i
	p.running = p.running[:len(p.running)-1]
	delete(p.position, id)
	p.tasks -= p.s.jobs[id].spec.Tasks
	p.s.Finished(p.now, model.Result{Job: id, Attempt: p.attempt[id], Outcome: o})
}

// measureDecisions ends and submits jobs and returns how many microseconds each
// decision took.
func (p *busyPartition) measureDecisions(targetTasks int) []float64 {
	var took []float64
	var victims []ident.Job
	measure := func(f func()) {
		start := time.Now()
		f()
		for _, a := range p.schedule() {
			if a.Kind == model.ActionPreempt {
				victims = append(victims, a.Job)
			}
		}
		took = append(took, float64(time.Since(start).Nanoseconds())/1000)
	}
	for len(took) < benchDecisions {
		p.now = p.now.Add(time.Second)
		for _, v := range victims {
			p.finish(v, model.OutcomePreempted)
		}
		victims = nil
		claim := p.rng.IntN(20) == 0
		measure(func() { p.submit(claim) })
		if p.tasks > targetTasks || p.s.queuedCount() > benchQueuedJobs {
			id := p.running[p.rng.IntN(len(p.running))]
			if p.s.jobs[id].state == StateRunning {
				measure(func() { p.finish(id, model.OutcomeSucceeded) })
			}
		}
	}
	return took
}

func percentile(values []float64, p float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// logLogSlope returns the slope of a line fitted to log y over log x.
func logLogSlope(x, y []float64) float64 {
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
// decision that follows it, while 12 tasks run on each worker.
func BenchmarkDecision(b *testing.B) {
	var sizes, p50s, p99s []float64
	for _, workers := range []int{1000, 5000, 20000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			before := heapMB()
			partition := newBusyPartition(workers)
			partition.fill(benchTasksPerWorker * workers)
			resident := heapMB() - before
			var took []float64
			b.ResetTimer()
			for range b.N {
				took = append(took, partition.measureDecisions(benchTasksPerWorker*workers)...)
			}
			b.StopTimer()
			sizes = append(sizes, float64(workers))
			p50s = append(p50s, percentile(took, 0.5))
			p99s = append(p99s, percentile(took, 0.99))
			b.ReportMetric(p50s[len(p50s)-1], "p50-us")
			b.ReportMetric(p99s[len(p99s)-1], "p99-us")
			b.ReportMetric(resident, "resident-MB")
			b.ReportMetric(float64(partition.s.queuedCount()), "queued")
			if len(sizes) > 1 {
				b.ReportMetric(logLogSlope(sizes, p50s), "p50-slope")
				b.ReportMetric(logLogSlope(sizes, p99s), "p99-slope")
			}
		})
	}
}
