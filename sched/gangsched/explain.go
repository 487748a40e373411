package gangsched

import (
	"slices"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// Explanation says what a job does and why.
type Explanation struct {
	Job     ident.Job
	State   State
	Reason  model.Reason
	Attempt int
	Members []model.Member
	// WaitsFor names the jobs, workspaces or shapes that the job waits for.
	WaitsFor []string
	// NotBefore is the end of the backoff of a delayed job.
	NotBefore time.Time
	// Guaranteed says that the job uses a guaranteed shape.
	Guaranteed bool
}

// Explain returns what a job waits for. It returns false for unknown jobs.
func (s *Scheduler) Explain(id ident.Job) (Explanation, bool) {
	j := s.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	e := Explanation{Job: id, State: j.state, Attempt: j.attempt, Guaranteed: j.slot != nil}
	switch j.state {
	case StateQueued:
		e.Reason, e.WaitsFor = s.queuedReason(j)
	case StateDelayed:
		e.Reason, e.NotBefore = model.ReasonWaitBackoff, j.notBefore
	case StatePending:
		e.Reason, e.WaitsFor = model.ReasonWaitPreemption, s.blockers(j)
	default:
		e.Reason = j.stopping
		e.Members = guarantee.Members(j.places, s.workerID)
	}
	return e, true
}

// queuedReason returns the first reason that keeps a job in the queue and what
// the job waits for.
func (s *Scheduler) queuedReason(j *job) (model.Reason, []string) {
	if s.live.Find(j.query()) == nil {
		return model.ReasonCannotRunNow, nil
	}
	if j.spec.Shape != "" {
		if reason, names := s.noSlotReason(j); reason != model.ReasonNone {
			return reason, names
		}
	}
	if s.free.Find(j.query()) != nil {
		return s.notStartedReason(j)
	}
	if other := s.lowerShareWorkspace(j); other != nil {
		return model.ReasonWaitShare, []string{string(other.id)}
	}
	if holders := s.guaranteeBlockers(j); len(holders) > 0 {
		return model.ReasonWaitGuarantee, holders
	}
	wide := j.query()
	wide.Locality = model.LocalityPartition
	if j.spec.Locality != model.LocalityPartition && s.free.Find(wide) != nil {
		return model.ReasonWaitAdjacent, nil
	}
	return model.ReasonWaitCapacity, nil
}

// notStartedReason returns why a job that fits into the free capacity has not
// started.
func (s *Scheduler) notStartedReason(j *job) (model.Reason, []string) {
	q := j.query()
	q.Avoid = s.racksToAvoid(j)
	if len(q.Avoid) > 0 && s.free.Find(q) == nil {
		return model.ReasonWaitReservation, []string{string(s.reservation.job.spec.ID)}
	}
	return model.ReasonWaitCapacity, nil
}

func (s *Scheduler) noSlotReason(j *job) (model.Reason, []string) {
	var holders, short []string
	for _, slot := range s.allocator.SlotsOf(j.ws.id, j.spec.Shape) {
		if slot.Short() {
			short = append(short, slot.Key.String())
		}
		if slot.Holder != "" {
			holders = append(holders, string(slot.Holder))
		}
	}
	if len(short) > 0 {
		return model.ReasonWaitShapeShort, short
	}
	if len(holders) > 0 {
		return model.ReasonWaitShapeHeld, holders
	}
	return model.ReasonNone, nil
}

// lowerShareWorkspace returns the workspace with the lowest share that waits,
// if it is lower than that of the job's own workspace.
func (s *Scheduler) lowerShareWorkspace(j *job) *workspace {
	best := j.ws
	for _, ws := range s.sortedWorkspaces {
		if ws.queued > 0 && ws.share < best.share {
			best = ws
		}
	}
	if best == j.ws {
		return nil
	}
	return best
}

// guaranteeBlockers returns the jobs inside guarantees if the gang would not
// fit even when all other work had ended.
func (s *Scheduler) guaranteeBlockers(j *job) []string {
	q := j.query()
	if s.allocator.Unowned().Find(q) != nil {
		return nil
	}
	var holders []string
	for _, slot := range s.allocator.Slots() {
		if slot.Holder != "" {
			holders = append(holders, string(slot.Holder))
		}
	}
	return holders
}

// blockers names the gangs that have to stop before a pending gang starts.
func (s *Scheduler) blockers(j *job) []string {
	var names []string
	eachWorker(j.places, func(n int, mask uint64, tasks int) {
		w := s.workers[n]
		left := topology.Sub(w.capacity, w.used)
		need := topology.Scale(j.spec.PerTask, tasks)
		for _, g := range w.gangs {
			if g.state == StateStopping && (maskOn(g.places, n)&mask != 0 || !topology.Covers(left, need)) {
				names = append(names, string(g.spec.ID))
			}
		}
	})
	slices.Sort(names)
	return slices.Compact(names)
}

// JobStatus describes one job in a list.
type JobStatus struct {
	Spec    model.Job
	State   State
	Attempt int
	Members []model.Member
	// Guaranteed says that the job uses a guaranteed shape.
	Guaranteed bool
}

// Jobs lists the jobs of a workspace, or all jobs when it is empty, by arrival.
func (s *Scheduler) Jobs(ws ident.Workspace) []JobStatus {
	var out []JobStatus
	for _, j := range s.jobsByArrival() {
		if ws == "" || j.spec.Workspace == ws {
			out = append(out, JobStatus{Spec: j.spec, State: j.state, Attempt: j.attempt, Members: s.runningMembers(j), Guaranteed: j.slot != nil})
		}
	}
	return out
}

func (s *Scheduler) runningMembers(j *job) []model.Member {
	if !j.usesCapacity() {
		return nil
	}
	return guarantee.Members(j.places, s.workerID)
}

func (s *Scheduler) jobsByArrival() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return int(a.seq) - int(b.seq) })
	return list
}

// queuedCount returns the number of jobs that wait in the queue or in a backoff.
func (s *Scheduler) queuedCount() int {
	n := 0
	for _, ws := range s.sortedWorkspaces {
		n += ws.queued
	}
	return n
}

// ShapeStatus counts the gangs of one guaranteed shape.
type ShapeStatus struct {
	Workspace  ident.Workspace
	Shape      string
	Guaranteed int
	// Held counts the gangs that run or are about to run in the guarantee.
	Held int
	// Lent counts the idle gangs in whose place other work runs.
	Lent int
	// Short counts the gangs without a place because workers were lost.
	Short int
}

// ShapeStatus reports every guaranteed shape in the order of the plan.
func (s *Scheduler) ShapeStatus() []ShapeStatus {
	var out []ShapeStatus
	for _, ws := range s.plan.Workspaces {
		for _, shape := range ws.Shapes {
			out = append(out, s.shapeStatus(ws.Workspace, shape.Name))
		}
	}
	return out
}

func (s *Scheduler) shapeStatus(ws ident.Workspace, shape string) ShapeStatus {
	status := ShapeStatus{Workspace: ws, Shape: shape}
	for _, slot := range s.allocator.SlotsOf(ws, shape) {
		status.Guaranteed++
		switch {
		case slot.Short():
			status.Short++
		case slot.Holder != "":
			status.Held++
		case s.slotInUse(slot):
			status.Lent++
		}
	}
	return status
}

func (s *Scheduler) slotInUse(slot *guarantee.Slot) bool {
	return slices.ContainsFunc(slot.Places, func(p guarantee.Place) bool { return s.workers[p.Worker].usedMask&p.Mask != 0 })
}

// WorkerStatus describes one worker.
type WorkerStatus struct {
	ID          ident.Worker
	Rack        ident.Rack
	Live        bool
	Quarantined bool
	Capacity    model.Resources
	Free        model.Resources
}

// Workers lists the live workers by name.
func (s *Scheduler) Workers() []WorkerStatus {
	var out []WorkerStatus
	for n, w := range s.workers {
		if w.alive {
			out = append(out, WorkerStatus{ID: w.id, Rack: w.rack, Live: true, Quarantined: s.free.Cordoned(n), Capacity: w.capacity, Free: s.free.Free(n)})
		}
	}
	slices.SortFunc(out, func(a, b WorkerStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
