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
	// expectedStart is when the gang is expected to start there.
	expectedStart time.Time
	// consolidationTriedAt is when a consolidation was last tried.
	consolidationTriedAt time.Time
}

// reservationRacks bounds how many racks are compared for a reservation.
const reservationRacks = 8

// backfillSafetyFactor is the factor on the estimate of backfilled work that
// cannot be preempted with a checkpoint, because its overrun delays the
// reserved gang.
const backfillSafetyFactor = 2

// shortJobRunTime is the expected run time up to which a job may start in
// reserved racks in any case if its caller runs at most one other such job:
// short work of small callers must not wait for a draining rack, but a flood of
// it must not fill the rack.
const shortJobRunTime = 10 * time.Minute

// racksToAvoid returns the racks in which a job must not start because it would
// delay the reserved gang.
func (s *Scheduler) racksToAvoid(j *job) []int {
	r := s.reservation
	if r == nil || r.job == j {
		return nil
	}
	estimate := s.remainingRunTime(j)
	if estimate <= shortJobRunTime && j.caller.usage.Accelerators <= j.accelerators() {
		return nil
	}
	if !j.spec.Checkpointable {
		estimate *= backfillSafetyFactor
	}
	if !s.now.Add(estimate).After(r.expectedStart) {
		return nil
	}
	return r.racks
}

// updateReservation drops a reservation that is no longer needed. When its
// expected start has come, it preempts gangs in the reserved racks that overran
// their estimate, or reserves again if that is not enough.
func (s *Scheduler) updateReservation() {
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
	if s.now.Before(r.expectedStart) {
		return
	}
	overrunning := func(g *job) bool { return g.spec.Checkpointable && s.overran(g) }
	if e := s.findEviction(r.job, r.racks, overrunning); e != nil {
		s.applyEviction(r.job, e, model.ReasonPreemptOverrun)
	} else {
		s.reserve(r.job)
	}
}

// reserve reserves the racks in which a gang can start earliest.
func (s *Scheduler) reserve(j *job) {
	s.generation++
	s.reservation = nil
	candidates := s.candidateRacks(j)
	if j.spec.Locality == model.LocalityPartition {
		if at, ok := s.earliestStart(j, candidates); ok {
			s.reservation = &reservation{job: j, racks: candidates, expectedStart: at}
		}
		return
	}
	for _, rack := range candidates {
		at, ok := s.earliestStart(j, []int{rack})
		if ok && (s.reservation == nil || at.Before(s.reservation.expectedStart)) {
			s.reservation = &reservation{job: j, racks: []int{rack}, expectedStart: at}
		}
	}
}

// candidateRacks returns the racks with the most room for the gang. A gang that
// may spread over racks gets as many as hold it when they are empty.
func (s *Scheduler) candidateRacks(j *job) []int {
	racks := s.free.MostFree(j.spec.PerTask, reservationRacks)
	if j.spec.Locality != model.LocalityPartition {
		return slices.DeleteFunc(racks, func(r int) bool { return s.live.RackFits(r, j.spec.PerTask) < j.spec.Tasks })
	}
	total := 0
	for i, r := range racks {
		total += min(s.live.RackFits(r, j.spec.PerTask), j.spec.Tasks)
		if total >= j.spec.Tasks {
			return racks[:i+1]
		}
	}
	return racks
}

// earliestStart returns when the gang fits into the racks if every running gang
// ends as expected.
func (s *Scheduler) earliestStart(j *job, racks []int) (time.Time, bool) {
	best, found := time.Time{}, false
	for _, sim := range s.newSimulation(j, racks).domains() {
		if at, ok := s.earliestStartIn(sim); ok && (!found || at.Before(best)) {
			best, found = at, true
		}
	}
	return best, found
}

func (s *Scheduler) earliestStartIn(sim *simulation) (time.Time, bool) {
	ends := s.expectedEnds(sim.workers)
	at := s.now
	for !sim.fits() {
		if len(ends) == 0 {
			return at, false
		}
		at = ends[0].at
		sim.addCapacityOf(ends[0].gang, 1)
		ends = ends[1:]
	}
	return at, true
}

// gangEnd is the expected end of a running gang.
type gangEnd struct {
	gang *job
	at   time.Time
}

func (s *Scheduler) expectedEnds(workers []int) []gangEnd {
	var list []gangEnd
	seen := make(map[*job]bool)
	for _, n := range workers {
		for _, g := range s.workers[n].gangs {
			if !seen[g] {
				seen[g] = true
				list = append(list, gangEnd{g, s.expectedEnd(g)})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b gangEnd) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.gang.seq, b.gang.seq))
	})
	return list
}

// blockedHeads returns the next job of each class that found no place.
func (s *Scheduler) blockedHeads() []*job {
	var heads []*job
	for _, c := range s.classes {
		if j := c.best(); !j.cannotRunNow {
			heads = append(heads, j)
		}
	}
	slices.SortFunc(heads, func(a, b *job) int {
		if precedes(a, b) {
			return -1
		}
		return 1
	})
	return heads
}

// makeRoomForBlocked makes room for waiting jobs: by preemption of work above
// its share, and by a reservation for the largest gang.
func (s *Scheduler) makeRoomForBlocked() {
	if len(s.classes) == 0 {
		return
	}
	heads := s.blockedHeads()
	s.preemptForHeads(heads)
	if s.reservation == nil {
		if j := s.nextToReserve(heads); j != nil {
			s.reserve(j)
		}
	}
	s.consolidate()
}

// A gang needs a reservation at once when it is more than reservationSizeRatio
// times as large as the mean running gang, and after reservationMinWait when it
// is larger at all. Smaller jobs fit into the capacity that a single gang frees
// when it ends; reservations for them would only keep others waiting.
const (
	reservationSizeRatio = 2
	reservationMinWait   = 15 * time.Minute
)

func (s *Scheduler) needsReservation(j *job) bool {
	size, mean := float64(j.accelerators()), s.meanGangAccelerators()
	waited := s.now.Sub(j.spec.Submitted)
	return size > reservationSizeRatio*mean || (size > mean && waited >= reservationMinWait)
}

// meanGangAccelerators returns the mean number of accelerators of the running
// gangs.
func (s *Scheduler) meanGangAccelerators() float64 {
	if s.gangCount == 0 {
		return 0
	}
	return float64(s.gangAccelerators) / float64(s.gangCount)
}

// nextToReserve returns the largest gang among the jobs that need a
// reservation. Gangs of workspaces within their fair share come first, so that
// one workspace's gangs do not hold the reservation all the time.
func (s *Scheduler) nextToReserve(heads []*job) *job {
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
	for _, o := range s.sortedWorkspaces {
		if o.queued > 0 || len(o.borrowers) > 0 {
			total += max(o.weight, 1)
		}
	}
	return ws.share*float64(total) <= 1
}
