package jobstore

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Job is the replica's copy of a job.
type Job struct {
	Spec *batch.Job
	// Record is the durable state, zero until the owner first writes it.
	Record   batch.Record
	Canceled bool
	// Unreadable reports that the durable state could not be read. Such a job must not
	// be scheduled.
	Unreadable bool
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

// Replica is an in-memory copy of the rows in the store. It is safe for concurrent
// use.
type Replica struct {
	mu       sync.Mutex
	versions map[string]rows.Version
	jobs     map[ident.Job]*Job
	workers  map[ident.Worker]Worker
	// tombstones cancel jobs that may be stored later.
	tombstones tombstones
	// longest holds the results of LongestNames since a worker's row last changed.
	longest      map[ident.Service]longestNames
	entries      map[ident.Entry]Entry
	owner        Owner
	ownerVersion rows.Version
	backlog      publishedBacklog
	// completeTo is the version up to which the replica has all changes. Single rows may
	// be newer.
	completeTo rows.Version
	// newsCompleteTo is the same for all rows but the states of jobs.
	newsCompleteTo rows.Version
	advanced       chan struct{}
	// ownerChangedAt is when the owner's row last changed or, if later, when the
	// connection to the store was last established.
	ownerChangedAt time.Time
	synced         bool
	// advancedAt is when the replica last received the changes up to a version.
	advancedAt time.Time
	connected  bool
	// connectedSince is when the current connection to the store was established.
	connectedSince time.Time
	onChange       func(Change)
	onError        func(key string, err error)
	// arrivals holds the rows that callers wait for.
	arrivals map[string]*arrival
}

// Change is the decoded content of a changed row.
type Change struct {
	// Job is set if a job was added or canceled.
	Job *Job
	// WorkerID and Worker are set if a worker's row changed.
	WorkerID ident.Worker
	Worker   Worker
}

// NewReplica returns an empty replica. It calls onError for rows that cannot be
// decoded.
func NewReplica(onError func(key string, err error)) *Replica {
	return &Replica{
		versions: make(map[string]rows.Version),
		jobs:     make(map[ident.Job]*Job),
		workers:  make(map[ident.Worker]Worker),
		longest:  make(map[ident.Service]longestNames),
		entries:  make(map[ident.Entry]Entry),
		onError:  onError,
		arrivals: make(map[string]*arrival),
		advanced: make(chan struct{}, 1),
	}
}

// Apply stores the rows that are newer than the replica's own.
func (r *Replica) Apply(list []rows.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyNewerLocked(list)
}

// Advance stores the changes up to version at, which follow those that the replica has.
func (r *Replica) Advance(changes []rows.Row, at rows.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyNewerLocked(changes)
	r.completeTo = max(r.completeTo, at)
	r.advancedAt = time.Now()
	r.advanceNewsLocked(at)
}

// AdvanceNews records that all changes up to version at were stored, but for the states of jobs.
func (r *Replica) AdvanceNews(at rows.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advanceNewsLocked(at)
}

func (r *Replica) advanceNewsLocked(at rows.Version) {
	r.newsCompleteTo = max(r.newsCompleteTo, at)
	select {
	case r.advanced <- struct{}{}:
	default:
	}
}

// Advanced returns a channel that receives a value after NewsCompleteTo has advanced.
func (r *Replica) Advanced() <-chan struct{} { return r.advanced }

// NewsCompleteTo returns the version up to which the replica has, and has reported, all new
// jobs and cancellations.
func (r *Replica) NewsCompleteTo() rows.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newsCompleteTo
}

func (r *Replica) applyNewerLocked(list []rows.Row) {
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
	r.noteArrivalLocked(row.Key)
	var err error
	if recovered := panics.Try(func() { err = r.decodeLocked(row) }); recovered != nil {
		err = errkind.Wrap(errkind.Internal, recovered.AsError(), "panic in row "+row.Key)
	}
	if err != nil {
		r.onError(row.Key, err)
	}
}

// decodeLocked applies the content of a row.
func (r *Replica) decodeLocked(row rows.Row) error {
	prefix, name := splitKey(row.Key)
	switch prefix {
	case OwnerKey:
		return r.applyOwnerLocked(row)
	case jobPrefix:
		return r.applyJobLocked(row)
	case statePrefix:
		return r.applyStateLocked(row, ident.Job(name))
	case cancelPrefix:
		j := r.jobLocked(ident.Job(name))
		j.Canceled = true
		r.notifyLocked(Change{Job: j})
	case tombstonePrefix:
		return r.applyTombstoneLocked(row)
	case workerPrefix:
		return r.applyWorkerLocked(row, ident.Worker(name))
	case entryPrefix:
		return r.applyEntryLocked(row, ident.Entry(name))
	}
	return nil
}

func (r *Replica) applyOwnerLocked(row rows.Row) error {
	r.ownerVersion = row.Version
	r.ownerChangedAt = time.Now()
	r.backlog.current = false
	var owner Owner
	if err := decode(row, &owner); err != nil {
		// The epoch of the last readable row stays: workers reject orders of a lower one. Its
		// lease ends and open starts may no longer hold.
		r.owner.LeaseEnds, r.owner.OpenStarts = nil, nil
		return err
	}
	r.owner = owner
	return r.applyBacklogLocked()
}

func (r *Replica) applyJobLocked(row rows.Row) error {
	_, name := splitKey(row.Key)
	spec := &batch.Job{}
	if err := decode(row, spec); err != nil {
		return err
	}
	if err := spec.Validate(); err != nil {
		return errkind.Wrap(errkind.Corrupt, err, "job row "+row.Key)
	}
	if string(spec.ID) != name {
		return errkind.New(errkind.Corrupt, "job row %s names job %q", row.Key, spec.ID)
	}
	j := r.jobLocked(ident.Job(name))
	j.Spec = spec
	j.Canceled = j.Canceled || r.tombstones.cancel(spec)
	r.notifyLocked(Change{Job: j})
	return nil
}

// applyStateLocked sets a job aside if its state can't be read: without it, what has run
// would run again.
func (r *Replica) applyStateLocked(row rows.Row, id ident.Job) error {
	j := r.jobLocked(id)
	var record batch.Record
	err := decode(row, &record)
	if err == nil {
		err = record.Validate()
	}
	j.Unreadable = err != nil
	if err == nil {
		j.Record = record
	}
	return err
}

func (r *Replica) applyEntryLocked(row rows.Row, id ident.Entry) error {
	var entry Entry
	if err := decode(row, &entry); err != nil {
		return err
	}
	if err := checkAddress(entry.Address); err != nil {
		return err
	}
	r.entries[id] = entry
	return nil
}

func (r *Replica) applyWorkerLocked(row rows.Row, id ident.Worker) error {
	var w Worker
	if err := decode(row, &w); err != nil {
		return err
	}
	if err := w.validate(id); err != nil {
		return err
	}
	r.workers[id] = w
	clear(r.longest)
	r.notifyLocked(Change{WorkerID: id, Worker: w})
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
	prefix, name := splitKey(row.Key)
	switch prefix {
	case jobPrefix:
		delete(r.jobs, ident.Job(name))
	case tombstonePrefix:
		r.tombstones.remove(row.Key)
	case workerPrefix:
		delete(r.workers, ident.Worker(name))
		clear(r.longest)
	case entryPrefix:
		delete(r.entries, ident.Entry(name))
	}
}

func (r *Replica) notifyLocked(c Change) {
	if r.onChange != nil {
		r.onChange(c)
	}
}

// Replace applies a complete read as of version at, and removes the older rows that
// are missing from it.
func (r *Replica) Replace(list []rows.Row, at rows.Version) {
	present := make(map[string]bool, len(list))
	for _, row := range list {
		present[row.Key] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyNewerLocked(list)
	for key, version := range r.versions {
		if !present[key] && version <= at {
			r.removeLocked(rows.Row{Key: key})
		}
	}
	r.completeTo = max(r.completeTo, at)
	r.synced, r.advancedAt = true, time.Now()
	r.advanceNewsLocked(at)
}

// SetConnected records whether the store answers. After an outage the owner gets a
// full lease period to renew its row before it counts as expired.
func (r *Replica) SetConnected(connected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if connected && !r.connected {
		r.ownerChangedAt = time.Now()
		r.connectedSince = r.ownerChangedAt
	}
	r.connected = connected
}

// Age returns the time since the replica last received the changes up to a version. Rows
// may have changed in the store since then.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.advancedAt)
}

// Ready reports whether the replica has been fully loaded once.
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

// Job returns a job, or false if the replica does not hold its specification.
func (r *Replica) Job(id ident.Job) (Job, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil || j.Spec == nil {
		return Job{}, false
	}
	return *j, true
}

// Pending returns the number of accepted jobs of a queue that have not started any
// task.
func (r *Replica) Pending(queue catalog.QueueRef) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, j := range r.jobs {
		if j.Spec != nil && queue.Same(j.Spec.QueueRef()) && !j.Record.Started && !j.State().Final() {
			n++
		}
	}
	return n
}

// longestNames holds the longest ids of workers and upstream processes.
type longestNames struct {
	worker   ident.Worker
	upstream ident.Upstream
}

// LongestNames returns the longest id of a worker of the service, and the longest id of an
// upstream process of one.
func (r *Replica) LongestNames(service ident.Service) (ident.Worker, ident.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n, ok := r.longest[service]; ok {
		return n.worker, n.upstream
	}
	var n longestNames
	for id, w := range r.workers {
		if w.Info.Service != service {
			continue
		}
		if len(id) > len(n.worker) {
			n.worker = id
		}
		if len(w.Info.Incarnation.Upstream) > len(n.upstream) {
			n.upstream = w.Info.Incarnation.Upstream
		}
	}
	r.longest[service] = n
	return n.worker, n.upstream
}

// OwnerView is the state of the ownership as seen by a candidate.
type OwnerView struct {
	Owner   Owner
	Version rows.Version
	// Unchanged is how long the row has not changed while the store was
	// answering.
	Unchanged time.Duration
	// Current is set if the store answers and the replica has all changes up to the
	// owner's row. Without them, a new owner would repeat what the former one has done.
	// CurrentFor is how long the store has been answering.
	Current    bool
	CurrentFor time.Duration
}

// Owner returns the state of the owner's row.
func (r *Replica) Owner(now time.Time) OwnerView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return OwnerView{
		Owner: r.owner, Version: r.ownerVersion, Unchanged: now.Sub(r.ownerChangedAt),
		Current: r.synced && r.connected && r.ownerVersion <= r.completeTo, CurrentFor: now.Sub(r.connectedSince),
	}
}

// Peers returns the addresses of the other entries.
func (r *Replica) Peers(self ident.Entry) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		if id != self {
			addresses = append(addresses, r.entries[id].Address)
		}
	}
	return addresses
}

// Snapshot is the state with which a new owner starts.
type Snapshot struct {
	Jobs    []Job
	Workers map[ident.Worker]Worker
}

// Watch returns a snapshot and registers onChange for all later changes. It is called
// with the replica's lock held and must not block.
func (r *Replica) Watch(onChange func(Change)) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Snapshot{Workers: maps.Clone(r.workers)}
	for _, j := range r.jobs {
		if j.Spec != nil && !j.Unreadable {
			snapshot.Jobs = append(snapshot.Jobs, *j)
		}
	}
	r.onChange = onChange
	return snapshot
}

// watched reports whether a scheduler uses this replica, that is, whether this entry
// is the owner.
func (r *Replica) watched() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.onChange != nil
}

// Unwatch removes the registered callback.
func (r *Replica) Unwatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = nil
}
