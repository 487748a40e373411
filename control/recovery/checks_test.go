package recovery_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/standin"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// maxPartialRun is how long a part of a gang may run without the rest: the task
// lease (15 s) and the start timeout (5 s) of executor.DefaultTiming.
const maxPartialRun = 20 * time.Second

// checkRuns returns the first violated invariant in the runs so far: two
// attempts of a job run at once, or a part of a gang runs for too long.
func (c *cluster) checkRuns(tasks func(ident.Job) int) error {
	now := time.Now()
	byJob := map[ident.Job][]standin.Run{}
	for _, r := range c.fleet.Runs() {
		if r.End.IsZero() {
			r.End = now
		}
		byJob[r.Ref.Job] = append(byJob[r.Ref.Job], r)
	}
	for id, runs := range byJob {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.Ref.Attempt != b.Ref.Attempt && a.Start.Before(b.End) && b.Start.Before(a.End) {
					return fmt.Errorf("job %s runs as attempts %d and %d at once", id, a.Ref.Attempt, b.Ref.Attempt)
				}
			}
		}
		if d := longestPartial(runs, tasks(id)); d > maxPartialRun {
			return fmt.Errorf("a part of gang %s ran alone for %v", id, d)
		}
	}
	return nil
}

// longestPartial returns the longest time during which some members of an
// attempt ran while others neither ran nor had succeeded.
func longestPartial(runs []standin.Run, tasks int) time.Duration {
	byAttempt := map[int][]standin.Run{}
	for _, r := range runs {
		byAttempt[r.Ref.Attempt] = append(byAttempt[r.Ref.Attempt], r)
	}
	var longest time.Duration
	for _, members := range byAttempt {
		var times []time.Time
		for _, r := range members {
			times = append(times, r.Start, r.End)
		}
		slices.SortFunc(times, time.Time.Compare)
		var partial time.Duration
		for i := 1; i < len(times); i++ {
			runningCount, runningOrSucceeded := 0, 0
			for _, r := range members {
				running := !r.Start.After(times[i-1]) && r.End.After(times[i-1])
				if running {
					runningCount++
				}
				if running || r.State == infra.TaskSucceeded && !r.End.After(times[i-1]) {
					runningOrSucceeded++
				}
			}
			if runningCount > 0 && runningOrSucceeded < tasks {
				partial += times[i].Sub(times[i-1])
				longest = max(longest, partial)
			} else if times[i].After(times[i-1]) {
				partial = 0
			}
		}
	}
	return longest
}

// restart restarts a worker, which then has no tasks and has accepted no epoch.
func (c *cluster) restart(id ident.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.Kill(id)
	c.fleet.Restart(id)
	c.workerEvents = append(c.workerEvents, workerEvent{worker: id, kind: eventRestart})
}

// eventRestart is the kind of a workerEvent that records a worker's restart.
const eventRestart = "restart"

// checkEpochs returns an error if one incarnation of a worker accepted an epoch
// after a later one.
func (c *cluster) checkEpochs() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest := map[ident.Worker]ident.Epoch{}
	for _, e := range c.workerEvents {
		if e.kind != eventRestart && e.epoch < highest[e.worker] {
			return fmt.Errorf("worker %s accepted %s of epoch %d after epoch %d", e.worker, e.kind, e.epoch, highest[e.worker])
		}
		// A restart has epoch 0, so it resets the worker's highest epoch.
		highest[e.worker] = e.epoch
	}
	return nil
}

func gang(id string, tasks int, runTime time.Duration) model.Job {
	return model.Job{
		ID: ident.Job(id), Workspace: "ws", Caller: "c", Service: "s", Tasks: tasks,
		PerTask: model.Resources{Accelerators: 4, Cores: 4, MemoryMB: 1024}, RunTime: runTime, Checkpointable: true,
	}
}

func (n *node) submit(job model.Job) error {
	x, ok := n.host.Executor(testPartition)
	if !ok {
		return errkind.New(errkind.NotReady, "no executor")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := x.Submit(ctx, job)
	return err
}

func (n *node) status(id string) executor.Status {
	x, ok := n.host.Executor(testPartition)
	if !ok {
		return executor.Status{}
	}
	s, _ := x.Job(context.Background(), ident.Job(id))
	return s
}

// row reads a job's row directly from the store.
func (c *cluster) row(id string) (executor.JobRow, bool) {
	row, err := c.store.Table("test").Get(context.Background(), executor.JobKey(testPartition, ident.Job(id)))
	if err != nil {
		return executor.JobRow{}, false
	}
	decoded, err := executor.DecodeJob(row.Value)
	return decoded, err == nil
}
