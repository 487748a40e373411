package gangsched

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// event is an arrival or the end of an attempt.
type event struct {
	at      time.Time
	seq     int
	arrival *arrivingJob
	result  model.Result
}

type arrivingJob struct {
	job model.Job
	// actual is the true run time.
	actual time.Duration
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// replay runs arrivals against a scheduler in virtual time.
type replay struct {
	s          *Scheduler
	queue      events
	seq        int
	specs      map[ident.Job]*arrivingJob
	completion map[ident.Job]time.Duration
	saved      map[ident.Job]time.Duration
	started    map[ident.Job]time.Time
	firstStart map[ident.Job]time.Time
	attempt    map[ident.Job]int
	lostWork   float64
}

func newReplay(plan model.Plan) *replay {
	r := &replay{s: New(Config{}), specs: make(map[ident.Job]*arrivingJob), completion: make(map[ident.Job]time.Duration), saved: make(map[ident.Job]time.Duration), started: make(map[ident.Job]time.Time), firstStart: make(map[ident.Job]time.Time), attempt: make(map[ident.Job]int)}
	for rack, size := range []int{3, 3, 3, 1} {
		for i := range size {
			r.s.AddWorker(testStart, model.Worker{ID: ident.Worker(fmt.Sprintf("w%d-%d", rack, i)), Rack: ident.Rack(fmt.Sprintf("r%d", rack)), Capacity: model.Resources{Accelerators: 8, Cores: 64, MemoryMB: 131072}})
		}
	}
	if err := r.s.ApplyPlan(testStart, plan); err != nil {
		panic(err)
	}
	return r
}

func (r *replay) push(at time.Time, e event) {
	r.seq++
	e.at, e.seq = at, r.seq
	heap.Push(&r.queue, e)
}

func (r *replay) arrive(at time.Duration, job model.Job, actual time.Duration) {
	job.ID = ident.Job(fmt.Sprintf("%s-%06d", job.ID, len(r.specs)))
	job.Submitted = testStart.Add(at)
	spec := &arrivingJob{job: job, actual: actual}
	r.specs[job.ID] = spec
	r.push(job.Submitted, event{arrival: spec})
}

func (r *replay) run() {
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		if e.arrival != nil {
			if err := r.s.Submit(e.at, e.arrival.job); err != nil {
				panic(err)
			}
		} else {
			r.finish(e)
		}
		for _, a := range r.s.Schedule(e.at) {
			r.handleAction(e.at, a)
		}
	}
}

func (r *replay) finish(e event) {
	id := e.result.Job
	if r.attempt[id] != e.result.Attempt || r.s.jobs[id] == nil {
		return
	}
	if e.result.Outcome == model.OutcomeSucceeded {
		if r.s.jobs[id].state == StateStopping {
			return
		}
		r.completion[id] = e.at.Sub(r.specs[id].job.Submitted)
	} else {
		ran := e.at.Sub(r.started[id])
		if r.specs[id].job.Checkpointable {
			r.saved[id] += ran
		} else {
			r.lostWork += ran.Seconds() * r.s.jobs[id].weight()
		}
		e.result.Saved = r.saved[id]
	}
	r.s.Finished(e.at, e.result)
}

func (r *replay) handleAction(now time.Time, a model.Action) {
	switch a.Kind {
	case model.ActionStart:
		r.attempt[a.Job] = a.Attempt
		r.started[a.Job] = now
		if _, ok := r.firstStart[a.Job]; !ok {
			r.firstStart[a.Job] = now
		}
		left := r.specs[a.Job].actual - r.saved[a.Job]
		r.push(now.Add(left), event{result: model.Result{Job: a.Job, Attempt: a.Attempt, Outcome: model.OutcomeSucceeded}})
	case model.ActionPreempt, model.ActionMigrate, model.ActionStop:
		r.push(now.Add(a.Grace), event{result: model.Result{Job: a.Job, Attempt: a.Attempt, Outcome: model.OutcomePreempted}})
	}
}

// completions returns the completion times in seconds of the jobs that match.
func (r *replay) completions(match func(model.Job) bool) []float64 {
	var out []float64
	for _, id := range sortedKeys(r.specs) {
		if match(r.specs[id].job) {
			out = append(out, r.completion[id].Seconds())
		}
	}
	return out
}

// waits returns the waits in seconds until the first start.
func (r *replay) waits(match func(model.Job) bool) []float64 {
	var out []float64
	for _, id := range sortedKeys(r.specs) {
		if match(r.specs[id].job) {
			out = append(out, r.firstStart[id].Sub(r.specs[id].job.Submitted).Seconds())
		}
	}
	return out
}

var twoWorkspaces = model.Plan{Workspaces: []model.WorkspacePlan{{Workspace: "a", Weight: 1}, {Workspace: "b", Weight: 1}}}

func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return max(time.Duration(rng.ExpFloat64()*float64(mean)), time.Second)
}

// mixedDay is a day of small jobs with whole-rack gangs in between, at about
// 85% load. A third of the small jobs cannot be checkpointed.
func mixedDay(seed uint64) *replay {
	rng := rand.New(rand.NewPCG(seed, 1))
	r := newReplay(twoWorkspaces)
	for at := time.Duration(0); at < 24*time.Hour; at += exponential(rng, 30*time.Second) {
		actual := exponential(rng, 20*time.Minute)
		declared := time.Duration(float64(actual) * (0.5 + 2*rng.Float64()))
		job := model.Job{ID: "small", Workspace: "a", Caller: ident.Caller(fmt.Sprint(rng.IntN(4))), Service: "s", Tasks: 1, PerTask: model.Resources{Accelerators: 1 + rng.IntN(2), Cores: 4, MemoryMB: 4096}, RunTime: declared, Checkpointable: rng.IntN(3) > 0}
		r.arrive(at, job, actual)
	}
	for at := time.Hour; at < 24*time.Hour; at += 4 * time.Hour {
		job := model.Job{ID: "gang", Workspace: "b", Caller: "x", Service: "g", Tasks: 3, PerTask: model.Resources{Accelerators: 8, Cores: 32, MemoryMB: 65536}, Locality: model.LocalityRack, RunTime: time.Hour, Checkpointable: true}
		r.arrive(at, job, time.Hour)
	}
	return r
}

// sharedWorkspace has one workspace in which one caller submits 100 times the
// work of four small ones; without the large caller only the small ones submit.
func sharedWorkspace(seed uint64, large bool) *replay {
	rng := rand.New(rand.NewPCG(seed, 2))
	r := newReplay(twoWorkspaces)
	for at := time.Duration(0); at < 12*time.Hour; at += exponential(rng, 2*time.Minute) {
		actual := 30*time.Second + exponential(rng, time.Minute)
		r.arrive(at, model.Job{ID: "small", Workspace: "a", Caller: ident.Caller(fmt.Sprint("small", rng.IntN(4))), Service: "s", Tasks: 1, PerTask: model.Resources{Accelerators: 1, Cores: 4, MemoryMB: 4096}, RunTime: actual}, actual)
	}
	rng = rand.New(rand.NewPCG(seed, 3))
	for at := time.Duration(0); large && at < 12*time.Hour; at += exponential(rng, 5*time.Second) {
		actual := 4*time.Minute + exponential(rng, 3*time.Minute)
		r.arrive(at, model.Job{ID: "large", Workspace: "a", Caller: "large", Service: "l", Tasks: 1, PerTask: model.Resources{Accelerators: 1, Cores: 4, MemoryMB: 4096}, RunTime: actual, Checkpointable: rng.IntN(2) == 0}, actual)
	}
	return r
}

func hasIDPrefix(prefix string) func(model.Job) bool {
	return func(j model.Job) bool { return len(j.ID) >= len(prefix) && string(j.ID[:len(prefix)]) == prefix }
}

// BenchmarkReplay measures the quality of decisions in virtual time.
func BenchmarkReplay(b *testing.B) {
	b.Run("mixed", func(b *testing.B) {
		for range b.N {
			r := mixedDay(7)
			r.run()
			b.ReportMetric(percentile(r.completions(hasIDPrefix("small")), 0.5), "p50-completion-s")
			b.ReportMetric(percentile(r.completions(hasIDPrefix("small")), 0.99), "p99-completion-s")
			b.ReportMetric(slices.Max(r.waits(hasIDPrefix("gang"))), "largest-gang-wait-s")
			b.ReportMetric(r.lostWork, "lost-work-s")
		}
	})
	b.Run("small", func(b *testing.B) {
		for range b.N {
			unloaded, loaded := sharedWorkspace(7, false), sharedWorkspace(7, true)
			unloaded.run()
			loaded.run()
			ratio := percentile(loaded.completions(hasIDPrefix("small")), 0.99) / percentile(unloaded.completions(hasIDPrefix("small")), 0.99)
			b.ReportMetric(ratio, "small-p99-ratio")
			b.ReportMetric(loaded.lostWork, "lost-work-s")
		}
	})
}
