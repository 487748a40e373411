package gangsched

import (
	"slices"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// unsettle makes the next decision look for gangs of a workspace that name a
// shape and run outside the guarantee.
func (s *Scheduler) unsettle(ws *workspace) {
	if !ws.unsettled {
		ws.unsettled = true
		s.unsettled = append(s.unsettled, ws)
	}
}

// unsettleAll follows a change that can make any slot idle.
func (s *Scheduler) unsettleAll() {
	for _, ws := range s.order {
		s.unsettle(ws)
	}
}

// settleShapes ends the state in which a gang that names a shape runs outside
// the guarantee while a slot of the shape is idle. The gang is entitled to the
// slot, but its place may block other shapes. It takes the slot where it runs if
// the witness fits around it, and otherwise is stopped to start again there.
// Further such gangs stop too, because until then one of them counts as the
// holder.
func (s *Scheduler) settleShapes() {
	for _, ws := range s.unsettled {
		ws.unsettled = false
		if len(ws.borrowed) == 0 {
			continue
		}
		for _, shape := range ws.plan.Shapes {
			s.settleShape(ws, shape.Name)
		}
	}
	s.unsettled = s.unsettled[:0]
}

func (s *Scheduler) settleShape(ws *workspace, shape string) {
	for _, slot := range s.book.SlotsOf(ws.id, shape) {
		if s.vacantSlot(slot) {
			s.adopt(slot)
		}
	}
	idle := slices.IndexFunc(s.book.SlotsOf(ws.id, shape), s.vacantSlot)
	if idle < 0 {
		return
	}
	slot := s.book.SlotsOf(ws.id, shape)[idle]
	for _, j := range ws.borrowed {
		if j.spec.Shape == shape && accepts(slot.Shape, j.spec) {
			s.preempt(j, j, model.ReasonPreemptReclaim)
		}
	}
}

// vacantSlot reports whether a gang could start in the slot.
func (s *Scheduler) vacantSlot(slot *guarantee.Slot) bool {
	return slot.Holder == "" && !slot.Short() && !s.onClosed(slot)
}
