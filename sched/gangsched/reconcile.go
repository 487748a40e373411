package gangsched

import (
	"slices"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// queueReconcile makes the next call of Schedule look for gangs of a workspace
// that name a shape and run outside the guarantee.
func (s *Scheduler) queueReconcile(ws *workspace) {
	if !ws.reconcileQueued {
		ws.reconcileQueued = true
		s.reconcileQueue = append(s.reconcileQueue, ws)
	}
}

// queueReconcileAll queues every workspace after a change that can make any
// slot idle.
func (s *Scheduler) queueReconcileAll() {
	for _, ws := range s.sortedWorkspaces {
		s.queueReconcile(ws)
	}
}

// reconcileShapes looks for gangs that name a shape and run outside the
// guarantee while a slot of the shape is idle. Such a gang is entitled to the
// slot, but its place may block other shapes. It takes the slot over where it
// runs if the other slots can be rearranged around it; otherwise it is
// preempted to start again in the slot. Further such gangs stop too, because
// until then one of them counts as the holder.
func (s *Scheduler) reconcileShapes() {
	for _, ws := range s.reconcileQueue {
		ws.reconcileQueued = false
		if len(ws.borrowers) == 0 {
			continue
		}
		for _, shape := range ws.plan.Shapes {
			s.reconcileShape(ws, shape.Name)
		}
	}
	s.reconcileQueue = s.reconcileQueue[:0]
}

func (s *Scheduler) reconcileShape(ws *workspace, shape string) {
	for _, slot := range s.allocator.SlotsOf(ws.id, shape) {
		if s.usableSlot(slot) {
			s.assignToRunning(slot)
		}
	}
	idle := slices.IndexFunc(s.allocator.SlotsOf(ws.id, shape), s.usableSlot)
	if idle < 0 {
		return
	}
	slot := s.allocator.SlotsOf(ws.id, shape)[idle]
	for _, j := range ws.borrowers {
		if j.spec.Shape == shape && accepts(slot.Shape, j.spec) {
			s.preempt(j, j, model.ReasonPreemptReclaim)
		}
	}
}

// usableSlot reports whether a gang could start in the slot.
func (s *Scheduler) usableSlot(slot *guarantee.Slot) bool {
	return slot.Holder == "" && !slot.Short() && !s.onCordoned(slot)
}
