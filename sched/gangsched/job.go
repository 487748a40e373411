package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// State says what an accepted job does.
type State uint8

// The states of an accepted job.
const (
	// StateQueued waits for a place.
	StateQueued State = iota
	// StateDelayed waits for the end of a backoff.
	StateDelayed
	// StatePending has a place and waits for its occupants to stop.
	StatePending
	// StateRunning runs an attempt.
	StateRunning
	// StateStopping runs an attempt whose end is expected.
	StateStopping
)

var stateNames = []string{"queued", "delayed", "pending", "running", "stopping"}

// String returns the wire name of the state.
func (s State) String() string { return stateNames[s] }

// job is an accepted job.
type job struct {
	spec  model.Job
	seq   uint64
	state State
	ws    *workspace
	// caller is the share account of the job's caller.
	caller  *caller
	class   *class
	attempt int
	// places has one entry for each task from placement to release.
	places []guarantee.Place
	// slot is the guarantee that the job uses, or nil.
	slot *guarantee.Slot

	started time.Time
	// attemptEstimate is the run time that was expected at the start of the attempt.
	attemptEstimate time.Duration
	// saved is the run time covered by checkpoints of earlier attempts.
	saved time.Duration
	// checkpoint is the time of the newest checkpoint of this attempt.
	checkpoint time.Time
	failures   int
	notBefore  time.Time
	// retryReason is why the next attempt is a retry, or ReasonNone.
	retryReason model.Reason
	canceled    bool
	// stopping is the reason why the attempt is stopped.
	stopping model.Reason
	// charged says that the attempt counts in the share accounts.
	charged bool
	// lost says that a member's worker was lost.
	lost bool
	// hadReservation says that the attempt waited for a reservation.
	hadReservation bool
	// runTimeEstimate is the estimated run time of the whole job as of
	// runTimeEstimatedAt.
	runTimeEstimate    time.Duration
	runTimeEstimatedAt time.Time
	// shareTriedAt is when preemption by share was last tried for the job.
	shareTriedAt time.Time
	// target is the place that a migrating job moves to.
	target []guarantee.Place
	// cannotRunNow says that the owner was told that the job cannot run now.
	cannotRunNow bool
}

func (j *job) query() topology.Query {
	return topology.Query{Tasks: j.spec.Tasks, PerTask: j.spec.PerTask, Locality: j.spec.Locality}
}

func (j *job) accelerators() int { return j.spec.Tasks * j.spec.PerTask.Accelerators }

// weight is the size of a gang for comparisons of lost work: its accelerators,
// at least one.
func (j *job) weight() float64 { return float64(max(j.accelerators(), 1)) }

// maxCheckpointLoss bounds the expected loss of a gang that checkpoints within
// the grace period: the time to restart from the checkpoint.
const maxCheckpointLoss = 30 * time.Second

// loss returns the accelerator-seconds that stopping the job would waste.
func (j *job) loss(now time.Time) float64 {
	unsaved := now.Sub(j.lastSaved())
	if j.spec.Checkpointable {
		unsaved = min(unsaved, maxCheckpointLoss)
	}
	return max(unsaved.Seconds(), 0) * j.weight()
}

// restartWaitPerAccelerator is the expected wait of a stopped gang for each of
// its accelerators: the larger the gang, the longer it takes to gather them
// again.
const restartWaitPerAccelerator = 5 * time.Second

// stopCost is the lost work of stopping the job plus the accelerator-seconds
// that it waits to run again.
func (j *job) stopCost(now time.Time) float64 {
	return j.loss(now) + restartWaitPerAccelerator.Seconds()*j.weight()*j.weight()
}

func (j *job) lastSaved() time.Time {
	if j.checkpoint.After(j.started) {
		return j.checkpoint
	}
	return j.started
}

// usesCapacity reports whether the job holds capacity: it runs or stops.
func (j *job) usesCapacity() bool { return j.state == StateRunning || j.state == StateStopping }

// workspace is the share account of one workspace.
type workspace struct {
	id     ident.Workspace
	inPlan bool
	weight int
	plan   model.WorkspacePlan
	queued int
	// claimCount counts the queued jobs that name a shape.
	claimCount int
	// usage is what the workspace runs beyond its guarantees.
	usage   model.Resources
	share   float64
	callers map[ident.Caller]*caller
	// claims holds the queued jobs of each guaranteed shape.
	claims map[string]*jobQueue
	// reconcileQueued says that the workspace is in the scheduler's
	// reconcileQueue.
	reconcileQueued bool
	// borrowers lists the running jobs outside the workspace's guarantees in
	// order of their start.
	borrowers []*job
}

// caller is the share account of one caller.
type caller struct {
	id    ident.Caller
	usage model.Resources
	share float64
	jobs  int
}

// dominantShare returns the largest fraction of total that used takes of any
// resource.
func dominantShare(used, total model.Resources) float64 {
	return max(fraction(used.Accelerators, total.Accelerators), fraction(used.Cores, total.Cores), fraction(used.MemoryMB, total.MemoryMB))
}

func fraction(used, total int) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}

// charge adds a job's usage to its workspace and caller, or removes it.
func (s *Scheduler) charge(j *job, sign int) {
	amount := topology.Scale(j.spec.PerTask, sign*j.spec.Tasks)
	j.ws.usage = topology.Add(j.ws.usage, amount)
	j.caller.usage = topology.Add(j.caller.usage, amount)
	j.ws.share = s.shareOf(j.ws, j.ws.usage)
	j.caller.share = dominantShare(j.caller.usage, s.capacity)
}

// chargeOnce charges a gang that runs outside guarantees, unless that was already
// done when its place was set aside. uncharge ends the charge.
func (s *Scheduler) chargeOnce(j *job) {
	if !j.charged {
		j.charged = true
		s.charge(j, 1)
	}
}

func (s *Scheduler) shareOf(ws *workspace, usage model.Resources) float64 {
	return dominantShare(usage, s.capacity) / float64(max(ws.weight, 1))
}

// recomputeShares recomputes all shares after a change of capacity or weights.
func (s *Scheduler) recomputeShares() {
	for _, ws := range s.sortedWorkspaces {
		ws.share = s.shareOf(ws, ws.usage)
		for _, c := range ws.callers {
			c.share = dominantShare(c.usage, s.capacity)
		}
	}
}
