package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// tier orders the units of a plan. A unit may take capacity from work of a
// higher tier.
type tier uint8

// The tiers.
const (
	// tierGuaranteed is work of priority 0 inside its workspace's guarantee.
	tierGuaranteed tier = iota
	// tierUrgent is other work of priority 0.
	tierUrgent
	// tierNormal is work of priority 1.
	tierNormal
	// tierBulk is all other work.
	tierBulk
	// tierLate is work that is too late to be worth anything.
	tierLate
)

// tiers sorts the jobs into tiers. The guarantee of a workspace covers its
// jobs of priority 0 in the order of their acceptance.
func (e *Scheduler) tiers(now time.Time) map[*job]tier {
	tiers := make(map[*job]tier, len(e.jobs))
	var urgent []*job
	for _, j := range e.jobs {
		if j.record.State.Final() {
			continue
		}
		tiers[j] = e.tierOf(j, now)
		if j.spec.Priority == 0 {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, byAcceptance)
	left := make(map[ident.Workspace]int)
	for ws, plan := range e.plans {
		left[ws] = plan.Accelerators
	}
	for _, j := range urgent {
		need := j.accelerators()
		if need <= left[j.spec.Workspace] {
			left[j.spec.Workspace] -= need
			tiers[j] = tierGuaranteed
		}
	}
	return tiers
}

func byAcceptance(a, b *job) int {
	return cmp.Or(cmp.Compare(a.spec.AcceptedMs, b.spec.AcceptedMs), cmp.Compare(a.spec.ID, b.spec.ID))
}

func (e *Scheduler) tierOf(j *job, now time.Time) tier {
	switch {
	case e.hopeless(j, now):
		return tierLate
	case j.spec.Priority == 0:
		return tierUrgent
	case j.spec.Priority == 1:
		return tierNormal
	default:
		return tierBulk
	}
}

// accelerators is what the job's first steps need at once.
func (j *job) accelerators() int {
	n := 0
	for i := range j.spec.Steps {
		if s := &j.spec.Steps[i]; len(s.DependsOn) == 0 {
			n += s.Tasks * s.PerTask.Accelerators
		}
	}
	return n
}

// lateFactor bounds, in objectives, how late a job may be and still count.
const lateFactor = 3

// hopeless reports whether the job can no longer end in time to count.
func (e *Scheduler) hopeless(j *job, now time.Time) bool {
	if j.spec.Repetitions > 0 || j.longRunning() {
		return false
	}
	return now.Sub(time.UnixMilli(j.spec.AcceptedMs)) > lateFactor*e.objective(j)
}

func (j *job) longRunning() bool {
	return slices.ContainsFunc(j.spec.Steps, func(s Step) bool { return s.LongRunning })
}

// objective is the time in which the job should end.
func (e *Scheduler) objective(j *job) time.Duration {
	slack := max(j.spec.SlackFactor, 1)
	return time.Duration(slack*float64(e.chain(j, 0, true))) + time.Duration(j.spec.TargetMs)*time.Millisecond
}

// chain returns the expected duration of the longest chain of steps: of the
// whole job, or of a step and those that wait for it.
func (e *Scheduler) chain(j *job, step int, whole bool) time.Duration {
	n := len(j.spec.Steps)
	tail := make([]time.Duration, n)
	longest := time.Duration(0)
	for s := n - 1; s >= 0; s-- {
		step := &j.spec.Steps[s]
		tail[s] += e.expected(j, step) * time.Duration(e.waves(step))
		for _, before := range j.spec.Steps[s].DependsOn {
			if before < s {
				tail[before] = max(tail[before], tail[s])
			}
		}
		longest = max(longest, tail[s])
	}
	if whole || step >= n {
		return longest
	}
	return tail[step]
}

// waveShare is the share of all room that a step may fill at once by its
// objective; a wider step is expected to run in waves.
const waveShare = 0.25

// waves returns in how many waves the objective lets the tasks of a step run.
func (e *Scheduler) waves(step *Step) int {
	if step.Gang || step.Tasks < 2 || e.room == (Resources{}) {
		return 1
	}
	share := 0.0
	for _, d := range [][2]int{
		{step.demand().MilliCores, e.room.MilliCores},
		{step.demand().MemoryMB, e.room.MemoryMB},
		{step.demand().Accelerators, e.room.Accelerators},
	} {
		share = max(share, float64(step.Tasks*d[0])/float64(max(d[1], 1)))
	}
	return max(1, int(math.Ceil(share/waveShare)))
}

// compareUrgency orders units of one tier by when they have to start, those
// that can still be on time first: what is late earns little more by starting
// earlier. Bulk work keeps the order of its acceptance, because its widest
// steps are never on time while narrower ones arrive.
func (p *plan) compareUrgency(a, b *unit) int {
	if a.tier >= tierBulk {
		return 0
	}
	late, otherLate := p.now.After(a.latest), p.now.After(b.latest)
	switch {
	case late == otherLate:
		return a.latest.Compare(b.latest)
	case late:
		return 1
	default:
		return -1
	}
}
