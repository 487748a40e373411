package e2e_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra/standin"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

const initialSheet = `record,workspace,name,count,tasks,accelerators,locality,weight,priority,max_queue
workspace,carrier,,,,,,2,30,20
workspace,inspection,,,,,,1,40,20
workspace,archive,,,,,,1,10,20
shape,carrier,rack-of-16,1,2,8,rack,,,
shape,inspection,one-worker,2,1,8,worker,,,
service,carrier,coverage,,,,,,,
`

// submitJob submits a job and returns its id, or "" when it was rejected.
func (c *cluster) submitJob(n *node, workspace, shape string, tasks, accelerators int, locality model.Locality, key string) ident.Job {
	job := model.Job{
		Workspace: ident.Workspace(workspace), Caller: "planning", Service: "coverage", Shape: shape,
		Tasks: tasks, PerTask: model.Resources{Accelerators: accelerators}, Locality: locality,
		RunTime: time.Hour, Checkpointable: true, Submitted: time.Now(),
	}
	status, err := n.entry.Jobs().Submit(context.Background(), job, key)
	c.printf("submit  workspace=%s shape=%q tasks=%d accelerators=%d key=%q: %s %v", workspace, shape, tasks, accelerators, key, status.GetSpec().GetId(), err)
	return ident.Job(status.GetSpec().GetId())
}

// printJob writes the state of a job to the transcript.
func (c *cluster) printJob(n *node, id ident.Job) {
	e, err := n.entry.Jobs().Explain(context.Background(), id)
	var workers []string
	for _, p := range e.GetStatus().GetPlacements() {
		workers = append(workers, p.GetWorker())
	}
	c.printf("explain %s state=%s attempt=%d reason=%s on=%s waits_for=%d %v", id, e.GetStatus().GetState(), e.GetStatus().GetAttempt(),
		e.GetReason(), strings.Join(workers, ","), len(e.GetWaitsFor()), err)
}

func (c *cluster) cancelJob(n *node, id ident.Job) {
	status, err := n.entry.Jobs().Cancel(context.Background(), id)
	c.printf("cancel  %s: %s %v", id, status.GetState(), err)
}

// printShapes writes the held, lent and missing slots of each shape, and the owner.
func (c *cluster) printShapes(n *node) {
	view, err := n.entry.Jobs().View(context.Background(), "amman-a")
	for _, s := range view.GetShapes() {
		c.printf("shape   %s/%s guaranteed=%d held=%d lent=%d short=%d", s.GetWorkspace(), s.GetShape(), s.GetGuaranteed(), s.GetHeld(), s.GetLent(), s.GetShort())
	}
	c.printf("owner   %s epoch=%d queued=%d running=%d %v", view.GetOwner(), view.GetEpoch(), view.GetQueued(), view.GetRunning(), err)
}

// isolate disconnects an entry from the stores and the workers, like a paused or
// crashed process.
func (c *cluster) isolate(name string) {
	c.store.SetTableFaults(name, standin.Faults{Down: true})
	c.store.SetObjectFaults(name, standin.Faults{Down: true})
	for i := range 10 {
		c.fleet.SetLinkDown(name, ident.Worker(fmt.Sprintf("worker-%02d", i)), true)
	}
}

// requireRestartWithin fails the test unless the gang's second attempt started
// within the limit. The exact time depends on when probes and ticks coincide, so it
// is not part of the transcript.
func (c *cluster) requireRestartWithin(id ident.Job, since time.Time, bound time.Duration) {
	for _, r := range c.fleet.Runs() {
		if r.Ref.Job == id && r.Ref.Attempt == 2 && r.Start.Sub(since) <= bound {
			return
		}
	}
	c.t.Errorf("job %s did not restart within %s", id, bound)
}

// printRuns writes each run that the workers have recorded for a job.
func (c *cluster) printRuns(id ident.Job) {
	all := c.fleet.Runs()
	slices.SortStableFunc(all, func(a, b standin.Run) int {
		return cmp.Or(cmp.Compare(a.Ref.Attempt, b.Ref.Attempt), cmp.Compare(a.Ref.Member, b.Ref.Member))
	})
	for _, r := range all {
		if r.Ref.Job == id {
			c.printf("run     %s attempt=%d member=%d worker=%s state=%s", id, r.Ref.Attempt, r.Ref.Member, r.Worker, r.State)
		}
	}
}

// Guards against unintended changes in what operators and job owners see:
// concurrent changes by two operators, reclaim of lent capacity, explanations,
// cancellation, a lost worker and a takeover of the ownership.
func TestJobsEndToEnd(t *testing.T) {
	runInBubble(t, func(c *cluster) {
		// entry-2 is the preferred owner; it starts first, so that no handover occurs.
		second := c.startEntry("entry-2", "10.0.0.2", zoneB)
		time.Sleep(2 * time.Second)
		first := c.startEntry("entry-1", "10.0.0.1", zoneA)
		time.Sleep(3 * time.Second)
		c.applySheet(first, initialSheet, 0)
		c.printf("note    a second operator applies a change based on an outdated version")
		c.applySheet(second, strings.Replace(initialSheet, "carrier,,,,,,2", "carrier,,,,,,3", 1), 0)
		c.printVersions()
		c.printf("note    best-effort jobs fill the zone")
		var bestEffort []ident.Job
		for range 10 {
			bestEffort = append(bestEffort, c.submitJob(second, "archive", "", 1, 8, model.LocalityWorker, ""))
			// Different start times make the job with the least lost work unique.
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		c.printShapes(second)
		waiting := c.submitJob(first, "archive", "", 1, 8, model.LocalityWorker, "")
		time.Sleep(time.Second)
		c.printJob(first, waiting)
		c.submitJob(first, "archive", "", 1, 9, model.LocalityWorker, "")
		c.submitJob(first, "carrier", "no-such-shape", 1, 8, model.LocalityWorker, "")
		c.printf("note    workspace carrier reclaims its guaranteed rack")
		gang := c.submitJob(first, "carrier", "rack-of-16", 2, 8, model.LocalityRack, "night-study")
		c.submitJob(second, "carrier", "rack-of-16", 2, 8, model.LocalityRack, "night-study")
		time.Sleep(4600 * time.Millisecond)
		c.printJob(second, gang)
		c.printShapes(first)
		c.cancelJob(first, waiting)
		c.printf("note    a worker of the gang fails")
		c.fleet.Kill(c.workerOf(second, gang, 1))
		killedAt := time.Now()
		time.Sleep(40 * time.Second)
		c.requireRestartWithin(gang, killedAt, 20*time.Second)
		c.printJob(first, gang)
		c.printRuns(gang)
		c.printf("note    the owner is disconnected from the table and the workers")
		view, _ := first.entry.Jobs().View(context.Background(), "amman-a")
		c.isolate(view.GetOwner())
		time.Sleep(5 * time.Second)
		newOwner := first
		if view.GetOwner() == "entry-1" {
			newOwner = second
		}
		c.printShapes(newOwner)
		c.printJob(newOwner, gang)
		c.cancelJob(newOwner, bestEffort[9])
		time.Sleep(30 * time.Second)
		c.printJob(newOwner, bestEffort[9])
		c.printRuns(gang)
		c.compareGolden("jobs", "control.eventsmap[event:acquired", "control.eventsmap[event:takeover", "control.eventsmap[event:gang_started",
			"control.eventsmap[event:worker_lost", "control.eventsmap[event:submit_refused")
	})
}

func (c *cluster) workerOf(n *node, id ident.Job, member int) ident.Worker {
	e, err := n.entry.Jobs().Explain(context.Background(), id)
	if err != nil || len(e.GetStatus().GetPlacements()) <= member {
		c.t.Fatalf("job %s has no member %d: %v", id, member, err)
	}
	return ident.Worker(e.GetStatus().GetPlacements()[member].GetWorker())
}
