package batch

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Attached notes that a stream to the agent of a worker is open or was lost.
func (e *Scheduler) Attached(id ident.Worker, open bool) {
	w := e.workerOf(id)
	w.attached = open
	e.changed = true
	if !open {
		w.fenced = false
	}
}

// Announced takes over what an agent says of its worker.
func (e *Scheduler) Announced(info WorkerInfo, now time.Time) {
	w := e.workerOf(info.ID)
	if info.Incarnation.StartedMs < w.info.Incarnation.StartedMs {
		return
	}
	if w.info.Incarnation != info.Incarnation {
		e.newLife(w, info.Incarnation, now)
	}
	w.info = info
	e.changed = true
	if info.Ended {
		e.endedLife(w, now)
	}
}

// newLife ends all runs of the earlier life. A run that no list of that life has
// shown may have begun in the new one, or may still do so, if both have the same
// id: it is stopped there. The first list decides about runs of earlier owners,
// whose orders are fenced by then.
func (e *Scheduler) newLife(w *worker, life Incarnation, now time.Time) {
	w.info.Incarnation = life
	w.fenced = false
	w.noted, w.acked, w.clockMs = 0, 0, 0
	clear(w.orphans)
	for _, t := range w.active {
		if t.Incarnation == life {
			continue
		}
		if t.Incarnation.Upstream == life.Upstream && !t.endedWithLife() {
			e.moveTo(t, life)
			continue
		}
		e.noteRun("run ended with its worker's life", t, now)
		e.runOver(t, now)
	}
}

// moveTo follows a run into the next life of its worker, whose clock starts
// anew.
func (e *Scheduler) moveTo(t *task, life Incarnation) {
	t.Incarnation = life
	e.dirty[t.id.Job] = true
	t.confirmed, t.confirmedMs = false, 0
	t.stop = stopState{}
	if !t.recovered {
		e.wantStop(t, ReasonNoAnswer)
	}
}

// endedLife ends all runs of a worker whose upstream process has ended.
func (e *Scheduler) endedLife(w *worker, now time.Time) {
	for _, t := range w.active {
		e.noteRun("run ended with its worker's process", t, now)
		e.runOver(t, now)
	}
}

// Reported takes over a worker's lists, which it gave under this owner's epoch.
func (e *Scheduler) Reported(id ident.Worker, r Report, now time.Time) {
	w := e.workers[id]
	if w == nil || w.info.Incarnation != r.Incarnation || r.ClockMs < w.clockMs {
		return
	}
	e.changed = e.changed || !w.fenced
	w.fenced = true
	w.reportedAt, w.clockMs = now, r.ClockMs
	e.noteEnds(w, r.Ended, now)
	e.compareRunning(w, r, now)
}

func (e *Scheduler) noteEnds(w *worker, ended []EndedTask, now time.Time) {
	for _, end := range ended {
		if end.Number <= w.noted {
			continue
		}
		w.noted = end.Number
		delete(w.orphans, end.Run)
		t := e.find(end.Run)
		if t == nil || t.Worker != w.info.ID || t.Incarnation != w.info.Incarnation {
			continue
		}
		e.ended(t, end, now)
	}
}

// compareRunning confirms the runs that the worker lists, stops those that it
// should not run, and ends those that it no longer knows.
func (e *Scheduler) compareRunning(w *worker, r Report, now time.Time) {
	listed := make(map[TaskID]bool, len(r.Running))
	for _, row := range r.Running {
		t := e.find(row.Run)
		if t == nil || t.Worker != w.info.ID {
			e.stopOrphan(w, row.Run, now)
			continue
		}
		listed[t.id] = true
		e.progress(t, row, r.ClockMs, now)
	}
	for _, t := range w.active {
		if listed[t.id] || !t.goneBy(r.ClockMs) {
			continue
		}
		e.noteRun("run is no longer on its worker", t, now)
		e.runOver(t, now)
	}
}

// goneBy reports whether a list made at the given clock that lacks the run
// proves that it has ended or will never start.
func (t *task) goneBy(clockMs int64) bool {
	switch {
	case t.recovered:
		return true
	case t.stop.answeredMs > 0:
		return clockMs > t.stop.answeredMs
	default:
		return t.confirmed && clockMs > t.confirmedMs
	}
}

func (e *Scheduler) progress(t *task, row RunningTask, clockMs int64, now time.Time) {
	if !t.confirmed {
		t.confirmed, t.recovered = true, false
		t.confirmedMs = clockMs
	}
	t.noteLoad(row.Load, now)
	t.listed = true
	if t.firstAt.IsZero() {
		t.firstPercent, t.firstAt = row.Percent, now
	}
	if row.Percent != t.percent {
		t.percent = row.Percent
		t.changedAt = now
	}
	if row.Checkpoint != "" {
		t.Checkpoint = row.Checkpoint
	}
}

// orphanRepeat is the time between two stops of a run that nobody owns.
const orphanRepeat = time.Second

func (e *Scheduler) stopOrphan(w *worker, r Run, now time.Time) {
	if now.Sub(w.orphans[r]) < orphanRepeat {
		return
	}
	w.orphans[r] = now
	e.stops = append(e.stops, Order{Kind: OrderStop, Worker: w.info.ID, Incarnation: w.info.Incarnation, Run: r, Reason: ReasonOrphan})
}

// ended applies the end of a run that a worker lists.
func (e *Scheduler) ended(t *task, end EndedTask, now time.Time) {
	w := e.workers[t.Worker]
	if end.Checkpoint != "" {
		t.Checkpoint = end.Checkpoint
	}
	e.noteRunEnd(t, end)
	switch end.Kind {
	case EndSucceeded:
		w.succeeded(t.startedAt)
		e.learn(t, now)
		e.done(t, now)
	case EndFailed:
		w.strike(now, e.blame(t, now))
		e.failed(t, now)
	default:
		e.runOver(t, now)
	}
}

// done ends a task, or its whole gang, with success.
func (e *Scheduler) done(t *task, now time.Time) {
	if t.step().LongRunning {
		e.runOver(t, now)
		return
	}
	for _, m := range e.members(t) {
		if m.Phase == TaskActive {
			e.detach(m)
		}
		m.Phase = TaskSucceeded
		m.Checkpoint = ""
	}
	j := t.job
	e.dirty[j.spec.ID] = true
	if j.record.State.Final() {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].Phase != TaskSucceeded {
			return
		}
	}
	e.finish(j, JobCompleted, now)
}

// members returns the gang of a task, or the task alone.
func (e *Scheduler) members(t *task) []*task {
	step := t.step()
	if !step.Gang {
		return []*task{t}
	}
	first := t.slot - t.id.Index
	out := make([]*task, step.Tasks)
	for i := range out {
		out[i] = &t.job.tasks[first+i]
	}
	return out
}

// blame returns how much a failed run speaks against its worker.
func (e *Scheduler) blame(t *task, now time.Time) int {
	early := time.Duration(earlyFailure * float64(e.expected(t.job, t.step())))
	if !t.step().LongRunning && now.Sub(t.startedAt) < early {
		return strikesBeforeSuspicion
	}
	return 1
}

func (e *Scheduler) failed(t *task, now time.Time) {
	j := t.job
	run, first := t.Run, t.slot-t.id.Index
	counted := !t.step().Gang || j.gangFailed[first] != run
	e.runOver(t, now)
	if t.step().LongRunning || !counted {
		return
	}
	j.gangFailed[first] = run
	for _, m := range e.members(t) {
		m.Failures++
	}
	if t.Failures < j.spec.MaxAttempts || j.spec.MaxAttempts == 0 || j.record.State.Final() {
		return
	}
	e.finish(j, JobFailed, now)
	e.stopAll(j, ReasonJobFailed)
}

// runOver returns a task whose run has ended without success to the queue, and
// stops the other members of its gang.
func (e *Scheduler) runOver(t *task, now time.Time) {
	e.detach(t)
	t.Phase = TaskWaiting
	t.waitingSince = now
	e.dirty[t.id.Job] = true
	if !t.step().Gang {
		return
	}
	for _, m := range e.members(t) {
		if m.Phase == TaskActive && m.Run == t.Run {
			e.wantStop(m, ReasonGangBroken)
		}
	}
}

func (e *Scheduler) detach(t *task) {
	e.changed = true
	if w := e.workers[t.Worker]; w != nil {
		delete(w.active, t.id)
	}
	t.confirmed, t.recovered, t.doubtful, t.listed = false, false, false, false
	t.confirmedMs, t.percent = 0, 0
	t.overSince, t.firstAt = time.Time{}, time.Time{}
	t.firstPercent = 0
	t.stop = stopState{}
}

// AnswerKind says how a worker answered an order.
type AnswerKind uint8

// The answers.
const (
	// AnswerOK means that the order was carried out.
	AnswerOK AnswerKind = iota
	// AnswerRejected means that the order has had and will have no effect.
	AnswerRejected
	// AnswerUnknown means that the order may be carried out, now or later.
	AnswerUnknown
	// AnswerRejectedNoCapacity is a rejection because the worker is full.
	AnswerRejectedNoCapacity
	// AnswerOKRepeated means that the order was carried out, and that an
	// earlier attempt without an answer may still arrive.
	AnswerOKRepeated
)

// Answered takes over the answer to an order, given at the worker's clock.
func (e *Scheduler) Answered(o Order, kind AnswerKind, clockMs int64, now time.Time) {
	t := e.find(o.Run)
	if t == nil || t.Worker != o.Worker || t.Incarnation != o.Incarnation {
		return
	}
	if o.Kind == OrderStop {
		// A rejected stop has no effect, so that a late start could still begin.
		if kind == AnswerOK {
			t.stop.answeredMs = clockMs
		}
		return
	}
	w := e.workers[o.Worker]
	switch kind {
	case AnswerOK, AnswerOKRepeated:
		t.doubtful = t.doubtful || kind == AnswerOKRepeated
		if !t.confirmed {
			t.confirmed, t.confirmedMs = true, clockMs
		}
	case AnswerRejected, AnswerRejectedNoCapacity:
		e.noteRun("start was rejected", t, now)
		if kind == AnswerRejected {
			w.strike(now, 1)
		}
		e.runOver(t, now)
	case AnswerUnknown:
		w.strike(now, 1)
		e.wantStop(t, ReasonNoAnswer)
	}
}

// Stalled runs are moved after this time without progress. Work on a slow
// worker away from its data still advances by a hundredth in less.
const stallAfter = 5 * time.Second

// stopRepeat is the time between two stops of a run without an answer.
const stopRepeat = 700 * time.Millisecond

// Tick ends runs whose leases have lapsed, looks for runs without progress and
// repeats the stops that were not answered.
func (e *Scheduler) Tick(now time.Time) {
	for _, w := range e.workers {
		e.lapse(w, now)
		e.protect(w, now)
		for _, t := range w.active {
			e.watch(w, t, now)
			e.pursueStop(w, t, now)
		}
	}
}

// lapse ends the runs of a worker that nobody has kept alive.
func (e *Scheduler) lapse(w *worker, now time.Time) {
	if now.Before(w.bound) {
		return
	}
	for _, t := range w.active {
		e.noteRun("lease has lapsed", t, now)
		e.runOver(t, now)
	}
}

func (e *Scheduler) watch(w *worker, t *task, now time.Time) {
	if t.step().LongRunning || !t.confirmed || t.stop.wanted {
		return
	}
	if now.Sub(w.reportedAt) > reportTimeout || now.Sub(t.changedAt) < stallAfter+e.timing.Restore {
		return
	}
	w.strike(now, strikesBeforeSuspicion)
	e.noteRun("run makes no progress", t, now)
	e.wantStop(t, ReasonStalled)
}

func (e *Scheduler) pursueStop(w *worker, t *task, now time.Time) {
	if !t.stop.wanted || t.stop.answeredMs > 0 || !w.attached || now.Sub(t.stop.sentAt) < stopRepeat {
		return
	}
	t.stop.sentAt = now
	e.stops = append(e.stops, Order{Kind: OrderStop, Worker: w.info.ID, Incarnation: t.Incarnation, Run: t.run(), Reason: t.stop.reason})
}

func (e *Scheduler) noteRun(event string, t *task, now time.Time) {
	n := LogEvent{Event: event, Run: t.run(), Worker: t.Worker, Reason: string(t.stop.reason)}
	if w := e.workers[t.Worker]; w != nil && !w.reportedAt.IsZero() {
		n.AgeMs = now.Sub(w.reportedAt).Milliseconds()
	}
	e.note(n)
}

func (e *Scheduler) noteRunEnd(t *task, end EndedTask) {
	e.note(LogEvent{Event: "run ended " + string(end.Kind), Run: t.run(), Worker: t.Worker, Reason: string(t.stop.reason)})
}
