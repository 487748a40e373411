// Package gangsched schedules the gangs of one partition. It reserves a place
// for each guaranteed gang (a slot), lends the capacity of idle slots to other
// work and takes it back by preemption. It performs no I/O and reads no clock.
package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

// Estimator predicts run times from those of finished gangs.
type Estimator interface {
	// Observe records the declared and the actual run time of a finished gang.
	Observe(service ident.Service, tasks int, declared, actual time.Duration)
	// RunTime returns a high quantile of the expected run time.
	RunTime(service ident.Service, tasks int, declared time.Duration) time.Duration
}

// Health tracks the failures of workers and jobs and decides which workers are
// quarantined.
type Health interface {
	Failed(now time.Time, worker ident.Worker, job ident.Job)
	Succeeded(now time.Time, worker ident.Worker, job ident.Job)
	Quarantined(now time.Time, worker ident.Worker) bool
	ProbeAllowed(now time.Time, worker ident.Worker) bool
	JobFailsEverywhere(job ident.Job) bool
}

// Config parameterises a scheduler. Zero fields take the defaults.
type Config struct {
	Estimator Estimator
	Health    Health
	// Grace is how long a preempted gang may take to checkpoint.
	Grace time.Duration
}

// DefaultGrace is the default of Config.Grace.
const DefaultGrace = 2 * time.Second

// Scheduler places the gangs of one partition. It is not safe for concurrent
// use; its owner serialises all calls.
type Scheduler struct {
	estimator Estimator
	health    Health
	grace     time.Duration

	// now is the time that was passed to the current call.
	now      time.Time
	plan     model.Plan
	workers  []*worker
	byID     map[ident.Worker]int
	rackOf   map[ident.Rack]int
	capacity model.Resources
	// live holds the capacity of the live workers, liveAndLost also that of
	// workers lost within lostWorkerRetention.
	live        *topology.Index
	liveAndLost *topology.Index
	// free holds the capacity that no gang uses or waits for; freeUnowned is
	// the part of it that no slot owns.
	free        *topology.Index
	freeUnowned *topology.Index
	allocator   *guarantee.Allocator

	jobs             map[ident.Job]*job
	sequence         uint64
	workspaces       map[ident.Workspace]*workspace
	sortedWorkspaces []*workspace
	classes          []*class
	classOf          map[classKey]*class
	delayed          []*job
	ready            []*job
	actions          []model.Action
	// misplaced lists the running gangs that could not take over an idle slot
	// of their shape at their present place.
	misplaced []*job
	// restored lists the attempts of a snapshot until the next call of
	// Schedule.
	restored []*job
	// cordonCandidates lists the workers whose quarantine updateCordons checks.
	cordonCandidates []int
	// reservation is for the largest waiting gang, or nil.
	reservation *reservation
	// gangCount counts the attempts that hold capacity, gangAccelerators the
	// accelerators with which they started.
	gangCount        int
	gangAccelerators int
	// generation counts the events that may let a blocked class start.
	generation uint64
	counts     map[model.Reason]int
	// reconcileQueue lists the workspaces in which a gang may run outside the
	// guarantee while a slot of its shape is idle.
	reconcileQueue []*workspace
}

var _ trace.Policy = (*Scheduler)(nil)

// New returns a scheduler without workers.
func New(cfg Config) *Scheduler {
	if cfg.Grace == 0 {
		cfg.Grace = DefaultGrace
	}
	if cfg.Estimator == nil {
		cfg.Estimator = declaredTimes{}
	}
	if cfg.Health == nil {
		cfg.Health = trustAll{}
	}
	s := &Scheduler{
		estimator: cfg.Estimator, health: cfg.Health, grace: cfg.Grace,
		byID: make(map[ident.Worker]int), rackOf: make(map[ident.Rack]int),
		live: topology.NewIndex(), liveAndLost: topology.NewIndex(), free: topology.NewIndex(), freeUnowned: topology.NewIndex(),
		jobs: make(map[ident.Job]*job), workspaces: make(map[ident.Workspace]*workspace),
		classOf: make(map[classKey]*class), generation: 1, counts: make(map[model.Reason]int),
	}
	s.allocator = guarantee.NewAllocator(guarantee.Hooks{Pick: s.pick, Changed: s.updateIndexes})
	return s
}

// Counts returns how often each reason was given.
func (s *Scheduler) Counts() map[model.Reason]int {
	out := make(map[model.Reason]int, len(s.counts))
	for r, n := range s.counts {
		out[r] = n
	}
	return out
}

// Assignment returns the current assignment of the guaranteed shapes.
func (s *Scheduler) Assignment() guarantee.Assignment {
	return s.allocator.Snapshot(s.workerID)
}

func (s *Scheduler) workerID(w int) ident.Worker { return s.workers[w].id }

// declaredTimes takes the declared run time, within bounds, as the estimate.
type declaredTimes struct{}

const (
	minDeclared = time.Minute
	maxDeclared = 24 * time.Hour
)

func (declaredTimes) Observe(ident.Service, int, time.Duration, time.Duration) {}

func (declaredTimes) RunTime(_ ident.Service, _ int, declared time.Duration) time.Duration {
	return min(max(declared, minDeclared), maxDeclared)
}

// trustAll is a Health that never quarantines a worker or gives up a job.
type trustAll struct{}

func (trustAll) Failed(time.Time, ident.Worker, ident.Job)    {}
func (trustAll) Succeeded(time.Time, ident.Worker, ident.Job) {}
func (trustAll) Quarantined(time.Time, ident.Worker) bool     { return false }
func (trustAll) ProbeAllowed(time.Time, ident.Worker) bool    { return true }
func (trustAll) JobFailsEverywhere(ident.Job) bool            { return false }
