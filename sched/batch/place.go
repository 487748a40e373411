package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// capacityView selects which free capacity of a worker counts.
type capacityView func(*workerCapacity) Resources

func freeNow(c *workerCapacity) Resources { return c.free }

// freeSoon also counts the capacity of runs that are being stopped, less what is
// allocated to earlier units.
func freeSoon(c *workerCapacity) Resources { return c.freeSoon }

// eligible reports whether the step's tasks may run on the worker, including the
// placement advisor's answer.
func (p *plan) eligible(u *unit, c *workerCapacity) bool {
	return p.hasPermission(u, c, u.permission) && p.suits(u, c)
}

// suits reports whether the worker meets the step's requirements, is reliable enough
// for the unit and currently accepts best-effort tasks if the unit consists of them.
func (p *plan) suits(u *unit, c *workerCapacity) bool {
	if !u.meetsRequirements(c) || u.findsOnProbation(p.now, c) && c.probing || u.rejectsStarts(c.worker, p.now) {
		return false
	}
	if u.step.BestEffort && p.now.Before(u.bestEffortFrom(c.worker)) {
		return false
	}
	return !p.avoids(u, c) || !p.hasAlternative(u) && !p.savesLastAttempt(u, c)
}

// savesLastAttempt reports whether the unit's last attempt should not be the one that shows
// whether a worker on probation works, even if there is no other.
func (p *plan) savesLastAttempt(u *unit, c *workerCapacity) bool {
	return u.findsOnProbation(p.now, c) && p.mayWaitForLastAttempt(u)
}

// findsOnProbation reports whether the worker is on probation as far as the unit is concerned.
func (u *unit) findsOnProbation(now time.Time, c *workerCapacity) bool {
	return c.probation && !u.forgivesFaults(now, c)
}

// forgivesFaults reports whether the unit is overdue and the worker's latest fault is not
// recent enough to let the job stand still any longer.
func (u *unit) forgivesFaults(now time.Time, c *workerCapacity) bool {
	return u.overdue && now.Sub(c.worker.faultAt) >= overdueProbationTime
}

// mayWaitForLastAttempt reports whether the unit has a last attempt that has not waited for
// maxLastAttemptWait.
func (p *plan) mayWaitForLastAttempt(u *unit) bool {
	return u.lastAttempt && p.now.Sub(u.lastAttemptSince) < maxLastAttemptWait
}

// meetsRequirements reports whether the worker belongs to the job's service and has the
// step's label.
func (u *unit) meetsRequirements(c *workerCapacity) bool {
	return c.worker.info.Service == u.job.spec.Service && c.worker.hasLabel(u.step.Label)
}

// maxLastAttemptWait is how long a last attempt waits for capacity on a worker without a
// recent fault, or for the only worker to recover.
const maxLastAttemptWait = 5 * time.Second

// avoids reports whether the unit should run on other workers because of the faults of
// this one. The harm of a further failure is too large for work that is not bulk, for
// gangs, of which a failed member costs all, and for last attempts.
func (p *plan) avoids(u *unit, c *workerCapacity) bool {
	if u.forgivesFaults(p.now, c) {
		return false
	}
	if (c.probation || c.worker.slow(p.now)) && (u.step.Gang || u.tier < tierBulk) {
		return true
	}
	return c.worker.hasRecentFault(p.now) && p.mayWaitForLastAttempt(u)
}

// hasAlternative reports whether the workers that the unit does not avoid could hold it if
// they were idle. A gang needs them for all members, other units for one task at a time.
func (p *plan) hasAlternative(u *unit) bool {
	if u.alternative == nil {
		found := p.othersCouldHold(u)
		u.alternative = &found
	}
	return *u.alternative
}

func (p *plan) othersCouldHold(u *unit) bool {
	need := 1
	if u.step.Gang {
		need = len(u.tasks)
	}
	for _, c := range p.workers {
		if p.hasPermission(u, c, notDenied) && u.meetsRequirements(c) && !p.avoids(u, c) {
			need -= u.idleCapacity(c)
		}
		if need <= 0 {
			return true
		}
	}
	return false
}

// lastingCapacity returns the capacity of the worker that long-running tasks do not keep
// from the unit.
func (p *plan) lastingCapacity(u *unit, c *workerCapacity) Resources {
	capacity := c.worker.info.Capacity
	for _, t := range c.worker.active {
		if t.step().LongRunning && !t.stop.requested && (u.tier > tierNormal || !p.preemptible(u, t)) {
			capacity = capacity.minus(t.step().demand())
		}
	}
	return capacity
}

// idleCapacity returns how many tasks of the unit would fit on the worker if it were idle.
func (u *unit) idleCapacity(c *workerCapacity) int { return u.fitWithin(c.worker.info.Capacity) }

// fitWithin returns how many tasks of the unit fit on one worker within the capacity.
func (u *unit) fitWithin(capacity Resources) int {
	n := fitCount(capacity, u.step.demand())
	if u.step.MaxPerWorker > 0 {
		n = min(n, u.step.MaxPerWorker)
	}
	return n
}

// taskCapacity returns how many more tasks of the unit fit on the worker.
func (p *plan) taskCapacity(u *unit, c *workerCapacity, v capacityView) int {
	if !p.eligible(u, c) {
		return 0
	}
	n := fitCount(v(c), u.step.demand())
	if u.findsOnProbation(p.now, c) && !u.step.Gang {
		n = min(n, 1)
	}
	if n == 0 {
		return 0
	}
	for _, r := range c.reservations {
		if u.duration > r.startsIn && !u.ignoresReservations {
			n = min(n, fitCount(r.spare, u.step.demand()))
		}
	}
	if u.step.MaxPerWorker > 0 {
		n = min(n, u.step.MaxPerWorker-c.worker.runsOf(u))
	}
	return max(n, 0)
}

// fitCount returns how many times demand fits into free.
func fitCount(free, demand Resources) int {
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

// runsOf returns how many runs of the unit's step and occurrence are on the
// worker.
func (w *worker) runsOf(u *unit) int {
	first := u.tasks[0].id
	n := 0
	for id := range w.active {
		if id.Job == first.Job && id.Occurrence == first.Occurrence && id.Step == first.Step {
			n++
		}
	}
	return n
}

// bestWorker returns the worker for one task, or nil if the task fits on none. It prefers
// workers whose report is not overdue, then those that are not cold, if the unit avoids those,
// then workers close to the task's data, then those without interference, then those with the
// least free capacity, which keeps whole workers free for large tasks.
func (p *plan) bestWorker(u *unit, v capacityView) *workerCapacity {
	var best *workerCapacity
	for _, c := range p.workers {
		if p.taskCapacity(u, c, v) > 0 && (best == nil || p.prefers(u, c, best, v)) {
			best = c
		}
	}
	return best
}

// prefers reports whether a is a better worker than b for a task of the unit.
func (p *plan) prefers(u *unit, a, b *workerCapacity, v capacityView) bool {
	if overdue := a.worker.overdue(p.now); overdue != b.worker.overdue(p.now) {
		return !overdue
	}
	if cold := p.compareCold(u, a, b); cold != 0 {
		return cold < 0
	}
	if near := nearData(u, a); near != nearData(u, b) {
		return near
	}
	if alone := !interferes(u, a); alone == interferes(u, b) {
		return alone
	}
	if slow := a.worker.slow(p.now); slow != b.worker.slow(p.now) {
		return !slow
	}
	fa, fb := v(a), v(b)
	return cmp.Or(cmp.Compare(fa.Accelerators, fb.Accelerators), cmp.Compare(fa.MilliCores, fb.MilliCores)) < 0
}

func nearData(u *unit, c *workerCapacity) bool {
	return u.step.DataRack == "" || c.worker.hasLabel(u.step.DataRack)
}

// gangPlacement returns a worker for each of n members, or nil if they do not
// fit.
func (p *plan) gangPlacement(u *unit, n int, v capacityView) []*workerCapacity {
	if !u.step.SameRack || !p.rackCouldHold(u, n) {
		return p.pack(u, p.workers, n, v)
	}
	return p.rackPlacement(u, n, v)
}

// rackPlacement returns workers of one rack, of those that hold n members the one with the fewest
// members on cold workers, then with the least free capacity, or nil.
func (p *plan) rackPlacement(u *unit, n int, v capacityView) []*workerCapacity {
	var best []*workerCapacity
	leastCold, leastFree := 0, 0
	for _, rack := range p.racks() {
		workers := p.pack(u, rack, n, v)
		if workers == nil {
			continue
		}
		cold, free := p.countCold(workers...), freeAccelerators(rack, v)
		if best == nil || cmp.Or(cmp.Compare(cold, leastCold), cmp.Compare(free, leastFree)) < 0 {
			best, leastCold, leastFree = workers, cold, free
		}
	}
	return best
}

// pack places n tasks on as few of the workers as possible, or returns nil if
// they do not fit.
func (p *plan) pack(u *unit, workers []*workerCapacity, n int, v capacityView) []*workerCapacity {
	return p.packAtLeast(u, workers, n, n, v)
}

// packAtLeast places n tasks in the same way, or as many as fit if that is at least the given number.
func (p *plan) packAtLeast(u *unit, workers []*workerCapacity, least, n int, v capacityView) []*workerCapacity {
	type candidate struct {
		worker *workerCapacity
		fits   int
	}
	var candidates []candidate
	total := 0
	for _, c := range workers {
		if fits := p.taskCapacity(u, c, v); fits > 0 {
			candidates = append(candidates, candidate{c, fits})
			total += fits
		}
	}
	if total < least {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		switch {
		case p.prefers(u, a.worker, b.worker, v):
			return -1
		case p.prefers(u, b.worker, a.worker, v):
			return 1
		default:
			return 0
		}
	})
	out := make([]*workerCapacity, 0, n)
	for _, c := range candidates {
		for range min(c.fits, n-len(out)) {
			out = append(out, c.worker)
		}
	}
	return out
}

func freeAccelerators(workers []*workerCapacity, v capacityView) int {
	n := 0
	for _, c := range workers {
		n += v(c).Accelerators
	}
	return n
}

// racks groups the workers by rack, in the order of their ids.
func (p *plan) racks() [][]*workerCapacity {
	index := make(map[ident.Rack]int)
	var racks [][]*workerCapacity
	for _, c := range p.workers {
		at, ok := index[c.worker.info.Rack]
		if !ok {
			at = len(racks)
			index[c.worker.info.Rack] = at
			racks = append(racks, nil)
		}
		racks[at] = append(racks[at], c)
	}
	return racks
}

// rackCouldHold reports whether n members would fit on the workers of one rack once the
// runs there have ended, but for long-running ones that the unit may not preempt.
func (p *plan) rackCouldHold(u *unit, n int) bool {
	for _, rack := range p.racks() {
		total := 0
		for _, c := range rack {
			if p.eligible(u, c) {
				total += u.fitWithin(p.lastingCapacity(u, c))
			}
		}
		if total >= n {
			return true
		}
	}
	return false
}
