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
	var out []opening
	for _, in := range p.endings(s) {
		room := count(p.freeAfter(s, in), u.step.demand())
		for _, r := range s.reserved {
			room = min(room, count(r.spare, u.step.demand()))
		}
		for len(out) < min(room, most) {
			out = append(out, opening{s, in})
		}
	}
	return out
}

// endings returns now and the times when runs on the slot probably end.
func (p *plan) endings(s *slot) []time.Duration {
	if s.endings == nil {
		s.endings = []time.Duration{0}
		for _, t := range s.w.active {
			s.endings = append(s.endings, p.untilEnd(t))
		}
		slices.Sort(s.endings)
	}
	return s.endings
}

// stopTime is how long the stop of a run usually takes.
const stopTime = 300 * time.Millisecond

func (p *plan) untilEnd(t *task) time.Duration {
	if t.stop.wanted {
		return stopTime
	}
	return p.e.remaining(t, p.now)
}

// freeAfter returns what will probably be free on the slot.
func (p *plan) freeAfter(s *slot, in time.Duration) Resources {
	free := s.soon
	for _, t := range s.w.active {
		if !t.stop.wanted && p.untilEnd(t) <= in {
			free = free.plus(t.step().demand())
		}
	}
	return free
}
