package batch

import (
	"cmp"
	"slices"
	"time"
)

// maxReservations bounds the units that wait with a reservation, and with it
// the work of a plan.
const maxReservations = 8

// reservation keeps room on a slot for a unit that waits for it.
type reservation struct {
	// in is when the unit will probably start there, from now on.
	in time.Duration
	// spare is what will be left beside the unit then.
	spare Resources
}

// opening is room for one more task of a unit on a slot.
type opening struct {
	s  *slot
	in time.Duration
}

// hold reserves the room that n tasks of the unit will probably get first.
// Later units may use it only as far as that does not delay them.
func (p *plan) hold(u *unit, n int) {
	if u.tier == tierLate || p.reservations >= maxReservations {
		return
	}
	var best []opening
	for _, group := range p.groups(u, n) {
		first := p.firstOpenings(u, group, n)
		if first != nil && (best == nil || first[n-1].in < best[n-1].in) {
			best = first
		}
	}
	if best == nil {
		return
	}
	p.reservations++
	in := best[n-1].in
	tasks := make(map[*slot]int)
	for _, o := range best {
		if !u.step.Gang {
			in = o.in
		}
		tasks[o.s]++
		if last := tasks[o.s] > 1; last {
			o.s.reserved = o.s.reserved[:len(o.s.reserved)-1]
		}
		spare := p.freeAfter(o.s, in)
		for range tasks[o.s] {
			spare = spare.minus(u.step.demand())
		}
		o.s.reserved = append(o.s.reserved, reservation{in, spare})
	}
}

// groups returns the sets of slots on which n tasks of the unit may run
// together.
func (p *plan) groups(u *unit, n int) [][]*slot {
	if u.step.Gang && u.step.SameRack && p.rackCouldHold(u, n) {
		return p.racks()
	}
	return [][]*slot{p.slots}
}

// firstOpenings returns the n openings that come first, or nil.
func (p *plan) firstOpenings(u *unit, slots []*slot, n int) []opening {
	var all []opening
	for _, s := range slots {
		if p.eligible(u, s) {
			all = append(all, p.openings(u, s, n)...)
		}
	}
	if len(all) < n {
		return nil
	}
	slices.SortStableFunc(all, func(a, b opening) int { return cmp.Compare(a.in, b.in) })
	return all[:n]
}

// openings returns when at most n tasks of the unit will find room on a slot.
func (p *plan) openings(u *unit, s *slot, n int) []opening {
	most := n
	if u.step.MaxPerWorker > 0 {
		most = min(n, u.step.MaxPerWorker)
	}
	for _, r := range s.reserved {
		most = min(most, count(r.spare, u.step.demand()))
	}
	var out []opening
	free, in := s.soon, time.Duration(0)
	for at := 0; len(out) < most; at++ {
		for range min(count(free, u.step.demand()), most) - len(out) {
			out = append(out, opening{s, in})
		}
		ends := p.endings(s)
		if at == len(ends) {
			break
		}
		free, in = free.plus(ends[at].frees), ends[at].in
	}
	return out
}

// ending is the probable end of a run on a slot.
type ending struct {
	in    time.Duration
	frees Resources
}

// endings returns when the runs on the slot that are not being stopped will
// probably end, in order. What is being stopped counts as free soon.
func (p *plan) endings(s *slot) []ending {
	if s.endings != nil {
		return s.endings
	}
	s.endings = make([]ending, 0, len(s.w.active))
	for _, t := range s.w.active {
		if !t.stop.wanted {
			s.endings = append(s.endings, ending{p.e.remaining(t, p.now), t.step().demand()})
		}
	}
	slices.SortFunc(s.endings, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	return s.endings
}

// freeAfter returns what will probably be free on the slot.
func (p *plan) freeAfter(s *slot, in time.Duration) Resources {
	free := s.soon
	for _, e := range p.endings(s) {
		if e.in > in {
			break
		}
		free = free.plus(e.frees)
	}
	return free
}
