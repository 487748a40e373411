package gangsched

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// Schedule starts the jobs that can start, frees the places that guarantees
// need, and returns the actions that carry this out.
func (s *Scheduler) Schedule(now time.Time) []model.Action {
	s.now = now
	s.repeatStops()
	s.updateCordons()
	s.requeueDelayed()
	s.startReady()
	s.moveMisplaced()
	s.claimShapes()
	s.updateReservation()
	s.startQueued()
	s.makeRoomForBlocked()
	s.startReady()
	// Starting a gang may have moved idle slots to workers that are not
	// cordoned.
	s.claimShapes()
	s.reconcileShapes()
	out := s.actions
	s.actions = nil
	return out
}

// startReady starts the gangs whose places are no longer used. Two gangs may
// have become ready because of the same free cores, so each is checked again;
// the second one becomes ready again when the next gang stops there.
func (s *Scheduler) startReady() {
	ready := s.ready
	s.ready = nil
	for _, j := range ready {
		if s.unused(j, j.places) {
			s.start(j)
		}
	}
}

// start begins an attempt at the pending places of the gang.
func (s *Scheduler) start(j *job) {
	s.markUsed(j)
	j.state = StateRunning
	j.attempt++
	j.started = s.now
	j.checkpoint = time.Time{}
	j.stopping = model.ReasonNone
	j.hadReservation = j.hadReservation || s.reservation != nil && s.reservation.job == j
	j.attemptEstimate = s.remainingRunTime(j)
	if j.slot == nil {
		s.chargeOnce(j)
		j.ws.borrowers = append(j.ws.borrowers, j)
		if float64(j.accelerators()) > reservationSizeRatio*s.meanGangAccelerators() {
			s.allocator.MoveAside(j.places, j.spec.PerTask)
		}
	}
	s.actions = append(s.actions, model.Action{
		Kind: model.ActionStart, Job: j.spec.ID, Attempt: j.attempt,
		Members: guarantee.Members(j.places, s.workerID), Reason: j.retryReason,
	})
	j.retryReason = model.ReasonNone
	s.updateCordons()
}

// head is the next job of a class.
type head struct {
	class *class
	job   *job
}

// startQueued starts waiting jobs on idle capacity in the order of their
// shares.
func (s *Scheduler) startQueued() {
	heads := s.unblockedHeads()
	for {
		best := bestHead(heads)
		if best == nil {
			return
		}
		j := best.job
		if !s.tryStart(j) {
			best.class.blockedGeneration = s.generation
			best.job = nil
			continue
		}
		refreshHeads(heads, j.ws)
	}
}

// unblockedHeads returns the heads of the classes that may start.
func (s *Scheduler) unblockedHeads() []head {
	var heads []head
	for _, c := range s.classes {
		if c.blockedGeneration != s.generation {
			heads = append(heads, head{c, c.best()})
		}
	}
	return heads
}

func bestHead(heads []head) *head {
	var best *head
	for i := range heads {
		if h := &heads[i]; h.job != nil && (best == nil || precedes(h.job, best.job)) {
			best = h
		}
	}
	return best
}

// refreshHeads replaces the heads of a workspace whose share has grown. The
// heads of other workspaces still precede its jobs and stay.
func refreshHeads(heads []head, ws *workspace) {
	for i := range heads {
		if h := &heads[i]; h.job != nil && h.job.ws == ws {
			h.job = h.class.best()
		}
	}
}

// tryStart starts a job on free capacity that no slot owns, or else on capacity
// that an idle slot lends.
func (s *Scheduler) tryStart(j *job) bool {
	q := j.query()
	q.Avoid = s.racksToAvoid(j)
	workerTasks := s.freeUnowned.Find(q)
	if workerTasks == nil {
		workerTasks = s.free.Find(q)
	}
	if workerTasks == nil {
		return false
	}
	s.startAt(j, workerTasks)
	return true
}

func (s *Scheduler) startAt(j *job, workerTasks []topology.WorkerTasks) {
	s.dequeue(j)
	j.places = s.assign(j, workerTasks)
	s.addPending(j, j.places)
	s.start(j)
}

// addCordonCandidate makes updateCordons check a worker until it is no longer
// quarantined.
func (s *Scheduler) addCordonCandidate(id ident.Worker) {
	n, ok := s.byID[id]
	if ok && !slices.Contains(s.cordonCandidates, n) {
		s.cordonCandidates = append(s.cordonCandidates, n)
	}
	s.updateCordons()
}

// updateCordons cordons quarantined workers and uncordons them for one probe at
// a time when that is due.
func (s *Scheduler) updateCordons() {
	kept := s.cordonCandidates[:0]
	for _, n := range s.cordonCandidates {
		w := s.workers[n]
		quarantined := s.health.Quarantined(s.now, w.id)
		if quarantined {
			kept = append(kept, n)
		}
		s.setCordoned(n, quarantined && (len(w.gangs) > 0 || !s.health.ProbeAllowed(s.now, w.id)))
	}
	s.cordonCandidates = kept
}

func (s *Scheduler) setCordoned(n int, cordoned bool) {
	if s.free.Cordoned(n) == cordoned {
		return
	}
	s.free.SetCordoned(n, cordoned)
	s.freeUnowned.SetCordoned(n, cordoned)
	s.allocator.SetCordoned(n, cordoned)
	if !cordoned {
		s.queueReconcileAll()
		s.generation++
		s.allocator.Repair(s.free.RackOf(n))
	}
}
