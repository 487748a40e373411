package gangsched

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// Schedule starts what can start and frees the places that guarantees need.
func (s *Scheduler) Schedule(now time.Time) []model.Action {
	s.now = now
	s.repeatStops()
	s.judgeSuspects()
	s.wakeDelayed()
	s.startReady()
	s.moveMisplaced()
	s.claimShapes()
	s.keepReservation()
	s.fill()
	s.serveBlocked()
	s.startReady()
	// A started gang may have moved idle slots to workers that are open.
	s.claimShapes()
	s.settleShapes()
	out := s.outbox
	s.outbox = nil
	return out
}

// startReady starts the gangs whose places have become vacant. Two gangs may
// have become ready by the same cores, so each is checked again; the second one
// is woken by the next gang that stops there.
func (s *Scheduler) startReady() {
	ready := s.ready
	s.ready = nil
	for _, j := range ready {
		if s.vacant(j, j.places) {
			s.start(j)
		}
	}
}

// start begins an attempt at the place that the gang keeps.
func (s *Scheduler) start(j *job) {
	s.occupy(j)
	j.state = StateRunning
	j.attempt++
	j.started = s.now
	j.checkpoint = time.Time{}
	j.stopping = model.ReasonNone
	j.reserved = j.reserved || s.reservation != nil && s.reservation.job == j
	j.estimate = s.remaining(j)
	if j.slot == nil {
		s.chargeOnce(j)
		j.ws.borrowed = append(j.ws.borrowed, j)
		if float64(j.accelerators()) > reservationRatio*s.meanGang() {
			s.book.MoveAside(j.places, j.spec.PerTask)
		}
	}
	s.outbox = append(s.outbox, model.Action{
		Kind: model.ActionStart, Job: j.spec.ID, Attempt: j.attempt,
		Members: guarantee.Members(j.places, s.workerID), Reason: j.retry,
	})
	j.retry = model.ReasonNone
	s.judgeSuspects()
}

// head is the next job of a class.
type head struct {
	class *class
	job   *job
}

// fill starts waiting jobs on idle capacity in the order of their shares.
func (s *Scheduler) fill() {
	heads := s.unblocked()
	for {
		best := first(heads)
		if best == nil {
			return
		}
		j := best.job
		if !s.tryStart(j) {
			best.class.blocked = s.generation
			best.job = nil
			continue
		}
		refreshHeads(heads, j.ws)
	}
}

// unblocked returns the heads of the classes that may start.
func (s *Scheduler) unblocked() []head {
	var heads []head
	for _, c := range s.classes {
		if c.blocked != s.generation {
			heads = append(heads, head{c, c.best()})
		}
	}
	return heads
}

func first(heads []head) *head {
	var best *head
	for i := range heads {
		if h := &heads[i]; h.job != nil && (best == nil || before(h.job, best.job)) {
			best = h
		}
	}
	return best
}

// refreshHeads replaces the heads of a workspace whose share has grown. Those of
// other workspaces still precede its jobs.
func refreshHeads(heads []head, ws *workspace) {
	for i := range heads {
		if h := &heads[i]; h.job != nil && h.job.ws == ws {
			h.job = h.class.best()
		}
	}
}

// tryStart starts a job where no guarantee is idle, or else on capacity that an
// idle guarantee lends.
func (s *Scheduler) tryStart(j *job) bool {
	q := j.query()
	q.Avoid = s.avoid(j)
	spots := s.open.Find(q)
	if spots == nil {
		spots = s.free.Find(q)
	}
	if spots == nil {
		return false
	}
	s.startAt(j, spots)
	return true
}

func (s *Scheduler) startAt(j *job, spots []topology.WorkerTasks) {
	s.dequeue(j)
	j.places = s.assign(j, spots)
	s.want(j, j.places)
	s.start(j)
}

// suspect watches a worker that failed an attempt.
func (s *Scheduler) suspect(id ident.Worker) {
	n, ok := s.byID[id]
	if ok && !slices.Contains(s.suspects, n) {
		s.suspects = append(s.suspects, n)
	}
	s.judgeSuspects()
}

// judgeSuspects closes quarantined workers, and opens them for one probe at a
// time when that is due.
func (s *Scheduler) judgeSuspects() {
	kept := s.suspects[:0]
	for _, n := range s.suspects {
		w := s.workers[n]
		bad := s.health.Quarantined(s.now, w.id)
		if bad {
			kept = append(kept, n)
		}
		s.setClosed(n, bad && (len(w.gangs) > 0 || !s.health.ProbeAllowed(s.now, w.id)))
	}
	s.suspects = kept
}

func (s *Scheduler) setClosed(n int, closed bool) {
	if s.free.Cordoned(n) == closed {
		return
	}
	s.free.SetCordoned(n, closed)
	s.open.SetCordoned(n, closed)
	s.book.SetCordoned(n, closed)
	if !closed {
		s.unsettleAll()
		s.generation++
		s.book.Repair(s.free.RackOf(n))
	}
}
