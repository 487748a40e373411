package trace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// scriptedPolicy is a policy whose Schedule calls a function.
type scriptedPolicy struct {
	schedule func(now time.Duration) []model.Action
	refuse   bool
	finished []model.Result
}

func (s *scriptedPolicy) AddWorker(time.Time, model.Worker)          {}
func (s *scriptedPolicy) RemoveWorker(time.Time, ident.Worker)       {}
func (s *scriptedPolicy) ApplyPlan(time.Time, model.Plan) error      { return nil }
func (s *scriptedPolicy) Finished(_ time.Time, r model.Result)       { s.finished = append(s.finished, r) }
func (s *scriptedPolicy) Cancel(time.Time, ident.Job) []model.Action { return nil }
func (s *scriptedPolicy) Submit(time.Time, model.Job) error {
	if s.refuse {
		return errkind.New(errkind.Unschedulable, "refused")
	}
	return nil
}
func (s *scriptedPolicy) Schedule(now time.Time) []model.Action { return s.schedule(now.Sub(Epoch)) }

// smallTrace returns a trace of three workers with 4 accelerators each, in racks
// of two workers and one, with a guaranteed shape of two workers in a rack and one
// of a single worker.
func smallTrace(arrivals ...Arrival) Trace {
	perTask := model.Resources{Accelerators: 4}
	t := Trace{Name: "small", Length: time.Hour, Arrivals: arrivals, Plan: model.Plan{
		Workspaces: []model.WorkspacePlan{{Workspace: "w", Shapes: []model.Shape{
			{Name: "pair", Count: 1, Tasks: 2, PerTask: perTask, Locality: model.LocalityRack},
			{Name: "one", Count: 1, Tasks: 1, PerTask: perTask, Locality: model.LocalityWorker},
		}}},
	}}
	for i, rack := range []ident.Rack{"a", "a", "b"} {
		t.Workers = append(t.Workers, model.Worker{
			ID: ident.Worker(fmt.Sprint("w", i)), Rack: rack, Capacity: model.Resources{Accelerators: 4},
		})
	}
	return t
}

// arrival returns a job of one task that runs for ten minutes.
func arrival(id ident.Job, accelerators int, shape string) Arrival {
	return Arrival{RunTime: 10 * time.Minute, Job: model.Job{
		ID: id, Workspace: "w", Tasks: 1, PerTask: model.Resources{Accelerators: accelerators},
		Locality: model.LocalityWorker, Shape: shape, Checkpointable: true, Submitted: Epoch,
	}}
}

func startAction(id ident.Job, attempt int, worker ident.Worker, accelerators ...int) model.Action {
	return model.Action{Kind: model.ActionStart, Job: id, Attempt: attempt,
		Members: []model.Member{{Worker: worker, Accelerators: accelerators}}}
}

// actionsAt returns a schedule function that returns actions once at given times.
func actionsAt(script map[time.Duration][]model.Action) func(time.Duration) []model.Action {
	return func(now time.Duration) []model.Action {
		actions := script[now]
		delete(script, now)
		return actions
	}
}

// A policy could improve its results by invalid starts or stops if the replay
// accepted them.
func TestReplayRefusesInvalidActions(t *testing.T) {
	cases := map[string][]model.Action{
		"unknown job":          {startAction("x", 1, "w0", 0)},
		"accelerator twice":    {startAction("a", 1, "w0", 0, 1), startAction("b", 1, "w0", 1, 2)},
		"accelerator repeated": {startAction("a", 1, "w0", 0, 0)},
		"accelerator missing":  {startAction("a", 1, "w0", 3, 4)},
		"too few accelerators": {startAction("a", 1, "w0", 0)},
		"too few members":      {{Kind: model.ActionStart, Job: "a", Attempt: 1}},
		"unknown worker":       {startAction("a", 1, "w9", 0, 1)},
		"started twice":        {startAction("a", 1, "w0", 0, 1), startAction("a", 2, "w1", 0, 1)},
		"attempt repeated":     {startAction("a", 0, "w0", 0, 1)},
		"stop of a queued job": {{Kind: model.ActionPreempt, Job: "a", Attempt: 1}},
	}
	for name, actions := range cases {
		Convey(name, t, func() {
			policy := &scriptedPolicy{schedule: actionsAt(map[time.Duration][]model.Action{0: actions})}
			_, err := Replay(smallTrace(arrival("a", 2, ""), arrival("b", 2, "")), policy)
			So(err, ShouldNotBeNil)
		})
	}
}

// A preempted job must keep the run time that its checkpoint covers and repeat the
// rest.
func TestPreemptionKeepsCheckpointedTime(t *testing.T) {
	cases := []struct {
		name           string
		checkpoint     time.Duration
		checkpointable bool
		repeated       time.Duration
	}{
		{"checkpoint within the grace period", time.Second, true, 2 * time.Second},
		{"only the periodic checkpoint", 3 * time.Second, true, time.Minute + 2*time.Second},
		{"no checkpoint", time.Second, false, 6*time.Minute + 2*time.Second},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			job := arrival("a", 2, "")
			job.CheckpointTime, job.Job.Checkpointable = c.checkpoint, c.checkpointable
			stop := startDelay + 6*time.Minute
			other := arrival("b", 2, "")
			other.At = stop
			policy := &scriptedPolicy{schedule: actionsAt(map[time.Duration][]model.Action{
				0:                    {startAction("a", 1, "w0", 0, 1)},
				stop:                 {{Kind: model.ActionPreempt, Job: "a", Attempt: 1, Grace: 2 * time.Second}},
				stop + 2*time.Second: {startAction("a", 2, "w0", 0, 1), startAction("b", 1, "w0", 2, 3)},
			})}
			o, err := Replay(smallTrace(job, other), policy)
			So(err, ShouldBeNil)
			So(policy.finished[0].Outcome, ShouldEqual, model.OutcomePreempted)
			So(policy.finished[0].Saved, ShouldEqual, 6*time.Minute+2*time.Second-c.repeated)
			So(o.jobs[0].state, ShouldEqual, stateSucceeded)
			So(o.jobs[0].repeatedTime, ShouldEqual, c.repeated)
			So(o.jobs[0].endedAt, ShouldEqual, stop+2*time.Second+startDelay+10*time.Minute-policy.finished[0].Saved)
		})
	}
}

// The checker must count late claims and shapes that cannot be met, and nothing
// else.
func TestGuaranteeViolations(t *testing.T) {
	pair := Arrival{RunTime: 10 * time.Minute, Job: model.Job{ID: "p", Workspace: "w", Tasks: 2,
		PerTask: model.Resources{Accelerators: 4}, Locality: model.LocalityRack, Shape: "pair", Submitted: Epoch}}
	one := arrival("o", 4, "one")
	full := []int{0, 1, 2, 3}
	startPair := model.Action{Kind: model.ActionStart, Job: "p", Attempt: 1,
		Members: []model.Member{{Worker: "w0", Accelerators: full}, {Worker: "w1", Accelerators: full}}}
	other := arrival("x", 4, "")
	cases := []struct {
		name        string
		arrivals    []Arrival
		script      map[time.Duration][]model.Action
		unmet, late int
	}{
		{"both claims start at once", []Arrival{pair, one}, map[time.Duration][]model.Action{
			0: {startPair, startAction("o", 1, "w2", full...)}}, 0, 0},
		{"a gang that holds one shape blocks the other", []Arrival{one}, map[time.Duration][]model.Action{
			0: {startAction("o", 1, "w0", full...)}}, 1, 0},
		{"a job that claims no shape can be preempted", []Arrival{other}, map[time.Duration][]model.Action{
			0: {startAction("x", 1, "w0", full...)}}, 0, 0},
		{"one of two gangs can be stopped", []Arrival{one, arrival("o2", 4, "one")}, map[time.Duration][]model.Action{
			0:           {startAction("o", 1, "w0", full...)},
			time.Second: {startAction("o2", 1, "w2", full...)}}, 1, 0},
		{"a claim never starts", []Arrival{one}, nil, 0, 1},
		{"a claim starts late", []Arrival{one}, map[time.Duration][]model.Action{
			16 * time.Second: {startAction("o", 1, "w2", full...)}}, 0, 1},
		{"a claim starts in time", []Arrival{one}, map[time.Duration][]model.Action{
			time.Second: {startAction("o", 1, "w2", full...)}}, 0, 0},
		{"a second claim waits for the first", []Arrival{one, arrival("o2", 4, "one")},
			map[time.Duration][]model.Action{
				0:                           {startAction("o", 1, "w2", full...)},
				startDelay + 10*time.Minute: {startAction("o2", 1, "w2", full...)}}, 0, 0},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			o, err := Replay(smallTrace(c.arrivals...), &scriptedPolicy{schedule: actionsAt(c.script)})
			So(err, ShouldBeNil)
			So(o.checker.unmetCount, ShouldEqual, c.unmet)
			So(o.checker.lateCount, ShouldEqual, c.late)
		})
	}
}

// randomPolicy starts and preempts jobs at random, and keeps its own record of
// the accelerators in use.
type randomPolicy struct {
	random    *rand.Rand
	workers   map[ident.Worker]bool
	queued    []model.Job
	running   map[ident.Job]model.Action
	jobs      map[ident.Job]model.Job
	attempt   int
	failures  map[ident.Job]int
	reports   []model.Action
	violation string
}

func (p *randomPolicy) AddWorker(_ time.Time, w model.Worker)     { p.workers[w.ID] = true }
func (p *randomPolicy) RemoveWorker(_ time.Time, id ident.Worker) { p.workers[id] = false }
func (p *randomPolicy) ApplyPlan(time.Time, model.Plan) error     { return nil }
func (p *randomPolicy) Cancel(_ time.Time, id ident.Job) []model.Action {
	for i, job := range p.queued {
		if job.ID == id {
			p.queued = append(p.queued[:i:i], p.queued[i+1:]...)
		}
	}
	if a, ok := p.running[id]; ok {
		return []model.Action{{Kind: model.ActionStop, Job: id, Attempt: a.Attempt, Grace: time.Second}}
	}
	return nil
}
func (p *randomPolicy) Submit(_ time.Time, job model.Job) error {
	p.queued = append(p.queued, job)
	p.jobs[job.ID] = job
	return nil
}
func (p *randomPolicy) Finished(_ time.Time, r model.Result) {
	if p.running[r.Job].Attempt != r.Attempt {
		p.violation = "result of an attempt that does not run"
	}
	delete(p.running, r.Job)
	if r.Outcome == model.OutcomeFailed {
		p.failures[r.Job]++
	}
	if p.failures[r.Job] == 5 {
		p.reports = append(p.reports, model.Action{Kind: model.ActionReport, Job: r.Job, Reason: model.ReasonJobFailsEverywhere})
		return
	}
	if r.Outcome != model.OutcomeSucceeded && r.Outcome != model.OutcomeCanceled {
		p.queued = append(p.queued, p.jobs[r.Job])
	}
}
func (p *randomPolicy) Schedule(time.Time) []model.Action {
	actions := p.reports
	p.reports = nil
	for id, a := range p.running {
		if len(p.running) == 1 && p.random.IntN(8) == 0 {
			actions = append(actions, model.Action{Kind: model.ActionPreempt, Job: id, Attempt: a.Attempt, Grace: 2 * time.Second})
		}
	}
	used := make(map[string]bool)
	for _, a := range p.running {
		used[fmt.Sprint(a.Members[0].Worker, a.Members[0].Accelerators)] = true
	}
	var waiting []model.Job
	for _, job := range p.queued {
		worker := ident.Worker(fmt.Sprint("w", p.random.IntN(3)))
		accelerators := []int{p.random.IntN(4)}
		if used[fmt.Sprint(worker, accelerators)] || !p.workers[worker] {
			waiting = append(waiting, job)
			continue
		}
		used[fmt.Sprint(worker, accelerators)] = true
		p.attempt++
		a := startAction(job.ID, p.attempt, worker, accelerators...)
		p.running[job.ID] = a
		actions = append(actions, a)
	}
	p.queued = waiting
	return actions
}

// No job may get lost or be counted twice, whatever the policy does: each job has
// ended, runs or is in the policy's queue, a job that succeeded has run for exactly
// its run time, and only running jobs use accelerators.
func TestReplayConservesJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var arrivals []Arrival
		for i := range rapid.IntRange(1, 30).Draw(rt, "jobs") {
			a := arrival(ident.Job(fmt.Sprint("j", i)), 1, "")
			a.At = time.Duration(rapid.IntRange(0, 3000).Draw(rt, "at")) * time.Second
			a.Job.Checkpointable = rapid.Bool().Draw(rt, "checkpointable")
			a.FailsEverywhere = rapid.IntRange(0, 20).Draw(rt, "fails") == 0
			if rapid.Bool().Draw(rt, "cancel") {
				a.CancelAt = a.At + time.Duration(rapid.IntRange(0, 2000).Draw(rt, "after"))*time.Second
			}
			arrivals = append(arrivals, a)
		}
		tr := smallTrace(arrivals...)
		tr.Faults = []Fault{
			{FaultLost, "w1", Window{10 * time.Minute, 20 * time.Minute}},
			{FaultFailing, "w2", Window{15 * time.Minute, 40 * time.Minute}},
		}
		policy := &randomPolicy{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)),
			failures: make(map[ident.Job]int), workers: make(map[ident.Worker]bool), running: make(map[ident.Job]model.Action), jobs: make(map[ident.Job]model.Job)}
		o, err := Replay(tr, policy)
		if err != nil || policy.violation != "" {
			rt.Fatal(err, policy.violation)
		}
		checkConservation(rt, o, policy)
	})
}

func checkConservation(rt *rapid.T, o *Outcome, policy *randomPolicy) {
	unfinished := 0
	for _, job := range o.jobs {
		total := time.Duration(0)
		for _, span := range job.countedSpans {
			total += span.To - span.From
		}
		switch {
		case job.state == stateSucceeded && (total != job.RunTime || job.FailsEverywhere):
			rt.Fatalf("%s succeeded after %v of %v", job.Job.ID, total, job.RunTime)
		case job.state == stateNotSubmitted || job.state == stateRefused:
			rt.Fatalf("%s was not accepted", job.Job.ID)
		case !job.ended():
			unfinished++
		}
	}
	if unfinished != len(policy.queued)+len(policy.running) {
		rt.Fatalf("%d jobs live, policy has %d", unfinished, len(policy.queued)+len(policy.running))
	}
	busy := 0
	for _, used := range o.cluster.used {
		busy += used.Accelerators
	}
	if busy != len(policy.running) {
		rt.Fatalf("%d accelerators in use by %d jobs", busy, len(policy.running))
	}
}
