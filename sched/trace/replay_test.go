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

// scripted is a policy that answers each call of Schedule from a function.
type scripted struct {
	schedule func(now time.Duration) []model.Action
	refuse   bool
	finished []model.Result
}

func (s *scripted) AddWorker(time.Time, model.Worker)          {}
func (s *scripted) RemoveWorker(time.Time, ident.Worker)       {}
func (s *scripted) ApplyPlan(time.Time, model.Plan) error      { return nil }
func (s *scripted) Finished(_ time.Time, r model.Result)       { s.finished = append(s.finished, r) }
func (s *scripted) Cancel(time.Time, ident.Job) []model.Action { return nil }
func (s *scripted) Submit(time.Time, model.Job) error {
	if s.refuse {
		return errkind.New(errkind.Unschedulable, "refused")
	}
	return nil
}
func (s *scripted) Schedule(now time.Time) []model.Action { return s.schedule(now.Sub(Epoch)) }

// small returns a trace of three workers with 4 accelerators in racks of two
// and one, and one guaranteed shape of a whole rack.
func small(arrivals ...Arrival) Trace {
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

func start(id ident.Job, attempt int, worker ident.Worker, accelerators ...int) model.Action {
	return model.Action{Kind: model.ActionStart, Job: id, Attempt: attempt,
		Members: []model.Member{{Worker: worker, Accelerators: accelerators}}}
}

// at returns a schedule that issues actions once at given times.
func at(script map[time.Duration][]model.Action) func(time.Duration) []model.Action {
	return func(now time.Duration) []model.Action {
		actions := script[now]
		delete(script, now)
		return actions
	}
}

// A policy must not be able to gain from invalid starts or stops.
func TestReplayRefusesInvalidActions(t *testing.T) {
	cases := map[string][]model.Action{
		"unknown job":          {start("x", 1, "w0", 0)},
		"accelerator twice":    {start("a", 1, "w0", 0, 1), start("b", 1, "w0", 1, 2)},
		"accelerator repeated": {start("a", 1, "w0", 0, 0)},
		"accelerator missing":  {start("a", 1, "w0", 3, 4)},
		"too few accelerators": {start("a", 1, "w0", 0)},
		"too few members":      {{Kind: model.ActionStart, Job: "a", Attempt: 1}},
		"unknown worker":       {start("a", 1, "w9", 0, 1)},
		"started twice":        {start("a", 1, "w0", 0, 1), start("a", 2, "w1", 0, 1)},
		"attempt repeated":     {start("a", 0, "w0", 0, 1)},
		"stop of a queued job": {{Kind: model.ActionPreempt, Job: "a", Attempt: 1}},
	}
	for name, actions := range cases {
		Convey(name, t, func() {
			policy := &scripted{schedule: at(map[time.Duration][]model.Action{0: actions})}
			_, err := Replay(small(arrival("a", 2, ""), arrival("b", 2, "")), policy)
			So(err, ShouldNotBeNil)
		})
	}
}

// Preempted work must keep what its checkpoint covers and lose the rest.
func TestPreemptionTakesItsGrace(t *testing.T) {
	cases := []struct {
		name       string
		checkpoint time.Duration
		able       bool
		lost       time.Duration
	}{
		{"checkpoint within the grace period", time.Second, true, 2 * time.Second},
		{"only the periodic checkpoint", 3 * time.Second, true, time.Minute + 2*time.Second},
		{"no checkpoint", time.Second, false, 6*time.Minute + 2*time.Second},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			job := arrival("a", 2, "")
			job.CheckpointTime, job.Job.Checkpointable = c.checkpoint, c.able
			stop := startDelay + 6*time.Minute
			other := arrival("b", 2, "")
			other.At = stop
			policy := &scripted{schedule: at(map[time.Duration][]model.Action{
				0:                    {start("a", 1, "w0", 0, 1)},
				stop:                 {{Kind: model.ActionPreempt, Job: "a", Attempt: 1, Grace: 2 * time.Second}},
				stop + 2*time.Second: {start("a", 2, "w0", 0, 1), start("b", 1, "w0", 2, 3)},
			})}
			o, err := Replay(small(job, other), policy)
			So(err, ShouldBeNil)
			So(policy.finished[0].Outcome, ShouldEqual, model.OutcomePreempted)
			So(policy.finished[0].Saved, ShouldEqual, 6*time.Minute+2*time.Second-c.lost)
			So(o.runs[0].state, ShouldEqual, stateSucceeded)
			So(o.runs[0].lost, ShouldEqual, c.lost)
			So(o.runs[0].endedAt, ShouldEqual, stop+2*time.Second+startDelay+10*time.Minute-policy.finished[0].Saved)
		})
	}
}

// The checker must see late claims and impossible shapes, and nothing else.
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
			0: {startPair, start("o", 1, "w2", full...)}}, 0, 0},
		{"a held gang blocks the other shape", []Arrival{one}, map[time.Duration][]model.Action{
			0: {start("o", 1, "w0", full...)}}, 1, 0},
		{"other work on the shape can be stopped", []Arrival{other}, map[time.Duration][]model.Action{
			0: {start("x", 1, "w0", full...)}}, 0, 0},
		{"one of two gangs can be stopped", []Arrival{one, arrival("o2", 4, "one")}, map[time.Duration][]model.Action{
			0:           {start("o", 1, "w0", full...)},
			time.Second: {start("o2", 1, "w2", full...)}}, 1, 0},
		{"a claim never starts", []Arrival{one}, nil, 0, 1},
		{"a claim starts late", []Arrival{one}, map[time.Duration][]model.Action{
			16 * time.Second: {start("o", 1, "w2", full...)}}, 0, 1},
		{"a claim starts in time", []Arrival{one}, map[time.Duration][]model.Action{
			time.Second: {start("o", 1, "w2", full...)}}, 0, 0},
		{"a second claim waits for the first", []Arrival{one, arrival("o2", 4, "one")},
			map[time.Duration][]model.Action{
				0:                           {start("o", 1, "w2", full...)},
				startDelay + 10*time.Minute: {start("o2", 1, "w2", full...)}}, 0, 0},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			o, err := Replay(small(c.arrivals...), &scripted{schedule: at(c.script)})
			So(err, ShouldBeNil)
			So(o.checker.unmetCount, ShouldEqual, c.unmet)
			So(o.checker.lateCount, ShouldEqual, c.late)
		})
	}
}

// chaos starts, preempts and cancels at random, and keeps its own record of
// which accelerators are in use.
type chaos struct {
	random  *rand.Rand
	workers map[ident.Worker]bool
	queued  []model.Job
	running map[ident.Job]model.Action
	jobs    map[ident.Job]model.Job
	attempt int
	fails   map[ident.Job]int
	gaveUp  []model.Action
	fault   string
}

func (c *chaos) AddWorker(_ time.Time, w model.Worker)     { c.workers[w.ID] = true }
func (c *chaos) RemoveWorker(_ time.Time, id ident.Worker) { c.workers[id] = false }
func (c *chaos) ApplyPlan(time.Time, model.Plan) error     { return nil }
func (c *chaos) Cancel(_ time.Time, id ident.Job) []model.Action {
	for i, job := range c.queued {
		if job.ID == id {
			c.queued = append(c.queued[:i:i], c.queued[i+1:]...)
		}
	}
	if a, ok := c.running[id]; ok {
		return []model.Action{{Kind: model.ActionStop, Job: id, Attempt: a.Attempt, Grace: time.Second}}
	}
	return nil
}
func (c *chaos) Submit(_ time.Time, job model.Job) error {
	c.queued = append(c.queued, job)
	c.jobs[job.ID] = job
	return nil
}
func (c *chaos) Finished(_ time.Time, r model.Result) {
	if c.running[r.Job].Attempt != r.Attempt {
		c.fault = "result of an attempt that does not run"
	}
	delete(c.running, r.Job)
	if r.Outcome == model.OutcomeFailed {
		c.fails[r.Job]++
	}
	if c.fails[r.Job] == 5 {
		c.gaveUp = append(c.gaveUp, model.Action{Kind: model.ActionReport, Job: r.Job, Reason: model.ReasonJobFailsEverywhere})
		return
	}
	if r.Outcome != model.OutcomeSucceeded && r.Outcome != model.OutcomeCanceled {
		c.queued = append(c.queued, c.jobs[r.Job])
	}
}
func (c *chaos) Schedule(time.Time) []model.Action {
	actions := c.gaveUp
	c.gaveUp = nil
	for id, a := range c.running {
		if len(c.running) == 1 && c.random.IntN(8) == 0 {
			actions = append(actions, model.Action{Kind: model.ActionPreempt, Job: id, Attempt: a.Attempt, Grace: 2 * time.Second})
		}
	}
	used := make(map[string]bool)
	for _, a := range c.running {
		used[fmt.Sprint(a.Members[0].Worker, a.Members[0].Accelerators)] = true
	}
	var left []model.Job
	for _, job := range c.queued {
		worker := ident.Worker(fmt.Sprint("w", c.random.IntN(3)))
		place := []int{c.random.IntN(4)}
		if used[fmt.Sprint(worker, place)] || !c.workers[worker] {
			left = append(left, job)
			continue
		}
		used[fmt.Sprint(worker, place)] = true
		c.attempt++
		a := start(job.ID, c.attempt, worker, place...)
		c.running[job.ID] = a
		actions = append(actions, a)
	}
	c.queued = left
	return actions
}

// No job may get lost or be counted twice, whatever the policy does: each one
// ends or is still in the policy's queue, a job that succeeded has run for
// exactly its run time, and nothing stays in use.
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
		tr := small(arrivals...)
		tr.Faults = []Fault{
			{FaultLost, "w1", Window{10 * time.Minute, 20 * time.Minute}},
			{FaultFailing, "w2", Window{15 * time.Minute, 40 * time.Minute}},
		}
		policy := &chaos{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)),
			fails: make(map[ident.Job]int), workers: make(map[ident.Worker]bool), running: make(map[ident.Job]model.Action), jobs: make(map[ident.Job]model.Job)}
		o, err := Replay(tr, policy)
		if err != nil || policy.fault != "" {
			rt.Fatal(err, policy.fault)
		}
		checkConservation(rt, o, policy)
	})
}

func checkConservation(rt *rapid.T, o *Outcome, policy *chaos) {
	live := 0
	for _, job := range o.runs {
		total := time.Duration(0)
		for _, piece := range job.pieces {
			total += piece.To - piece.From
		}
		switch {
		case job.state == stateSucceeded && (total != job.RunTime || job.FailsEverywhere):
			rt.Fatalf("%s succeeded after %v of %v", job.Job.ID, total, job.RunTime)
		case job.state == stateFuture || job.state == stateRefused:
			rt.Fatalf("%s was not accepted", job.Job.ID)
		case !job.ended():
			live++
		}
	}
	if live != len(policy.queued)+len(policy.running) {
		rt.Fatalf("%d jobs live, policy has %d", live, len(policy.queued)+len(policy.running))
	}
	busy := 0
	for _, used := range o.cluster.used {
		busy += used.Accelerators
	}
	if busy != len(policy.running) {
		rt.Fatalf("%d accelerators in use by %d jobs", busy, len(policy.running))
	}
}
