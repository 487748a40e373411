package jobstore

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Job is a job as the replica holds it.
type Job struct {
	Spec *batch.Job
	// Record is the durable state, zero before the owner's first write.
	Record   batch.Record
	Canceled bool
}

// State returns the job's state as callers see it.
func (j Job) State() batch.JobState {
	switch {
	case j.Record.State.Final():
		return j.Record.State
	case j.Canceled:
		return batch.JobCanceled
	case j.Record.State == "":
		return batch.JobQueued
	default:
		return j.Record.State
	}
}

// Replica is a copy of the rows that follows the store. It is safe for
// concurrent use.
type Replica struct {
	mu       sync.Mutex
	versions map[string]rows.Version
	jobs     map[ident.Job]*Job
	workers  map[ident.Worker]Worker
	entries  map[ident.Entry]Entry
	owner    Owner
	ownerAt  rows.Version
	// ownerSeen is when the owner's row last changed while the replica was in
	// touch with the store.
	ownerSeen time.Time
	synced    bool
	connected bool
	// connectedAt is when the store began to answer.
	connectedAt time.Time
	watch       func(Change)
	problem     func(key string, err error)
}

// Change is one row that has changed, decoded.
type Change struct {
	// Job is set for a job, its state or its cancellation.
	Job *Job
	// WorkerID and Worker are set for a worker.
	WorkerID ident.Worker
	Worker   Worker
}

// NewReplica returns an empty replica. It reports rows that can not be read.
func NewReplica(problem func(key string, err error)) *Replica {
	return &Replica{
		versions: make(map[string]rows.Version),
		jobs:     make(map[ident.Job]*Job),
		workers:  make(map[ident.Worker]Worker),
		entries:  make(map[ident.Entry]Entry),
		problem:  problem,
	}
}

// Apply takes over rows unless the replica has newer ones.
func (r *Replica) Apply(list []rows.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range list {
		if row.Version <= r.versions[row.Key] {
			continue
		}
		r.applyLocked(row)
	}
}

func (r *Replica) applyLocked(row rows.Row) {
	if row.Deleted {
		r.removeLocked(row)
		return
	}
	r.versions[row.Key] = row.Version
	prefix, name := kindOf(row.Key)
	var err error
	switch prefix {
	case OwnerKey:
		err = r.applyOwner(row)
	case jobPrefix:
		err = r.applyJob(row)
	case statePrefix:
		j := r.jobLocked(ident.Job(name))
		j.Record = batch.Record{}
		err = decode(row, &j.Record)
	case cancelPrefix:
		j := r.jobLocked(ident.Job(name))
		j.Canceled = true
		r.tell(Change{Job: j})
	case workerPrefix:
		err = r.applyWorker(row, ident.Worker(name))
	case entryPrefix:
		var e Entry
		err = decode(row, &e)
		r.entries[ident.Entry(name)] = e
	}
	if err != nil {
		r.problem(row.Key, err)
	}
}

func (r *Replica) applyOwner(row rows.Row) error {
	r.owner = Owner{}
	r.ownerAt = row.Version
	r.ownerSeen = time.Now()
	return decode(row, &r.owner)
}

func (r *Replica) applyJob(row rows.Row) error {
	_, name := kindOf(row.Key)
	spec := &batch.Job{}
	if err := decode(row, spec); err != nil {
		return err
	}
	j := r.jobLocked(ident.Job(name))
	j.Spec = spec
	r.tell(Change{Job: j})
	return nil
}

func (r *Replica) applyWorker(row rows.Row, id ident.Worker) error {
	var w Worker
	if err := decode(row, &w); err != nil {
		return err
	}
	r.workers[id] = w
	r.tell(Change{WorkerID: id, Worker: w})
	return nil
}

func (r *Replica) jobLocked(id ident.Job) *Job {
	j := r.jobs[id]
	if j == nil {
		j = &Job{}
		r.jobs[id] = j
	}
	return j
}

func (r *Replica) removeLocked(row rows.Row) {
	delete(r.versions, row.Key)
	prefix, name := kindOf(row.Key)
	switch prefix {
	case jobPrefix:
		delete(r.jobs, ident.Job(name))
	case workerPrefix:
		delete(r.workers, ident.Worker(name))
	case entryPrefix:
		delete(r.entries, ident.Entry(name))
	}
}

func (r *Replica) tell(c Change) {
	if r.watch != nil {
		r.watch(c)
	}
}

// Replace takes over a complete read and drops the rows that it lacks.
func (r *Replica) Replace(list []rows.Row, at rows.Version) {
	present := make(map[string]bool, len(list))
	for _, row := range list {
		present[row.Key] = true
	}
	r.Apply(list)
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, version := range r.versions {
		if !present[key] && version <= at {
			r.removeLocked(rows.Row{Key: key})
		}
	}
	r.synced = true
}

// SetConnected notes whether the store answers. After an outage the owner has
// a full lease to show that it lives.
func (r *Replica) SetConnected(up bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if up && !r.connected {
		r.ownerSeen = time.Now()
		r.connectedAt = r.ownerSeen
	}
	r.connected = up
}

// Ready reports whether the replica has been complete once.
func (r *Replica) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Connected reports whether the store answered the last call.
func (r *Replica) Connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connected
}

// Job returns a job, or false if the replica does not know its submission.
func (r *Replica) Job(id ident.Job) (Job, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil || j.Spec == nil {
		return Job{}, false
	}
	return *j, true
}

// Pending counts the accepted jobs of a queue of which no task has started.
func (r *Replica) Pending(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, j := range r.jobs {
		if j.Spec != nil && j.Spec.Queue == queue && !j.Record.Started && !j.State().Final() {
			n++
		}
	}
	return n
}

// OwnerView is what a candidate needs to know about the owner.
type OwnerView struct {
	Owner   Owner
	Version rows.Version
	// Unchanged is for how long the row has not changed while the store
	// answered.
	Unchanged time.Duration
	// Current says that the replica is complete and the store answers, and
	// CurrentFor for how long it has answered.
	Current    bool
	CurrentFor time.Duration
}

// Owner returns the state of the owner's row.
func (r *Replica) Owner(now time.Time) OwnerView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return OwnerView{
		Owner: r.owner, Version: r.ownerAt, Unchanged: now.Sub(r.ownerSeen),
		Current: r.synced && r.connected, CurrentFor: now.Sub(r.connectedAt),
	}
}

// Peers returns the addresses of the other entries.
func (r *Replica) Peers(self ident.Entry) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		if id != self {
			out = append(out, r.entries[id].Address)
		}
	}
	return out
}

// Snapshot is a copy of what an owner takes over.
type Snapshot struct {
	Jobs    []Job
	Workers map[ident.Worker]Worker
}

// Watch returns a snapshot and reports each later change to fn, under the
// replica's lock; fn must not block.
func (r *Replica) Watch(fn func(Change)) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{Workers: maps.Clone(r.workers)}
	for _, j := range r.jobs {
		if j.Spec != nil {
			s.Jobs = append(s.Jobs, *j)
		}
	}
	r.watch = fn
	return s
}

// watched reports whether somebody decides by this replica.
func (r *Replica) watched() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watch != nil
}

// Unwatch ends the reports.
func (r *Replica) Unwatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch = nil
}
