package batch

import (
	"cmp"
	"slices"
	"time"
)

// maxReservations limits how many waiting units get a reservation, and with it
// the work of one planning pass.
const maxReservations = 8

// reservation holds capacity of a worker for a unit that is expected to start
// there later.
type reservation struct {
	// startsIn is the expected time until the unit starts there.
	startsIn time.Duration
	// spare is the capacity that is expected to be free from that time on, less
	// the demand of the unit.
	spare Resources
}

// startOption is an expected opportunity to start one more task of a unit on a
// worker.
type startOption struct {
	worker   *workerCapacity
	startsIn time.Duration
}

// addReservation reserves capacity on the workers on which n tasks of the unit are
// expected to start soonest. Later units may backfill it only as far as that does not
// delay this unit. Units of tierExpired get no reservation, and neither does any
// unit once maxReservations exist or if the tasks are not expected to fit.
func (p *plan) addReservation(u *unit, n int) {
	if !p.mayReserve(u) {
		return
	}
	var best []startOption
	for _, workers := range p.candidateSets(u, n) {
		starts := p.earliestStarts(u, workers, n)
		if starts != nil && (best == nil || starts[n-1].startsIn < best[n-1].startsIn) {
			best = starts
		}
	}
	if best == nil {
		return
	}
	p.reservations++
	startsIn := best[n-1].startsIn
	tasks := make(map[*workerCapacity]int)
	for _, o := range best {
		if !u.step.Gang {
			startsIn = o.startsIn
		}
		tasks[o.worker]++
		if replace := tasks[o.worker] > 1; replace {
			o.worker.reservations = o.worker.reservations[:len(o.worker.reservations)-1]
		}
		spare := p.freeAt(o.worker, startsIn)
		for range tasks[o.worker] {
			spare = spare.minus(u.step.demand())
		}
		o.worker.reservations = append(o.worker.reservations, reservation{startsIn, spare})
	}
}

func (p *plan) mayReserve(u *unit) bool {
	return u.tier != tierExpired && p.reservations < maxReservations
}

// candidateSets returns the sets of workers on which n tasks of the unit may run
// together.
func (p *plan) candidateSets(u *unit, n int) [][]*workerCapacity {
	if u.step.Gang && u.step.SameRack && p.rackCouldHold(u, n) {
		return p.racks()
	}
	return [][]*workerCapacity{p.workers}
}

// earliestStarts returns the n earliest start options, or nil if there are fewer.
func (p *plan) earliestStarts(u *unit, workers []*workerCapacity, n int) []startOption {
	var all []startOption
	for _, c := range workers {
		if p.eligible(u, c) {
			all = append(all, p.startOptions(u, c, n)...)
		}
	}
	if len(all) < n {
		return nil
	}
	slices.SortStableFunc(all, func(a, b startOption) int { return cmp.Compare(a.startsIn, b.startsIn) })
	return all[:n]
}

// startOptions returns when up to n tasks of the unit are expected to fit on a
// worker, in order of time.
func (p *plan) startOptions(u *unit, c *workerCapacity, n int) []startOption {
	limit := n
	if u.step.MaxPerWorker > 0 {
		limit = min(n, u.step.MaxPerWorker-c.worker.longRunningRunsOf(u))
	}
	for _, r := range c.reservations {
		limit = min(limit, fitCount(r.spare, u.step.demand()))
	}
	var out []startOption
	free, startsIn := c.freeSoon, time.Duration(0)
	for i := 0; len(out) < limit; i++ {
		for range min(fitCount(free, u.step.demand()), limit) - len(out) {
			out = append(out, startOption{c, startsIn})
		}
		ends := p.expectedCompletions(c)
		if i == len(ends) {
			break
		}
		free, startsIn = free.plus(ends[i].frees), ends[i].endsIn
	}
	return out
}

// longRunningRunsOf returns how many runs of the unit's step are on the worker that do not end by
// themselves.
func (w *worker) longRunningRunsOf(u *unit) int {
	if !u.step.LongRunning {
		return 0
	}
	return w.runsOf(u)
}

// completion is the expected end of a run on a worker.
type completion struct {
	endsIn time.Duration
	frees  Resources
}

// expectedCompletions returns the expected ends of the runs on the worker, in
// order of time. Long-running ones do not end by themselves. Those that are being stopped are
// left out: freeSoon already counts their capacity.
func (p *plan) expectedCompletions(c *workerCapacity) []completion {
	if c.completions != nil {
		return c.completions
	}
	c.completions = make([]completion, 0, len(c.worker.active))
	for _, t := range c.worker.active {
		if !t.stop.requested && !t.step().LongRunning {
			c.completions = append(c.completions, completion{p.scheduler.expectedRemaining(t, p.now), t.step().demand()})
		}
	}
	slices.SortFunc(c.completions, func(a, b completion) int { return cmp.Compare(a.endsIn, b.endsIn) })
	return c.completions
}

// freeAt returns the capacity that is expected to be free on the worker after the
// given time.
func (p *plan) freeAt(c *workerCapacity, after time.Duration) Resources {
	free := c.freeSoon
	for _, end := range p.expectedCompletions(c) {
		if end.endsIn > after {
			break
		}
		free = free.plus(end.frees)
	}
	return free
}
