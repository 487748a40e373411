package baseline

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

// withTwoWorkers adds to a policy two workers of 8 accelerators in one rack and
// two workspaces with a quota of 8 each.
func withTwoWorkers(p trace.Policy) trace.Policy {
	capacity := model.Resources{Accelerators: 8}
	for i := range 2 {
		p.AddWorker(trace.Epoch, model.Worker{ID: ident.Worker(fmt.Sprint("w", i)), Rack: "r", Capacity: capacity})
	}
	shape := []model.Shape{{Name: "s", Count: 1, Tasks: 1, PerTask: capacity, Locality: model.LocalityWorker}}
	_ = p.ApplyPlan(trace.Epoch, model.Plan{Workspaces: []model.WorkspacePlan{
		{Workspace: "a", Shapes: shape}, {Workspace: "b", Shapes: shape, MaxQueue: 3},
	}})
	return p
}

func job(id ident.Job, workspace ident.Workspace, tasks, accelerators int, runTime time.Duration) model.Job {
	return model.Job{ID: id, Workspace: workspace, Tasks: tasks, RunTime: runTime,
		PerTask: model.Resources{Accelerators: accelerators}, Locality: model.LocalityRack}
}

// submit submits the jobs one second apart and returns the time after them.
func submit(p trace.Policy, jobs ...model.Job) time.Time {
	now := trace.Epoch
	for _, j := range jobs {
		j.Submitted = now
		So(p.Submit(now, j), ShouldBeNil)
		now = now.Add(time.Second)
	}
	return now
}

// formatActions formats actions as "kind:job".
func formatActions(actions []model.Action) []string {
	names := map[model.ActionKind]string{model.ActionStart: "start", model.ActionPreempt: "preempt", model.ActionReport: "report"}
	formatted := []string{}
	for _, a := range actions {
		formatted = append(formatted, names[a.Kind]+":"+string(a.Job))
	}
	return formatted
}

// A baseline that deviates from the policy it is named after would make the
// comparison with the scheduler meaningless.
func TestPolicies(t *testing.T) {
	Convey("FIFO starts no job behind one that does not fit", t, func() {
		p := withTwoWorkers(NewFIFO())
		now := submit(p, job("1", "a", 1, 8, time.Hour), job("2", "a", 2, 8, time.Hour), job("3", "a", 1, 1, time.Minute))
		So(formatActions(p.Schedule(now)), ShouldResemble, []string{"start:1"})
		p.Finished(now, model.Result{Job: "1", Attempt: 1, Outcome: model.OutcomeSucceeded})
		So(formatActions(p.Schedule(now)), ShouldResemble, []string{"start:2"})
	})
	Convey("Quota backfills only jobs that do not delay the blocked job", t, func() {
		p := withTwoWorkers(NewQuota())
		now := submit(p, job("1", "a", 1, 8, time.Hour), job("2", "a", 2, 8, time.Hour),
			job("3", "a", 1, 1, 2*time.Hour), job("4", "a", 1, 1, time.Minute))
		So(formatActions(p.Schedule(now)), ShouldResemble, []string{"start:1", "start:4"})
	})
	Convey("Quota preempts for a workspace within its quota and waits for the victims", t, func() {
		p := withTwoWorkers(NewQuota())
		now := submit(p, job("1", "a", 1, 8, time.Hour), job("2", "a", 1, 8, time.Hour))
		So(formatActions(p.Schedule(now)), ShouldResemble, []string{"start:1", "start:2"})
		So(p.Submit(now, job("3", "b", 1, 4, time.Hour)), ShouldBeNil)
		So(formatActions(p.Schedule(now)), ShouldResemble, []string{"preempt:2"})
		So(formatActions(p.Schedule(now)), ShouldBeEmpty)
		p.Finished(now, model.Result{Job: "2", Attempt: 1, Outcome: model.OutcomePreempted})
		So(formatActions(p.Schedule(now)), ShouldResemble, []string{"start:3"})
	})
	for name, newPolicy := range map[string]func() trace.Policy{
		"fifo":  func() trace.Policy { return withTwoWorkers(NewFIFO()) },
		"quota": func() trace.Policy { return withTwoWorkers(NewQuota()) },
	} {
		Convey(name+" refuses jobs that can never run and jobs beyond the queue limit", t, func() {
			p := newPolicy()
			So(errkind.Is(p.Submit(trace.Epoch, job("x", "a", 3, 8, 0)), errkind.Unschedulable), ShouldBeTrue)
			So(errkind.Is(p.Submit(trace.Epoch, job("x", "c", 1, 1, 0)), errkind.Unschedulable), ShouldBeTrue)
			submit(p, job("1", "b", 1, 8, 0), job("2", "b", 1, 8, 0), job("3", "b", 1, 8, 0))
			So(errkind.Is(p.Submit(trace.Epoch, job("4", "b", 1, 8, 0)), errkind.QuotaExceeded), ShouldBeTrue)
		})
		Convey(name+" retries a failed job on another worker and ends it after maxFailures failures", t, func() {
			p := newPolicy()
			now := submit(p, job("1", "a", 1, 8, 0))
			first := p.Schedule(now)[0].Members[0].Worker
			p.Finished(now, model.Result{Job: "1", Attempt: 1, Outcome: model.OutcomeFailed, FailedOn: first})
			So(p.Schedule(now), ShouldBeEmpty)
			for attempt := 2; attempt <= maxFailures; attempt++ {
				now = now.Add(retryDelay)
				started := p.Schedule(now)
				So(formatActions(started), ShouldResemble, []string{"start:1"})
				worker := started[0].Members[0].Worker
				So(attempt == 2 && worker == first, ShouldBeFalse)
				p.Finished(now, model.Result{Job: "1", Attempt: attempt, Outcome: model.OutcomeFailed, FailedOn: worker})
			}
			So(formatActions(p.Schedule(now)), ShouldResemble, []string{"report:1"})
		})
		Convey(name+" starts nothing on a lost worker", t, func() {
			p := newPolicy()
			p.RemoveWorker(trace.Epoch, "w0")
			now := submit(p, job("1", "a", 1, 8, 0), job("2", "a", 1, 8, 0))
			So(len(p.Schedule(now)), ShouldEqual, 1)
			p.AddWorker(now, model.Worker{ID: "w0", Rack: "r", Capacity: model.Resources{Accelerators: 8}})
			So(len(p.Schedule(now)), ShouldEqual, 1)
		})
	}
}
