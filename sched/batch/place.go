package batch

import (
	"cmp"
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// view selects which capacity of a slot counts.
type view func(*slot) Resources

func viewNow(s *slot) Resources { return s.now }

// viewSoon counts what is being freed, but no more than what later units may
// still use.
func viewSoon(s *slot) Resources { return s.soon }

// eligible reports whether the step's tasks may run on the slot's worker.
func (p *plan) eligible(u *unit, s *slot) bool {
	if u.job.spec.NeedsAdvice {
		if _, ok := u.tickets[s.w.info.Incarnation.Upstream]; !ok {
			return false
		}
	}
	return p.suits(u, s)
}

// suits reports whether the worker is one of the step's service and label, and
// trustworthy enough.
func (p *plan) suits(u *unit, s *slot) bool {
	if s.probation && (s.probed || u.step.Gang || u.tier < tierBulk) {
		return false
	}
	if u.lastAttempt && s.w.strikes > 0 && p.sound > 0 {
		return false
	}
	if u.step.BestEffort && p.now.Before(s.w.noFillsUntil) {
		return false
	}
	return s.w.info.Service == u.job.spec.Service && s.w.hasLabel(u.step.Label)
}

// roomFor returns how many more tasks of the unit the slot takes.
func (p *plan) roomFor(u *unit, s *slot, v view) int {
	if !p.eligible(u, s) {
		return 0
	}
	n := count(v(s), u.step.demand())
	if s.probation {
		n = min(n, 1)
	}
	if n == 0 {
		return 0
	}
	for _, r := range s.reserved {
		if u.lasts > r.in {
			n = min(n, count(r.spare, u.step.demand()))
		}
	}
	if u.step.MaxPerWorker > 0 {
		n = min(n, u.step.MaxPerWorker-s.w.tasksOf(u))
	}
	return max(n, 0)
}

// count returns how often demand fits into free.
func count(free, demand Resources) int {
	n := 1 << 16
	if demand.MilliCores > 0 {
		n = min(n, free.MilliCores/demand.MilliCores)
	}
	if demand.MemoryMB > 0 {
		n = min(n, free.MemoryMB/demand.MemoryMB)
	}
	if demand.Accelerators > 0 {
		n = min(n, free.Accelerators/demand.Accelerators)
	}
	if free.MilliCores < 0 || free.MemoryMB < 0 || free.Accelerators < 0 {
		return 0
	}
	return n
}

// tasksOf counts the runs of the unit's step and occurrence on the worker.
func (w *worker) tasksOf(u *unit) int {
	first := u.tasks[0].id
	n := 0
	for id := range w.active {
		if id.Job == first.Job && id.Occurrence == first.Occurrence && id.Step == first.Step {
			n++
		}
	}
	return n
}

// bestSlot returns the slot for one task: near its data, then the fullest one,
// which keeps whole workers free for large tasks.
func (p *plan) bestSlot(u *unit, v view) *slot {
	var best *slot
	for _, s := range p.slots {
		if p.roomFor(u, s, v) > 0 && (best == nil || p.better(u, s, best, v)) {
			best = s
		}
	}
	return best
}

func (p *plan) better(u *unit, a, b *slot, v view) bool {
	if near := nearData(u, a); near != nearData(u, b) {
		return near
	}
	if alone := !crowded(u, a); alone == crowded(u, b) {
		return alone
	}
	fa, fb := v(a), v(b)
	return cmp.Or(cmp.Compare(fa.Accelerators, fb.Accelerators), cmp.Compare(fa.MilliCores, fb.MilliCores)) < 0
}

func nearData(u *unit, s *slot) bool {
	return u.step.DataRack == "" || s.w.hasLabel(u.step.DataRack)
}

// gangSlots returns a slot for each of n members, or nil.
func (p *plan) gangSlots(u *unit, n int, v view) []*slot {
	if !u.step.SameRack || !p.rackCouldHold(u, n) {
		return p.fill(u, p.slots, n, v)
	}
	var best []*slot
	left := 0
	for _, rack := range p.racks() {
		slots := p.fill(u, rack, n, v)
		if slots == nil {
			continue
		}
		if free := freeAccelerators(rack, v); best == nil || free < left {
			best, left = slots, free
		}
	}
	return best
}

// fill spreads n tasks over as few of the slots as possible.
func (p *plan) fill(u *unit, slots []*slot, n int, v view) []*slot {
	type candidate struct {
		s    *slot
		room int
	}
	var order []candidate
	total := 0
	for _, s := range slots {
		if room := p.roomFor(u, s, v); room > 0 {
			order = append(order, candidate{s, room})
			total += room
		}
	}
	if total < n {
		return nil
	}
	slices.SortStableFunc(order, func(a, b candidate) int {
		switch {
		case p.better(u, a.s, b.s, v):
			return -1
		case p.better(u, b.s, a.s, v):
			return 1
		default:
			return 0
		}
	})
	out := make([]*slot, 0, n)
	for _, c := range order {
		for range min(c.room, n-len(out)) {
			out = append(out, c.s)
		}
	}
	return out
}

func freeAccelerators(slots []*slot, v view) int {
	n := 0
	for _, s := range slots {
		n += v(s).Accelerators
	}
	return n
}

// racks groups the slots by rack, in the order of their workers.
func (p *plan) racks() [][]*slot {
	index := make(map[ident.Rack]int)
	var racks [][]*slot
	for _, s := range p.slots {
		at, ok := index[s.w.info.Rack]
		if !ok {
			at = len(racks)
			index[s.w.info.Rack] = at
			racks = append(racks, nil)
		}
		racks[at] = append(racks[at], s)
	}
	return racks
}

// rackCouldHold reports whether the workers of one rack could hold n members
// if they were empty.
func (p *plan) rackCouldHold(u *unit, n int) bool {
	for _, rack := range p.racks() {
		room := 0
		for _, s := range rack {
			if p.eligible(u, s) {
				each := count(s.w.info.Capacity, u.step.demand())
				if u.step.MaxPerWorker > 0 {
					each = min(each, u.step.MaxPerWorker)
				}
				room += each
			}
		}
		if room >= n {
			return true
		}
	}
	return false
}
