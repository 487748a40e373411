package gangsched

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

const (
	// shareTriesPerDecision bounds the waiting jobs for which one decision
	// looks for work above its share.
	shareTriesPerDecision = 1
	// shareRetryInterval is the time before the same job is tried again.
	shareRetryInterval = 5 * time.Second
	// maxVictimRatio is how many times larger than the job a victim may be, so
	// that small jobs do not stop large gangs, which take long to gather their
	// accelerators again. Inside a workspace maxVictimRatioInWorkspace applies,
	// because its small callers come first.
	maxVictimRatio            = 2
	maxVictimRatioInWorkspace = 8
	// shareRacks bounds the racks that are searched for one job.
	shareRacks = 4
)

// preemptForHeads preempts work above its share for waiting jobs below theirs.
func (s *Scheduler) preemptForHeads(heads []*job) {
	tries := 0
	for _, j := range heads {
		if tries == shareTriesPerDecision {
			return
		}
		if j.state != StateQueued || s.now.Sub(j.shareTriedAt) < shareRetryInterval {
			continue
		}
		tries++
		j.shareTriedAt = s.now
		s.preemptForShare(j)
	}
}

func (s *Scheduler) preemptForShare(j *job) {
	if s.free.Find(j.query()) != nil {
		return
	}
	e := s.findEviction(j, s.shareRacksFor(j), func(v *job) bool { return s.mayPreempt(j, v) })
	if e == nil {
		return
	}
	// Unless it is urgent, a job must do more work than the preemption loses.
	gain := s.remainingRunTime(j).Seconds() * j.weight()
	if j.spec.Urgent || e.cost <= gain {
		s.applyEviction(j, e, model.ReasonPreemptShare)
	}
}

// mayPreempt reports whether a job's account would stay below the share of the
// victim's account after the preemption. A gang that waited for a reservation
// is spared until it overruns, because it would have to wait for its place
// again. Inside a workspace urgency precedes the callers' shares.
func (s *Scheduler) mayPreempt(j, v *job) bool {
	maxRatio := float64(maxVictimRatio)
	if j.ws == v.ws {
		maxRatio = maxVictimRatioInWorkspace
	}
	if v.weight() > maxRatio*j.weight() || v.hadReservation && !s.overran(v) {
		return false
	}
	added := topology.Scale(j.spec.PerTask, j.spec.Tasks)
	removed := topology.Scale(v.spec.PerTask, -v.spec.Tasks)
	if j.ws != v.ws {
		return s.shareOf(j.ws, topology.Add(j.ws.usage, added)) < s.shareOf(v.ws, topology.Add(v.ws.usage, removed))
	}
	if j.spec.Urgent != v.spec.Urgent {
		return j.spec.Urgent
	}
	return dominantShare(topology.Add(j.caller.usage, added), s.capacity) < dominantShare(topology.Add(v.caller.usage, removed), s.capacity)
}

// shareRacksFor returns the racks with the most room, and those of the newest
// gangs of the workspace with the highest share.
func (s *Scheduler) shareRacksFor(j *job) []int {
	racks := s.free.MostFree(j.spec.PerTask, shareRacks)
	top := j.ws
	for _, ws := range s.sortedWorkspaces {
		if len(ws.borrowers) > 0 && (ws.share > top.share || len(top.borrowers) == 0) {
			top = ws
		}
	}
	for i := len(top.borrowers) - 1; i >= max(len(top.borrowers)-shareRacks, 0); i-- {
		for _, p := range top.borrowers[i].places {
			if r := s.live.RackOf(p.Worker); !slices.Contains(racks, r) && len(racks) < 2*shareRacks {
				racks = append(racks, r)
			}
		}
	}
	return racks
}
