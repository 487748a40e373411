package gangsched

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

const (
	// shareTries bounds the waiting jobs for which one decision looks for work
	// above its share.
	shareTries = 1
	// shareRetry is the time before the same job is tried again.
	shareRetry = 5 * time.Second
	// shareVictim is how many times larger than the job a victim may be, so that
	// small jobs do not stop large gangs, which take long to gather again. Inside
	// a workspace callerVictim applies, because its small callers come first.
	shareVictim  = 2
	callerVictim = 8
	// shareRacks bounds the racks that are searched for one job.
	shareRacks = 4
)

// takeShare stops work above its share for waiting jobs below theirs.
func (s *Scheduler) takeShare(heads []*job) {
	tries := 0
	for _, j := range heads {
		if tries == shareTries {
			return
		}
		if j.state != StateQueued || s.now.Sub(j.tried) < shareRetry {
			continue
		}
		tries++
		j.tried = s.now
		s.preemptForShare(j)
	}
}

func (s *Scheduler) preemptForShare(j *job) {
	if s.free.Find(j.query()) != nil {
		return
	}
	e := s.evict(j, s.shareRacksFor(j), func(v *job) bool { return s.mayPreempt(j, v) })
	if e == nil {
		return
	}
	// Other than urgent work, a job must do more work than it destroys.
	gain := s.remaining(j).Seconds() * j.weight()
	if j.spec.Urgent || e.loss <= gain {
		s.carryOut(j, e, model.ReasonPreemptShare)
	}
}

// mayPreempt reports whether a job stays below the share of the victim's account
// after the exchange. A gang that waited for a reservation is spared until it
// overruns, because it would have to wait for its place again. Inside a workspace
// urgency precedes the callers' shares.
func (s *Scheduler) mayPreempt(j, v *job) bool {
	largest := float64(shareVictim)
	if j.ws == v.ws {
		largest = callerVictim
	}
	if v.weight() > largest*j.weight() || v.reserved && !s.overran(v) {
		return false
	}
	more := topology.Scale(j.spec.PerTask, j.spec.Tasks)
	less := topology.Scale(v.spec.PerTask, -v.spec.Tasks)
	if j.ws != v.ws {
		return s.shareOf(j.ws, topology.Add(j.ws.usage, more)) < s.shareOf(v.ws, topology.Add(v.ws.usage, less))
	}
	if j.spec.Urgent != v.spec.Urgent {
		return j.spec.Urgent
	}
	return dominant(topology.Add(j.caller.usage, more), s.capacity) < dominant(topology.Add(v.caller.usage, less), s.capacity)
}

// shareRacksFor returns the racks with the most room, and those of the newest
// gangs of the workspace with the highest share.
func (s *Scheduler) shareRacksFor(j *job) []int {
	racks := s.free.MostFree(j.spec.PerTask, shareRacks)
	top := j.ws
	for _, ws := range s.order {
		if len(ws.borrowed) > 0 && (ws.share > top.share || len(top.borrowed) == 0) {
			top = ws
		}
	}
	for i := len(top.borrowed) - 1; i >= max(len(top.borrowed)-shareRacks, 0); i-- {
		for _, p := range top.borrowed[i].places {
			if r := s.all.RackOf(p.Worker); !slices.Contains(racks, r) && len(racks) < 2*shareRacks {
				racks = append(racks, r)
			}
		}
	}
	return racks
}
