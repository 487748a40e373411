package batch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// onlyLabel is a label that only one worker has.
const onlyLabel = "only"

// drawOtherJob draws a job that most workers could hold: tasks that last, best-effort
// tasks, a gang that needs several whole workers, or anything.
func (b *ruleBed) drawOtherJob() *Job {
	step := Step{
		Tasks: rapid.IntRange(1, 3).Draw(b.t, "tasks"), EstimateMs: rapid.SampledFrom([]int64{1000, 3_600_000}).Draw(b.t, "estimate"),
		PerTask: Resources{MilliCores: 1000, Accelerators: 8}, Checkpoints: rapid.Bool().Draw(b.t, "checkpoints"),
	}
	switch rapid.SampledFrom([]string{"lasting", "lasting", "best effort", "wide gang", "wide gang", "any"}).Draw(b.t, "kind") {
	case "lasting":
		step.LongRunning, step.TargetMs = true, 100
		step.PerTask.Accelerators = rapid.SampledFrom([]int{0, 8}).Draw(b.t, "accelerators")
	case "best effort":
		step.BestEffort, step.Tasks, step.PerTask.Accelerators = true, 3, 0
		step.LongRunning = rapid.Bool().Draw(b.t, "lasts")
	case "wide gang":
		step.Gang, step.Tasks = true, rapid.IntRange(2, 3).Draw(b.t, "members")
	case "any":
		step.PerTask.Accelerators = rapid.SampledFrom([]int{0, 0, 2, 8}).Draw(b.t, "accelerators")
		step.Gang, step.SameRack = rapid.Bool().Draw(b.t, "gang"), rapid.Bool().Draw(b.t, "same rack")
		step.LongRunning, step.BestEffort = rapid.Bool().Draw(b.t, "lasts"), rapid.Bool().Draw(b.t, "best effort")
		if !step.BestEffort {
			step.TargetMs = 100
		}
	}
	return testJob(fmt.Sprintf("j%d", len(b.jobs)), rapid.IntRange(0, 2).Draw(b.t, "priority"), step)
}

// drawTarget draws a job that only worker w could hold, if it is idle: because of its label, its
// size, or the placement advisor.
func (b *ruleBed) drawTarget(id string, w *ruleWorker) *Job {
	step := Step{
		Tasks: rapid.IntRange(1, 2).Draw(b.t, "target tasks"), EstimateMs: rapid.SampledFrom([]int64{1000, 3_600_000}).Draw(b.t, "target estimate"),
		PerTask: Resources{MilliCores: 1000, Accelerators: rapid.SampledFrom([]int{0, 1, 4}).Draw(b.t, "target accelerators")},
		Gang:    rapid.Bool().Draw(b.t, "target gang"), SameRack: rapid.Bool().Draw(b.t, "target same rack"),
		Checkpoints: rapid.Bool().Draw(b.t, "target checkpoints"),
		LongRunning: rapid.IntRange(0, 3).Draw(b.t, "target lasts") == 0,
		BestEffort:  rapid.IntRange(0, 2).Draw(b.t, "target best effort") == 0,
		DataRack:    rapid.SampledFrom([]string{"", "r0", "none"}).Draw(b.t, "target data"),
	}
	step.MaxPerWorker = rapid.SampledFrom([]int{0, step.Tasks}).Draw(b.t, "target per worker")
	j := testJob(id, rapid.IntRange(0, 2).Draw(b.t, "target priority"), step)
	j.MaxAttempts = rapid.IntRange(0, 4).Draw(b.t, "target attempts")
	switch rapid.SampledFrom([]string{"label", "size", "advice"}).Draw(b.t, "target only by") {
	case "label":
		j.Steps[0].Label = onlyLabel
	case "size":
		j.Steps[0].PerTask.MemoryMB = w.info.Capacity.MemoryMB / step.Tasks
	case "advice":
		j.NeedsAdvice = true
	}
	return j
}

// disturb does something from which a rule may follow that avoids, filters or defers work.
func (b *ruleBed) disturb() {
	w := b.workers[rapid.IntRange(0, len(b.workers)-1).Draw(b.t, "worker")]
	action := rapid.SampledFrom([]string{
		"submit", "submit", "cancel", "attach", "mute", "drain", "restart", "end", "takeover", "overload", "pass", "pass", "pass",
	}).Draw(b.t, "action")
	switch action {
	case "submit":
		b.submit(b.drawOtherJob())
	case "cancel":
		id := rapid.SampledFrom(slices.Sorted(maps.Keys(b.jobs))).Draw(b.t, "canceled")
		b.canceled[id] = true
		b.scheduler.Cancel(id, b.now)
	case "attach":
		b.attach(w, !w.attached)
	case "mute":
		w.mute = !w.mute
	case "drain":
		w.info.Draining = !w.info.Draining
		b.announce(w)
	case "restart":
		b.startProcess(w)
	case "end":
		w.info.Unreachable, w.running = true, make(map[Run]*ruleRun)
		b.announce(w)
	case "takeover":
		b.takeover()
	case "overload":
		b.overloaded = !b.overloaded
	}
	b.runFor(time.Duration(rapid.IntRange(0, 30).Draw(b.t, "pass")) * 100 * time.Millisecond)
}

// settle makes a worker usable and has all workers carry out what they are told.
func (b *ruleBed) settle(w *ruleWorker) {
	b.calm, b.overloaded = true, false
	if w.info.Unreachable || w.info.Draining {
		b.startProcess(w)
	}
	w.mute = false
	b.attach(w, true)
}

// waits reports whether a task of the job waits.
func (b *ruleBed) waits(id ident.Job) bool {
	j := b.scheduler.jobs[id]
	return !j.record.State.Final() && slices.ContainsFunc(j.tasks, func(t task) bool { return t.Phase == TaskWaiting })
}

// fitsTwice reports whether the idle worker holds a task of the job, or its gang, twice.
func (w *ruleWorker) fitsTwice(j *Job) bool {
	step := &j.Steps[0]
	need := 2
	if step.Gang {
		need = 2 * step.Tasks
	}
	return step.MaxPerWorker == 0 && fitCount(w.info.Capacity, step.demand()) >= need
}

// longestRuleEnd returns the longest time for which any rule may keep the job from an idle
// worker that alone suits it; see docs/failures.md.
func (b *ruleBed) longestRuleEnd(j *Job, w *ruleWorker) time.Duration {
	if w.fitsTwice(j) && !j.Steps[0].BestEffort && !j.NeedsAdvice {
		// The job stands still. A planning pass notices that, and one starts it.
		return overdueProbationTime + maxRackDeferral + 2*planInterval
	}
	// The worker has a confirmed fault for 2 s, a last attempt waits for 5 s, and other units
	// may have reserved the worker until the runs elsewhere have ended.
	bound := 12 * time.Second
	if j.Steps[0].BestEffort {
		bound = 31 * time.Second
	}
	if j.Priority > 0 && j.Steps[0].PerTask.Accelerators > 0 {
		// Headroom of 24 accelerators decays to less than one.
		bound = 33 * time.Second
	}
	if j.NeedsAdvice {
		bound += b.ticketValid + 2*time.Second
	}
	return bound
}

// memberMayStartLate reports whether the gang of a job has a member on a silent worker whose
// start may be carried out late.
func (b *ruleBed) memberMayStartLate(j *Job) bool {
	return j.Steps[0].Gang && slices.ContainsFunc(b.scheduler.jobs[j.ID].tasks, func(t task) bool {
		return t.Phase == TaskActive && t.startUncertain && !b.scheduler.workers[t.Worker].attached
	})
}

// Guards against rules that avoid, filter or defer work and have no end: a task for which one
// worker alone is suitable waits for ever beside that worker.
func TestRulesThatDeferWorkEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newRuleBed(t)
		only := b.workers[rapid.IntRange(0, 2).Draw(t, "only worker")]
		only.info.Labels = append(only.info.Labels, onlyLabel)
		only.info.Capacity.MemoryMB *= 2
		b.announce(only)
		b.advised[only.info.ID] = true
		b.ticketValid = time.Duration(rapid.IntRange(1, 10).Draw(t, "ticket valid")) * time.Second
		target := b.drawTarget("target", only)
		b.submit(target)
		for range rapid.IntRange(0, 40).Draw(t, "disturbances") {
			b.disturb()
		}
		if !b.waits(target.ID) {
			target = b.drawTarget("target again", only)
			b.submit(target)
		}
		b.settle(only)
		b.checkEnd(target, only)
	})
}

// checkEnd fails the test if the worker stays idle for too long while the job waits for it.
func (b *ruleBed) checkEnd(target *Job, only *ruleWorker) {
	bound, idle := b.longestRuleEnd(target, only), time.Duration(0)
	late := time.Duration(0)
	for range (2*bound + lateLeaseExpiry) / (100 * time.Millisecond) {
		b.step()
		w := b.scheduler.workers[only.info.ID]
		if !b.waits(target.ID) {
			return
		}
		if b.memberMayStartLate(target) {
			if late += 100 * time.Millisecond; late > lateLeaseExpiry {
				b.t.Fatalf("%s waits for %v for the start of another member", target.ID, late)
			}
			continue
		}
		if idle += 100 * time.Millisecond; len(w.active) > 0 {
			idle = 0
		}
		if idle > bound {
			summary := b.scheduler.Summarize(b.now)
			b.t.Fatalf("%s %+v waits beside %s, which has been idle for %v: %+v", target.ID, target.Steps[0], only.info.ID, idle, summary)
		}
	}
}
