package gangsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/sched/model"
)

// reservation keeps racks for the largest waiting gang until it starts.
type reservation struct {
	job   *job
	racks []int
	// at is when the gang is expected to start there.
	at time.Time
	// tried is when a consolidation was last tried.
	tried time.Time
}

// reservationRacks bounds how many racks are compared for a reservation.
const reservationRacks = 8

// hazard is the factor on the estimate of backfilled work that cannot be
// preempted with a checkpoint, because its overrun delays the reserved gang.
const hazard = 2

// briefRunTime is the expected run time up to which jobs of callers that run at
// most one other such job start in reserved racks in any case: short work of small
// callers must not wait for a draining rack, but a flood of it must not fill it.
const briefRunTime = 10 * time.Minute

// avoid returns the racks in which a job must not start because it would delay
// the reserved gang.
func (s *Scheduler) avoid(j *job) []int {
	r := s.reservation
	if r == nil || r.job == j {
		return nil
	}
	estimate := s.remaining(j)
	if estimate <= briefRunTime && j.caller.usage.Accelerators <= j.accelerators() {
		return nil
	}
	if !j.spec.Checkpointable {
		estimate *= hazard
	}
	if !s.now.Add(estimate).After(r.at) {
		return nil
	}
	return r.racks
}

// keepReservation drops a reservation that is no longer needed, and plans a due
// one again after stopping overrunning work for it.
func (s *Scheduler) keepReservation() {
	r := s.reservation
	if r == nil {
		return
	}
	if r.job.state != StateQueued || s.jobs[r.job.spec.ID] != r.job {
		s.reservation = nil
		s.generation++
		return
	}
	if s.tryStart(r.job) {
		s.reservation = nil
		s.generation++
		return
	}
	if s.now.Before(r.at) {
		return
	}
	overrunning := func(g *job) bool { return g.spec.Checkpointable && s.overran(g) }
	if e := s.evict(r.job, r.racks, overrunning); e != nil {
		s.carryOut(r.job, e, model.ReasonPreemptOverrun)
	} else {
		s.reserve(r.job)
	}
}

// reserve plans the earliest place for a gang.
func (s *Scheduler) reserve(j *job) {
	s.generation++
	s.reservation = nil
	candidates := s.candidateRacks(j)
	if j.spec.Locality == model.LocalityPartition {
		if at, ok := s.earliest(j, candidates); ok {
			s.reservation = &reservation{job: j, racks: candidates, at: at}
		}
		return
	}
	for _, rack := range candidates {
		at, ok := s.earliest(j, []int{rack})
		if ok && (s.reservation == nil || at.Before(s.reservation.at)) {
			s.reservation = &reservation{job: j, racks: []int{rack}, at: at}
		}
	}
}

// candidateRacks returns the racks with the most room for the gang. A gang that
// may spread gets as many as hold it when they are empty.
func (s *Scheduler) candidateRacks(j *job) []int {
	racks := s.free.MostFree(j.spec.PerTask, reservationRacks)
	if j.spec.Locality != model.LocalityPartition {
		return slices.DeleteFunc(racks, func(r int) bool { return s.all.RackFits(r, j.spec.PerTask) < j.spec.Tasks })
	}
	total := 0
	for i, r := range racks {
		total += min(s.all.RackFits(r, j.spec.PerTask), j.spec.Tasks)
		if total >= j.spec.Tasks {
			return racks[:i+1]
		}
	}
	return racks
}

// earliest returns when the gang fits into the racks if every running gang ends
// as expected.
func (s *Scheduler) earliest(j *job, racks []int) (time.Time, bool) {
	best, found := time.Time{}, false
	for _, r := range s.newRoom(j, racks).scopes() {
		if at, ok := s.earliestIn(r); ok && (!found || at.Before(best)) {
			best, found = at, true
		}
	}
	return best, found
}

func (s *Scheduler) earliestIn(r *room) (time.Time, bool) {
	ends := s.endings(r.list)
	at := s.now
	for !r.fits() {
		if len(ends) == 0 {
			return at, false
		}
		at = ends[0].at
		r.remove(ends[0].gang, 1)
		ends = ends[1:]
	}
	return at, true
}

// ending is the expected end of a running gang.
type ending struct {
	gang *job
	at   time.Time
}

func (s *Scheduler) endings(workers []int) []ending {
	var list []ending
	seen := make(map[*job]bool)
	for _, n := range workers {
		for _, g := range s.workers[n].gangs {
			if !seen[g] {
				seen[g] = true
				list = append(list, ending{g, s.expectedEnd(g)})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b ending) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.gang.seq, b.gang.seq))
	})
	return list
}

// blockedHeads returns the next job of each class that found no place.
func (s *Scheduler) blockedHeads() []*job {
	var heads []*job
	for _, c := range s.classes {
		if j := c.best(); !j.impossible {
			heads = append(heads, j)
		}
	}
	slices.SortFunc(heads, func(a, b *job) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	return heads
}

// serveBlocked makes room for waiting jobs: by preemption of work above its
// share, and by a reservation for the largest gang.
func (s *Scheduler) serveBlocked() {
	if len(s.classes) == 0 {
		return
	}
	heads := s.blockedHeads()
	s.takeShare(heads)
	if s.reservation == nil {
		if j := s.largest(heads); j != nil {
			s.reserve(j)
		}
	}
	s.consolidate()
}

// A gang needs a reservation at once when it is this many times larger than the
// mean running gang, and after reservationWait when it is larger at all. Smaller
// jobs fit into what single ends free, and would only keep others waiting.
const (
	reservationRatio = 2
	reservationWait  = 15 * time.Minute
)

func (s *Scheduler) needsReservation(j *job) bool {
	size, mean := float64(j.accelerators()), s.meanGang()
	waited := s.now.Sub(j.spec.Submitted)
	return size > reservationRatio*mean || (size > mean && waited >= reservationWait)
}

// meanGang returns the mean number of accelerators of the running gangs.
func (s *Scheduler) meanGang() float64 {
	if s.gangs == 0 {
		return 0
	}
	return float64(s.gangAccelerators) / float64(s.gangs)
}

// largest returns the largest gang among the jobs. Gangs of workspaces within
// their fair share come first, so that one workspace's gangs do not hold the
// reservation all the time.
func (s *Scheduler) largest(heads []*job) *job {
	var best *job
	for _, j := range heads {
		if j.state != StateQueued || !s.needsReservation(j) {
			continue
		}
		if best == nil || s.ranksAbove(j, best) {
			best = j
		}
	}
	return best
}

func (s *Scheduler) ranksAbove(a, b *job) bool {
	if fa, fb := s.withinShare(a.ws), s.withinShare(b.ws); fa != fb {
		return fa
	}
	return cmp.Or(cmp.Compare(b.accelerators(), a.accelerators()), cmp.Compare(a.seq, b.seq)) < 0
}

// withinShare reports whether a workspace uses no more than its weight's part of
// the capacity, among the workspaces that run or wait.
func (s *Scheduler) withinShare(ws *workspace) bool {
	total := 0
	for _, o := range s.order {
		if o.queued > 0 || len(o.borrowed) > 0 {
			total += max(o.weight, 1)
		}
	}
	return ws.share*float64(total) <= 1
}
