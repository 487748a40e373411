// Package health finds workers that fail the jobs they start and jobs that
// fail on every worker, and keeps the two apart.
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
	// WorkerFailures is the number of different jobs whose failures quarantine
	// a worker.
	WorkerFailures int
	// JobWorkers is the number of different workers without other fault on
	// which a job has to fail before it counts as faulty.
	JobWorkers int
	// JobFailures is the number of failures after which a job counts as faulty
	// even when fewer workers could hold it. A low number ends good jobs that
	// are retried on one faulty worker before other jobs fail there too.
	JobFailures int
	// FirstProbe is the time from the quarantine to the first probe. It doubles
	// with each failed probe, up to MaxProbe.
	FirstProbe time.Duration
	// MaxProbe bounds the time between probes.
	MaxProbe time.Duration
	// ProbeSuccesses is the number of successes in a row that end a quarantine.
	ProbeSuccesses int
	// MaxQuarantinedShare bounds the share of the known workers that is in
	// automatic quarantine at once. A broken release of one service would
	// otherwise quarantine every worker.
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
	// windowSize is the number of recent results kept for each worker.
	windowSize = 16
	// maxJobs bounds the jobs with failures that are remembered.
	maxJobs = 4096
	// maxJobFailures bounds the failures that are remembered for one job.
	maxJobFailures = 16
)

// Blame says against whom a failure counts at present.
type Blame uint8

// The verdicts on a failure.
const (
	// BlameUnknown means that neither side is known to be faulty. The failure
	// uses up a retry of the job.
	BlameUnknown Blame = iota
	// BlameWorker means that the worker is faulty. The retries of the job are
	// not used up.
	BlameWorker
	// BlameJob means that the job is faulty. The worker's score is unchanged.
	BlameJob
)

// result is the end of one attempt on a worker.
type result struct {
	job ident.Job
	ok  bool
}

// workerState holds what is known of one worker.
type workerState struct {
	id ident.Worker
	// recent holds the newest results, the oldest first.
	recent []result
	// manual is set by an operator and ends only by Release.
	manual bool
	// quarantined is set by the tracker and ends by successful probes.
	quarantined bool
	nextProbe   time.Time
	backoff     time.Duration
	probesOK    int
}

// jobFailure is one failure as seen from the job.
type jobFailure struct {
	worker ident.Worker
	// excused means that the worker was found to be the cause.
	excused bool
}

// jobState holds the failures of one job.
type jobState struct {
	// failures holds the newest failures, the oldest first.
	failures []jobFailure
	used     uint64
}

// Tracker scores workers and jobs.
type Tracker struct {
	config   Config
	workers  map[ident.Worker]*workerState
	jobs     map[ident.Job]*jobState
	sequence uint64
	// automatic counts the workers in automatic quarantine.
	automatic int
}

// New returns a tracker without history.
func New(config Config) *Tracker {
	return &Tracker{
		config:  config.withDefaults(),
		workers: make(map[ident.Worker]*workerState),
		jobs:    make(map[ident.Job]*jobState),
	}
}

// AddWorker makes a worker known before its first result. The number of known
// workers bounds how many may be quarantined.
func (t *Tracker) AddWorker(worker ident.Worker) { t.worker(worker) }

// RemoveWorker drops the history of a worker that will not return.
func (t *Tracker) RemoveWorker(worker ident.Worker) {
	if w, ok := t.workers[worker]; ok && w.quarantined {
		t.automatic--
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
	t.exonerate(worker, job)
	t.quarantineFaulty(now, job)
}

// Blame returns against whom the newest failure of a job on a worker counts at
// present.
func (t *Tracker) Blame(worker ident.Worker, job ident.Job) Blame {
	return t.blame(t.worker(worker), job)
}

// Succeeded records that a job ended well on a worker.
func (t *Tracker) Succeeded(now time.Time, worker ident.Worker, job ident.Job) {
	w := t.worker(worker)
	w.add(result{job: job, ok: true})
	if w.quarantined {
		w.probesOK++
		w.nextProbe = now
		if w.probesOK >= t.config.ProbeSuccesses {
			t.endQuarantine(w)
		}
	}
	t.excuseElsewhere(worker, job)
	t.quarantineFaulty(now, job)
}

// Forget drops the history of a job that has ended or was cancelled. Its
// failures continue to count against the workers unless the job was faulty.
func (t *Tracker) Forget(job ident.Job) {
	if t.suspectJob(job) {
		t.clearWorkers(job)
	}
	delete(t.jobs, job)
}

// Quarantined reports whether a worker receives no work other than probes.
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

// ProbeStarted records that a probe runs, so that no second one is started
// until it has ended or the backoff has passed again.
func (t *Tracker) ProbeStarted(now time.Time, worker ident.Worker) {
	if w, ok := t.workers[worker]; ok && w.quarantined {
		w.nextProbe = now.Add(w.backoff)
	}
}

// Quarantine keeps a worker from work and probes until Release.
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

// CountedFailures returns the number of failures that count against a job's retries:
// those of which the worker is not known to be the cause.
func (t *Tracker) CountedFailures(job ident.Job) int {
	charged, _ := t.charges(job)
	return charged
}

// JobFailsEverywhere reports whether a job has failed on so many workers
// without other fault that it should not be retried.
func (t *Tracker) JobFailsEverywhere(job ident.Job) bool {
	charged, workers := t.charges(job)
	return workers >= t.config.JobWorkers || charged >= t.config.JobFailures
}
