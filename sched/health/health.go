// Package health detects faulty workers, which fail the jobs they start, and
// faulty jobs, which fail on every worker, and tells the two apart.
//
// A failure counts against the worker unless the job has also failed on other
// workers that are not faulty. It counts against the job unless the worker is
// quarantined or the job succeeds elsewhere. Later evidence also changes how
// an earlier failure counts.
package health

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Config holds the limits of a Tracker. Zero fields take the defaults.
type Config struct {
	// WorkerFailures is the number of different jobs that have to fail on a worker
	// before it is quarantined.
	WorkerFailures int
	// JobWorkers is the number of different workers with a failure that counts
	// against the job at which JobFailsEverywhere reports the job.
	JobWorkers int
	// JobFailures is the number of failures that count against a job at which
	// JobFailsEverywhere reports it even if it has failed on fewer workers than
	// JobWorkers, for example because only few can hold it. A low number ends
	// healthy jobs that are retried on one faulty worker before other jobs fail
	// there too.
	JobFailures int
	// FirstProbe is the time from the quarantine to the first probe. The time
	// doubles with each failed probe, up to MaxProbe.
	FirstProbe time.Duration
	// MaxProbe is the longest time between probes.
	MaxProbe time.Duration
	// ProbeSuccesses is the number of consecutive successes that end a quarantine.
	ProbeSuccesses int
	// MaxQuarantinedShare is the largest share of the known workers that may be
	// in automatic quarantine at once. Without it, a broken release of one
	// service would quarantine every worker.
	MaxQuarantinedShare float64
}

// withDefaults fills the zero fields of c.
func (c Config) withDefaults() Config {
	setDefault(&c.WorkerFailures, 3)
	setDefault(&c.JobWorkers, 3)
	setDefault(&c.JobFailures, 16)
	setDefault(&c.FirstProbe, 30*time.Second)
	setDefault(&c.MaxProbe, 30*time.Minute)
	setDefault(&c.ProbeSuccesses, 2)
	setDefault(&c.MaxQuarantinedShare, 0.34)
	return c
}

// setDefault sets *field to value when it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

const (
	// maxRecentResults is the number of recent results kept for each worker.
	maxRecentResults = 16
	// maxTrackedJobs limits the number of jobs whose failures are kept.
	maxTrackedJobs = 4096
	// maxFailuresPerJob limits the failures that are kept for one job.
	maxFailuresPerJob = 16
)

// Cause says what a failure is attributed to at present.
type Cause uint8

// The causes of a failure.
const (
	// CauseUnknown means that neither the worker nor the job is known to be the
	// cause. The failure uses up a retry of the job.
	CauseUnknown Cause = iota
	// CauseWorker means that the worker is quarantined. The failure does not use
	// up a retry of the job.
	CauseWorker
	// CauseJob means that the job has failures that count against it on at least
	// two workers, so that they do not count against the workers, or that the
	// newest result of another job on this worker is a success. The failure uses
	// up a retry of the job.
	CauseJob
)

// result is the end of one attempt on a worker.
type result struct {
	job ident.Job
	ok  bool
}

// workerState holds the recent results and the quarantine of one worker.
type workerState struct {
	id ident.Worker
	// recent holds the newest results, ordered from old to new.
	recent []result
	// manual means that an operator has quarantined the worker; only Release ends
	// that.
	manual bool
	// quarantined means that the tracker has quarantined the worker; successful
	// probes end that.
	quarantined    bool
	nextProbe      time.Time
	backoff        time.Duration
	probeSuccesses int
}

// jobFailure is one failure of a job.
type jobFailure struct {
	worker ident.Worker
	// workerAtFault means that the worker was found to be the cause, so that the
	// failure does not count against the job.
	workerAtFault bool
}

// jobState holds the failures of one job.
type jobState struct {
	// failures holds the newest failures, ordered from old to new.
	failures []jobFailure
	// lastUpdate is the sequence number of the newest failure.
	lastUpdate uint64
}

// Tracker keeps the recent results of workers and jobs and quarantines faulty
// workers.
type Tracker struct {
	config  Config
	workers map[ident.Worker]*workerState
	jobs    map[ident.Job]*jobState
	// sequence is the number of failures recorded so far.
	sequence uint64
	// autoQuarantined counts the workers in automatic quarantine.
	autoQuarantined int
}

// New returns a tracker without results.
func New(config Config) *Tracker {
	return &Tracker{
		config:  config.withDefaults(),
		workers: make(map[ident.Worker]*workerState),
		jobs:    make(map[ident.Job]*jobState),
	}
}

// AddWorker registers a worker before its first result. The number of known
// workers limits how many may be quarantined.
func (t *Tracker) AddWorker(worker ident.Worker) { t.worker(worker) }

// RemoveWorker drops the history of a worker that will not return.
func (t *Tracker) RemoveWorker(worker ident.Worker) {
	if w, ok := t.workers[worker]; ok && w.quarantined {
		t.autoQuarantined--
	}
	delete(t.workers, worker)
}

// Failed records that a job failed on a worker.
func (t *Tracker) Failed(now time.Time, worker ident.Worker, job ident.Job) {
	w := t.worker(worker)
	w.add(result{job: job})
	t.addJobFailure(worker, job, w.quarantined || w.manual)
	if w.quarantined {
		t.probeFailed(now, w, job)
	}
	t.endUnfoundedQuarantines(worker, job)
	t.quarantineFaulty(now, job)
}

// CauseOf returns the present cause of the newest failure of a job on a worker.
func (t *Tracker) CauseOf(worker ident.Worker, job ident.Job) Cause {
	return t.causeOf(t.worker(worker), job)
}

// Succeeded records that a job succeeded on a worker.
func (t *Tracker) Succeeded(now time.Time, worker ident.Worker, job ident.Job) {
	w := t.worker(worker)
	w.add(result{job: job, ok: true})
	if w.quarantined {
		w.probeSuccesses++
		w.nextProbe = now
		if w.probeSuccesses >= t.config.ProbeSuccesses {
			t.endQuarantine(w)
		}
	}
	t.attributeToOtherWorkers(worker, job)
	t.quarantineFaulty(now, job)
}

// Forget drops the history of a job that has ended or was canceled. Its failures
// still count against the workers unless they count against the job on at least
// two of them.
func (t *Tracker) Forget(job ident.Job) {
	if t.jobFailsOnSeveralWorkers(job) {
		t.removeFromWorkers(job)
	}
	delete(t.jobs, job)
}

// Quarantined reports whether a worker must receive no work other than probes.
func (t *Tracker) Quarantined(_ time.Time, worker ident.Worker) bool {
	w, ok := t.workers[worker]
	return ok && (w.manual || w.quarantined)
}

// ProbeAllowed reports whether a quarantined worker may receive one job as a
// probe. It is false for a worker that an operator has quarantined.
func (t *Tracker) ProbeAllowed(now time.Time, worker ident.Worker) bool {
	w, ok := t.workers[worker]
	return ok && w.quarantined && !w.manual && !now.Before(w.nextProbe)
}

// ProbeStarted records that a probe runs, so that no second one is started until
// it has ended or the backoff has passed once more.
func (t *Tracker) ProbeStarted(now time.Time, worker ident.Worker) {
	if w, ok := t.workers[worker]; ok && w.quarantined {
		w.nextProbe = now.Add(w.backoff)
	}
}

// Quarantine keeps all work, probes included, off a worker until Release.
func (t *Tracker) Quarantine(_ time.Time, worker ident.Worker) {
	t.worker(worker).manual = true
}

// Release ends a quarantine of either kind and drops the worker's history.
func (t *Tracker) Release(_ time.Time, worker ident.Worker) {
	w, ok := t.workers[worker]
	if !ok {
		return
	}
	w.manual = false
	t.endQuarantine(w)
}

// FailedOn reports whether a job has failed on a worker, so that a retry can
// prefer another one.
func (t *Tracker) FailedOn(job ident.Job, worker ident.Worker) bool {
	j, ok := t.jobs[job]
	if !ok {
		return false
	}
	for _, failure := range j.failures {
		if failure.worker == worker {
			return true
		}
	}
	return false
}

// CountedFailures returns the number of failures that count against a job's
// retries: those of which the worker is not known to be the cause.
func (t *Tracker) CountedFailures(job ident.Job) int {
	failures, _ := t.countFailures(job)
	return failures
}

// JobFailsEverywhere reports whether a job should not be retried: its counted
// failures are on at least JobWorkers different workers or number at least
// JobFailures, even on a single worker.
func (t *Tracker) JobFailsEverywhere(job ident.Job) bool {
	failures, workers := t.countFailures(job)
	return workers >= t.config.JobWorkers || failures >= t.config.JobFailures
}
