package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// tier is the priority class of a unit during planning; lower numbers are more
// urgent. Units up to tierNormal may preempt work of higher-numbered tiers.
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
	// tierExpired is work that is too late to be of any value.
	tierExpired
)

// tiers assigns the jobs to tiers. The guarantee of a workspace covers its jobs
// of priority 0 in the order of their acceptance.
func (s *Scheduler) tiers(now time.Time) map[*job]tier {
	tiers := make(map[*job]tier, len(s.jobs))
	var urgent []*job
	for _, j := range s.jobs {
		if j.record.State.Final() {
			continue
		}
		s.handling = j.spec.ID
		tiers[j] = s.tierOf(j, now)
		if j.spec.Priority == 0 {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, compareAcceptance)
	remaining := make(map[ident.Workspace]int)
	for ws, guarantee := range s.guarantees {
		remaining[ws] = guarantee.Accelerators
	}
	for _, j := range urgent {
		need := j.initialAccelerators()
		if need <= remaining[j.spec.Workspace] {
			remaining[j.spec.Workspace] -= need
			tiers[j] = tierGuaranteed
		}
	}
	return tiers
}

func compareAcceptance(a, b *job) int {
	return cmp.Or(cmp.Compare(a.spec.AcceptedMs, b.spec.AcceptedMs), cmp.Compare(a.spec.ID, b.spec.ID))
}

func (s *Scheduler) tierOf(j *job, now time.Time) tier {
	switch {
	case s.expired(j, now):
		return tierExpired
	case j.spec.Priority == 0:
		return tierUrgent
	case j.spec.Priority == 1:
		return tierNormal
	default:
		return tierBulk
	}
}

// initialAccelerators is how many accelerators the job's first steps need at
// once.
func (j *job) initialAccelerators() int {
	n := 0
	for i := range j.spec.Steps {
		if s := &j.spec.Steps[i]; len(s.DependsOn) == 0 {
			n += s.Tasks * s.PerTask.Accelerators
		}
	}
	return n
}

// expiryObjectives is how many times its objective a job may take and still be of
// value.
const expiryObjectives = 3

// expired reports whether the job can no longer end in time to be of value.
func (s *Scheduler) expired(j *job, now time.Time) bool {
	if j.spec.Repetitions > 0 || j.longRunning() {
		return false
	}
	return now.Sub(time.UnixMilli(j.spec.AcceptedMs)) > expiryObjectives*s.objective(j)
}

func (j *job) longRunning() bool {
	return slices.ContainsFunc(j.spec.Steps, func(s Step) bool { return s.LongRunning })
}

const (
	// maxSlack bounds the slack factor and maxObjective the objective, so that times
	// computed from a configuration beyond reason cannot overflow.
	maxSlack     = 1000
	maxObjective = 10 * 365 * 24 * time.Hour
)

// objective returns the time from the acceptance of the job, or from the due time of
// an occurrence, within which it should end.
func (s *Scheduler) objective(j *job) time.Duration {
	slack := min(max(j.spec.SlackFactor, 1), maxSlack)
	target := float64(min(max(j.spec.TargetMs, 0), maxDuration.Milliseconds())) * float64(time.Millisecond)
	return time.Duration(min(slack*float64(s.criticalPath(j, 0, true))+target, float64(maxObjective)))
}

// criticalPath returns the expected duration of the longest chain of dependent
// steps: of the whole job, or of the given step and those that depend on it.
func (s *Scheduler) criticalPath(j *job, step int, whole bool) time.Duration {
	n := len(j.spec.Steps)
	tail := make([]time.Duration, n)
	longest := time.Duration(0)
	for i := n - 1; i >= 0; i-- {
		step := &j.spec.Steps[i]
		tail[i] += s.expectedDuration(j, step) * time.Duration(s.expectedWaves(step))
		for _, before := range j.spec.Steps[i].DependsOn {
			if before < i {
				tail[before] = max(tail[before], tail[i])
			}
		}
		longest = max(longest, tail[i])
	}
	if whole || step >= n {
		return longest
	}
	return tail[step]
}

// maxWaveShare is the share of the total capacity that a step is expected to fill
// at once when its objective is computed; a wider step is expected to run in
// waves.
const maxWaveShare = 0.25

// expectedWaves returns in how many waves the tasks of a step are expected to run
// when its objective is computed.
func (s *Scheduler) expectedWaves(step *Step) int {
	if step.Gang || step.Tasks < 2 || s.totalCapacity == (Resources{}) {
		return 1
	}
	share := 0.0
	for _, d := range [][2]int{
		{step.demand().MilliCores, s.totalCapacity.MilliCores},
		{step.demand().MemoryMB, s.totalCapacity.MemoryMB},
		{step.demand().Accelerators, s.totalCapacity.Accelerators},
	} {
		share = max(share, float64(step.Tasks*d[0])/float64(max(d[1], 1)))
	}
	return max(1, int(min(math.Ceil(share/maxWaveShare), float64(step.Tasks))))
}

// compareUrgency orders units of one tier by their latest start. Units that can
// still meet their objective come first, because late ones gain little by
// starting earlier. Bulk work keeps the order of its acceptance, because its
// widest steps never meet their objective while narrower ones keep arriving.
func (p *plan) compareUrgency(a, b *unit) int {
	if a.tier >= tierBulk {
		return 0
	}
	late, otherLate := p.now.After(a.latestStart), p.now.After(b.latestStart)
	switch {
	case late == otherLate:
		return a.latestStart.Compare(b.latestStart)
	case late:
		return 1
	default:
		return -1
	}
}
