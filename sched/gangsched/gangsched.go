// Package gangsched decides which gang of one partition runs where. It keeps
// a place for every guaranteed shape, lends idle capacity to other work and
// takes it back by preemption. It performs no I/O and reads no clock.
package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

// Estimator learns run times.
type Estimator interface {
	// Observe records the declared and the actual run time of a finished gang.
	Observe(service ident.Service, tasks int, declared, actual time.Duration)
	// RunTime returns a high quantile of the expected run time.
	RunTime(service ident.Service, tasks int, declared time.Duration) time.Duration
}

// Health judges workers and jobs by their failures.
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

	// now is the time of the call that is being served.
	now      time.Time
	plan     model.Plan
	workers  []*worker
	byID     map[ident.Worker]int
	rackOf   map[ident.Rack]int
	capacity model.Resources
	// all holds the capacity of the live workers, ever also that of lost ones.
	all  *topology.Index
	ever *topology.Index
	// free holds what no gang uses or waits for; open is the part of it that
	// no slot owns.
	free *topology.Index
	open *topology.Index
	book *guarantee.Allocator

	jobs       map[ident.Job]*job
	sequence   uint64
	workspaces map[ident.Workspace]*workspace
	order      []*workspace
	classes    []*class
	classOf    map[classKey]*class
	delayed    []*job
	ready      []*job
	outbox     []model.Action
	// misplaced lists gangs that an idle slot of their shape could not adopt.
	misplaced []*job
	// restored lists the attempts of a snapshot until the first decision.
	restored []*job
	suspects []int
	// reservation is for the largest waiting gang, or nil.
	reservation *reservation
	// gangs counts the attempts that hold capacity, gangAccelerators what they
	// were started with.
	gangs            int
	gangAccelerators int
	// generation counts the events that may let a blocked class start.
	generation uint64
	counts     map[model.Reason]int
	// unsettled lists the workspaces whose gangs may run outside an idle slot.
	unsettled []*workspace
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
		cfg.Health = noHealth{}
	}
	s := &Scheduler{
		estimator: cfg.Estimator, health: cfg.Health, grace: cfg.Grace,
		byID: make(map[ident.Worker]int), rackOf: make(map[ident.Rack]int),
		all: topology.NewIndex(), ever: topology.NewIndex(), free: topology.NewIndex(), open: topology.NewIndex(),
		jobs: make(map[ident.Job]*job), workspaces: make(map[ident.Workspace]*workspace),
		classOf: make(map[classKey]*class), generation: 1, counts: make(map[model.Reason]int),
	}
	s.book = guarantee.NewAllocator(guarantee.Hooks{Pick: s.pick, Changed: s.refresh})
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
	return s.book.Snapshot(s.workerID)
}

func (s *Scheduler) workerID(w int) ident.Worker { return s.workers[w].id }

// declaredTimes trusts declared run times inside bounds.
type declaredTimes struct{}

const (
	minDeclared = time.Minute
	maxDeclared = 24 * time.Hour
)

func (declaredTimes) Observe(ident.Service, int, time.Duration, time.Duration) {}

func (declaredTimes) RunTime(_ ident.Service, _ int, declared time.Duration) time.Duration {
	return min(max(declared, minDeclared), maxDeclared)
}

// noHealth trusts every worker and job.
type noHealth struct{}

func (noHealth) Failed(time.Time, ident.Worker, ident.Job)    {}
func (noHealth) Succeeded(time.Time, ident.Worker, ident.Job) {}
func (noHealth) Quarantined(time.Time, ident.Worker) bool     { return false }
func (noHealth) ProbeAllowed(time.Time, ident.Worker) bool    { return true }
func (noHealth) JobFailsEverywhere(ident.Job) bool            { return false }
