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

// add appends a result and drops the oldest one when there are too many.
func (w *workerState) add(r result) {
	if len(w.recent) == maxRecentResults {
		copy(w.recent, w.recent[1:])
		w.recent = w.recent[:maxRecentResults-1]
	}
	w.recent = append(w.recent, r)
}

// addJobFailure adds a failure to the history of the job. It counts against the
// job unless workerAtFault is set.
func (t *Tracker) addJobFailure(worker ident.Worker, job ident.Job, workerAtFault bool) {
	t.sequence++
	j, ok := t.jobs[job]
	if !ok {
		t.dropOldestJob()
		j = &jobState{}
		t.jobs[job] = j
	}
	j.lastUpdate = t.sequence
	if len(j.failures) == maxFailuresPerJob {
		j.failures = append(j.failures[:0], j.failures[1:]...)
	}
	j.failures = append(j.failures, jobFailure{worker, workerAtFault})
}

// dropOldestJob forgets the job whose last failure is the oldest when
// maxTrackedJobs is reached.
func (t *Tracker) dropOldestJob() {
	if len(t.jobs) < maxTrackedJobs {
		return
	}
	var oldest ident.Job
	lowest := uint64(math.MaxUint64)
	for id, j := range t.jobs {
		if j.lastUpdate < lowest {
			oldest, lowest = id, j.lastUpdate
		}
	}
	t.Forget(oldest)
}

// removeFromWorkers removes the failures of a job that fails on several workers
// from the results of the workers.
func (t *Tracker) removeFromWorkers(job ident.Job) {
	for _, failure := range t.jobs[job].failures {
		w, ok := t.workers[failure.worker]
		if !ok {
			continue
		}
		w.recent = slices.DeleteFunc(w.recent, func(r result) bool { return r.job == job && !r.ok })
	}
}

// attributeToOtherWorkers attributes a job's failures on other workers to those
// workers, since the job has now succeeded on this one.
func (t *Tracker) attributeToOtherWorkers(worker ident.Worker, job ident.Job) {
	j, ok := t.jobs[job]
	if !ok {
		return
	}
	for i := range j.failures {
		if j.failures[i].worker != worker {
			j.failures[i].workerAtFault = true
		}
	}
}

// endUnfoundedQuarantines ends the quarantine of other workers that only this
// job's failures had caused, since the job has now failed here too. Its failures
// on those workers then count against the job.
func (t *Tracker) endUnfoundedQuarantines(worker ident.Worker, job ident.Job) {
	failures := t.jobs[job].failures
	for i := range failures {
		w, ok := t.workers[failures[i].worker]
		if !ok || w.id == worker || !w.quarantined || t.shouldQuarantine(w) {
			continue
		}
		t.endQuarantine(w)
		for k := range failures {
			if failures[k].worker == w.id {
				failures[k].workerAtFault = false
			}
		}
	}
}

// attributeToWorker stops the recent failures on a worker from counting against
// the jobs.
func (t *Tracker) attributeToWorker(w *workerState) {
	for _, r := range w.recent {
		j, ok := t.jobs[r.job]
		if !ok {
			continue
		}
		for i := range j.failures {
			if j.failures[i].worker == w.id {
				j.failures[i].workerAtFault = true
			}
		}
	}
}

// countFailures returns how many failures count against a job, and on how many
// different workers.
func (t *Tracker) countFailures(job ident.Job) (failures, workers int) {
	j, ok := t.jobs[job]
	if !ok {
		return 0, 0
	}
	for i, failure := range j.failures {
		if failure.workerAtFault {
			continue
		}
		failures++
		if !hasCountedFailure(j.failures[:i], failure.worker) {
			workers++
		}
	}
	return failures, workers
}

// hasCountedFailure reports whether one of the failures is on the worker and
// counts against the job.
func hasCountedFailure(failures []jobFailure, worker ident.Worker) bool {
	for _, failure := range failures {
		if failure.worker == worker && !failure.workerAtFault {
			return true
		}
	}
	return false
}

// jobFailsOnSeveralWorkers reports whether the failures of a job count against it on at least
// two workers. They are then no evidence against the workers.
func (t *Tracker) jobFailsOnSeveralWorkers(job ident.Job) bool {
	_, workers := t.countFailures(job)
	return workers >= 2
}

// countResults counts, among the recent results of a worker, the different jobs
// whose failures count against it, and the successes. The third value counts
// only the failures after the last success.
func (t *Tracker) countResults(w *workerState) (failures, successes, consecutive int) {
	for i, r := range w.recent {
		switch {
		case r.ok:
			successes++
			consecutive = 0
		case !failedBefore(w.recent[:i], r.job) && !t.jobFailsOnSeveralWorkers(r.job):
			failures++
			consecutive++
		}
	}
	return failures, successes, consecutive
}

// shouldQuarantine reports whether the results of a worker call for a
// quarantine: several different jobs failed in a row, more failed than succeeded,
// or the newest results are failures of jobs that have failed nowhere else. Such
// a job may itself be the cause, but the quarantine moves its next attempt to
// another worker, which shows the cause, and one job can cause a quarantine on
// one worker only.
func (t *Tracker) shouldQuarantine(w *workerState) bool {
	failures, successes, consecutive := t.countResults(w)
	limit := t.config.WorkerFailures
	return consecutive >= limit || failures >= limit && failures > successes || t.countExclusiveFailures(w) >= limit
}

// countExclusiveFailures counts the newest results of a worker that are failures
// of jobs without failures on other workers.
func (t *Tracker) countExclusiveFailures(w *workerState) int {
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

// failedBefore reports whether the results contain a failure of the job.
func failedBefore(results []result, job ident.Job) bool {
	for _, r := range results {
		if r.job == job && !r.ok {
			return true
		}
	}
	return false
}

// quarantineFaulty quarantines the faulty workers among those on which a job has
// failed, since its new result can change how those failures count.
func (t *Tracker) quarantineFaulty(now time.Time, job ident.Job) {
	j, ok := t.jobs[job]
	if !ok {
		return
	}
	for _, failure := range j.failures {
		w, ok := t.workers[failure.worker]
		if ok && !w.quarantined && t.shouldQuarantine(w) && t.belowQuarantineLimit() {
			t.startQuarantine(now, w)
		}
	}
}

// belowQuarantineLimit reports whether one more worker may be quarantined. One
// is always allowed.
func (t *Tracker) belowQuarantineLimit() bool {
	limit := int(t.config.MaxQuarantinedShare * float64(len(t.workers)))
	return t.autoQuarantined < max(limit, 1)
}

// startQuarantine puts a worker into automatic quarantine.
func (t *Tracker) startQuarantine(now time.Time, w *workerState) {
	w.quarantined = true
	w.probeSuccesses = 0
	w.backoff = t.config.FirstProbe
	w.nextProbe = now.Add(w.backoff)
	t.autoQuarantined++
	t.attributeToWorker(w)
}

// endQuarantine makes a worker available again and drops its results.
func (t *Tracker) endQuarantine(w *workerState) {
	if w.quarantined {
		t.autoQuarantined--
	}
	w.quarantined = false
	w.recent = nil
}

// probeFailed doubles the delay until the next probe, unless the job fails on
// healthy workers too and is no evidence against this one.
func (t *Tracker) probeFailed(now time.Time, w *workerState, job ident.Job) {
	w.probeSuccesses = 0
	if !t.jobFailsOnSeveralWorkers(job) {
		w.backoff = min(2*w.backoff, t.config.MaxProbe)
	}
	w.nextProbe = now.Add(w.backoff)
}

// otherJobSucceeded reports whether the newest result of another job on the
// worker is a success.
func (w *workerState) otherJobSucceeded(job ident.Job) bool {
	for i := len(w.recent) - 1; i >= 0; i-- {
		if w.recent[i].job != job {
			return w.recent[i].ok
		}
	}
	return false
}

// causeOf returns the present cause of the newest failure of a job on a worker.
func (t *Tracker) causeOf(w *workerState, job ident.Job) Cause {
	switch {
	case w.quarantined || w.manual:
		return CauseWorker
	case t.jobFailsOnSeveralWorkers(job) || w.otherJobSucceeded(job):
		return CauseJob
	default:
		return CauseUnknown
	}
}
