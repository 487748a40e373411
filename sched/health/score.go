package health

import (
	"math"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// worker returns the state of a worker and creates it if necessary.
func (t *Tracker) worker(id ident.Worker) *workerState {
	w, ok := t.workers[id]
	if !ok {
		w = &workerState{id: id}
		t.workers[id] = w
	}
	return w
}

// add appends a result and drops the oldest one beyond the window.
func (w *workerState) add(r result) {
	if len(w.recent) == windowSize {
		copy(w.recent, w.recent[1:])
		w.recent = w.recent[:windowSize-1]
	}
	w.recent = append(w.recent, r)
}

// addJobFailure records the failure on the job's side.
func (t *Tracker) addJobFailure(worker ident.Worker, job ident.Job, excused bool) {
	t.sequence++
	j, ok := t.jobs[job]
	if !ok {
		t.dropOldestJob()
		j = &jobState{}
		t.jobs[job] = j
	}
	j.used = t.sequence
	if len(j.failures) == maxJobFailures {
		j.failures = append(j.failures[:0], j.failures[1:]...)
	}
	j.failures = append(j.failures, jobFailure{worker, excused})
}

// dropOldestJob forgets the job whose last failure is the oldest when the
// state is at its bound.
func (t *Tracker) dropOldestJob() {
	if len(t.jobs) < maxJobs {
		return
	}
	var oldest ident.Job
	lowest := uint64(math.MaxUint64)
	for id, j := range t.jobs {
		if j.used < lowest {
			oldest, lowest = id, j.used
		}
	}
	t.Forget(oldest)
}

// clearWorkers removes the failures of a faulty job from the workers' results.
func (t *Tracker) clearWorkers(job ident.Job) {
	for _, failure := range t.jobs[job].failures {
		w, ok := t.workers[failure.worker]
		if !ok {
			continue
		}
		w.recent = slices.DeleteFunc(w.recent, func(r result) bool { return r.job == job && !r.ok })
	}
}

// excuseElsewhere stops a job's failures on other workers from counting
// against it, since it has now succeeded on this one.
func (t *Tracker) excuseElsewhere(worker ident.Worker, job ident.Job) {
	j, ok := t.jobs[job]
	if !ok {
		return
	}
	for i := range j.failures {
		if j.failures[i].worker != worker {
			j.failures[i].excused = true
		}
	}
}

// exonerate ends the quarantine of other workers whose only evidence was this
// job, since it has now failed here too. Its failures there count against it.
func (t *Tracker) exonerate(worker ident.Worker, job ident.Job) {
	failures := t.jobs[job].failures
	for i := range failures {
		w, ok := t.workers[failures[i].worker]
		if !ok || w.id == worker || !w.quarantined || t.bad(w) {
			continue
		}
		t.endQuarantine(w)
		for k := range failures {
			if failures[k].worker == w.id {
				failures[k].excused = false
			}
		}
	}
}

// excuseWorker stops the failures on a worker from counting against its jobs.
func (t *Tracker) excuseWorker(w *workerState) {
	for _, r := range w.recent {
		j, ok := t.jobs[r.job]
		if !ok {
			continue
		}
		for i := range j.failures {
			if j.failures[i].worker == w.id {
				j.failures[i].excused = true
			}
		}
	}
}

// charges returns how many failures count against a job, and on how many
// different workers.
func (t *Tracker) charges(job ident.Job) (failures, workers int) {
	j, ok := t.jobs[job]
	if !ok {
		return 0, 0
	}
	for i, failure := range j.failures {
		if failure.excused {
			continue
		}
		failures++
		if !chargedOn(j.failures[:i], failure.worker) {
			workers++
		}
	}
	return failures, workers
}

// chargedOn reports whether the failures hold one on the worker that counts.
func chargedOn(failures []jobFailure, worker ident.Worker) bool {
	for _, failure := range failures {
		if failure.worker == worker && !failure.excused {
			return true
		}
	}
	return false
}

// suspectJob reports whether the failures of a job count against it on at
// least two workers. They then say nothing about the workers.
func (t *Tracker) suspectJob(job ident.Job) bool {
	_, workers := t.charges(job)
	return workers >= 2
}

// score counts the different jobs whose failures count against a worker, and
// the successes, among the recent results. The third value counts only the
// failures after the last success.
func (t *Tracker) score(w *workerState) (failures, successes, inARow int) {
	for i, r := range w.recent {
		switch {
		case r.ok:
			successes++
			inARow = 0
		case !failedBefore(w.recent[:i], r.job) && !t.suspectJob(r.job):
			failures++
			inARow++
		}
	}
	return failures, successes, inARow
}

// bad reports whether a worker's results quarantine it: several different jobs
// failed in a row, more failed than succeeded, or the newest results are
// failures of jobs that have failed nowhere else. Such a job may be the cause,
// but the quarantine makes its next attempt tell, and a job causes it on one
// worker only.
func (t *Tracker) bad(w *workerState) bool {
	failures, successes, inARow := t.score(w)
	limit := t.config.WorkerFailures
	return inARow >= limit || failures >= limit && failures > successes || t.failedOnlyHere(w) >= limit
}

// failedOnlyHere counts the newest results of a worker that are failures of
// jobs without failures on other workers.
func (t *Tracker) failedOnlyHere(w *workerState) int {
	count := 0
	for i := len(w.recent) - 1; i >= 0; i-- {
		j, ok := t.jobs[w.recent[i].job]
		if !ok || w.recent[i].ok || slices.ContainsFunc(j.failures, func(f jobFailure) bool { return f.worker != w.id }) {
			break
		}
		count++
	}
	return count
}

// failedBefore reports whether the results hold a failure of the job.
func failedBefore(results []result, job ident.Job) bool {
	for _, r := range results {
		if r.job == job && !r.ok {
			return true
		}
	}
	return false
}

// quarantineFaulty checks the workers on which a job has failed, since its new
// result can change how those failures count.
func (t *Tracker) quarantineFaulty(now time.Time, job ident.Job) {
	j, ok := t.jobs[job]
	if !ok {
		return
	}
	for _, failure := range j.failures {
		w, ok := t.workers[failure.worker]
		if ok && !w.quarantined && t.bad(w) && t.mayQuarantine() {
			t.startQuarantine(now, w)
		}
	}
}

// mayQuarantine reports whether one more worker may be quarantined. A single
// worker always may.
func (t *Tracker) mayQuarantine() bool {
	limit := int(t.config.MaxQuarantinedShare * float64(len(t.workers)))
	return t.automatic < max(limit, 1)
}

// startQuarantine puts a worker into automatic quarantine.
func (t *Tracker) startQuarantine(now time.Time, w *workerState) {
	w.quarantined = true
	w.probesOK = 0
	w.backoff = t.config.FirstProbe
	w.nextProbe = now.Add(w.backoff)
	t.automatic++
	t.excuseWorker(w)
}

// endQuarantine returns a worker to work without its old failures.
func (t *Tracker) endQuarantine(w *workerState) {
	if w.quarantined {
		t.automatic--
	}
	w.quarantined = false
	w.recent = nil
}

// probeFailed doubles the wait until the next probe, unless the job fails on
// good workers too and so says nothing about this one.
func (t *Tracker) probeFailed(now time.Time, w *workerState, job ident.Job) {
	w.probesOK = 0
	if !t.suspectJob(job) {
		w.backoff = min(2*w.backoff, t.config.MaxProbe)
	}
	w.nextProbe = now.Add(w.backoff)
}

// othersSucceed reports whether the newest result of another job on the worker
// is a success.
func (w *workerState) othersSucceed(job ident.Job) bool {
	for i := len(w.recent) - 1; i >= 0; i-- {
		if w.recent[i].job != job {
			return w.recent[i].ok
		}
	}
	return false
}

// blame returns against whom the newest failure of a job on a worker counts.
func (t *Tracker) blame(w *workerState, job ident.Job) Blame {
	switch {
	case w.quarantined || w.manual:
		return BlameWorker
	case t.suspectJob(job) || w.othersSucceed(job):
		return BlameJob
	default:
		return BlameUnknown
	}
}
