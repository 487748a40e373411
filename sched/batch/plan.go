package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// unit is a set of waiting tasks that is planned together: a gang, which is
// placed as a whole, or the tasks of a step, which may be placed one by one.
type unit struct {
	job   *job
	step  *Step
	tasks []*task
	tier  tier
	// latestStart is when the unit has to start to meet its objective.
	latestStart time.Time
	// duration is the expected duration of a task.
	duration time.Duration
	// lastAttempt reports that one more failure of a task fails the job. Without a
	// limit of attempts it is set after the first failure of a task.
	lastAttempt bool
	// lastAttemptSince is since when the first of its tasks with a last attempt has waited.
	lastAttemptSince time.Time
	// alternative caches hasAlternative.
	alternative *bool
	// advice is what the placement advisor has said, or nil if it need not be asked.
	advice *advice
	// permission is what the unit requires of the placement advisor for a worker.
	permission permission
	// overdue reports that the job has stood still for maxDeferral.
	overdue bool
	// stopsAwaited reports that the unit may preempt runs that hold up later steps.
	stopsAwaited bool
	// ignoresReservations reports that capacity reserved for other units counts as free.
	ignoresReservations bool
	// lastResort reports that no other worker can take the unit's best-effort tasks.
	lastResort bool
}

// workerCapacity is the capacity of a worker during one planning pass.
type workerCapacity struct {
	worker *worker
	// free is the free capacity; freeSoon also counts the runs that are being
	// stopped.
	free, freeSoon Resources
	// idle is the capacity that no run takes, whatever is allocated to waiting units.
	idle Resources
	// probation reports that the worker gets only a single run at a time, one
	// that may fail without harm; probing reports that it has one already.
	probation, probing bool
	// reservations hold capacity for waiting units.
	reservations []reservation
	// completions caches the expected ends of the runs on the worker.
	completions []completion
}

// plan is the state of one planning pass.
type plan struct {
	scheduler *Scheduler
	now       time.Time
	workers   []*workerCapacity
	// idleWorkers are those with accelerators that no run took when the pass began.
	idleWorkers []*workerCapacity
	// closed holds the workers that only their zone keeps from getting new work.
	closed []*workerCapacity
	tiers  map[*job]tier
	// reservations counts the units that have got a reservation.
	reservations int
	// headroom is how many accelerators are kept free for urgent work.
	headroom int
	// firstWant and oldestWant are steps that need a call of the placement advisor: the first one
	// in the order of placement, with room if there is one, and the one that has waited longest.
	firstWant, oldestWant adviceWant
	// seekersAhead counts the units without a ticket that were placed before.
	seekersAhead int
}

// planInterval is the maximum time between two planning passes. Whatever depends
// on time alone, such as due times and preemption delays, is acted on at most
// this late.
const planInterval = 200 * time.Millisecond

// Schedule decides which waiting tasks start on which workers and which runs are
// preempted. The starts become orders once their records are durable. Without a
// change since the last pass it does nothing until planInterval has passed,
// because progress alone frees no capacity.
func (s *Scheduler) Schedule(now time.Time) {
	if !s.needsPlan && now.Sub(s.plannedAt) < planInterval {
		return
	}
	s.needsPlan, s.plannedAt = false, now
	s.totalCapacity = Resources{}
	for _, w := range s.workers {
		if s.inClosedZone(w) {
			continue
		}
		s.totalCapacity = s.totalCapacity.plus(w.info.Capacity)
	}
	p := &plan{scheduler: s, now: now, tiers: s.tiers(now)}
	for _, w := range s.workers {
		if s.usable(w, now) && w.trusted(now) && !p.isClosed(w) {
			free, soon := w.freeCapacity()
			c := &workerCapacity{worker: w, free: free, freeSoon: soon, idle: free}
			c.probation, c.probing = w.onProbation(now)
			p.workers = append(p.workers, c)
			if free.Accelerators > 0 {
				p.idleWorkers = append(p.idleWorkers, c)
			}
		}
	}
	slices.SortFunc(p.workers, func(a, b *workerCapacity) int { return cmp.Compare(a.worker.info.ID, b.worker.info.ID) })
	p.headroom = s.headroom(now)
	for _, u := range p.units() {
		s.handling = u.job.spec.ID
		p.place(u)
	}
	s.handling = ""
	p.requestAdvice()
}

// headroomDecay is the time constant with which a past peak of urgent work
// decays, to about a third after this time: bursts of such work last a few
// seconds and recur.
const headroomDecay = 10 * time.Second

// headroom returns how many accelerators urgent work has used at its recent peak
// beyond what it uses now.
func (s *Scheduler) headroom(now time.Time) int {
	used := 0.0
	for _, w := range s.workers {
		for _, t := range w.active {
			if t.job.spec.Priority == 0 {
				used += float64(t.step().PerTask.Accelerators)
			}
		}
	}
	decay := math.Exp(-now.Sub(s.urgentPeakAt).Seconds() / headroomDecay.Seconds())
	s.urgentPeak = max(used, s.urgentPeak*decay)
	s.urgentPeakAt = now
	return int(s.urgentPeak - used)
}

// leavesHeadroom reports whether the headroom stays free if n more tasks of the
// unit start.
func (p *plan) leavesHeadroom(u *unit, n int) bool {
	if u.overdue || u.mayUseHeadroom() && !p.hasSlack(u) || p.headroomLiesIdle(u) {
		return true
	}
	return freeAccelerators(p.workers, freeNow)-n*u.step.PerTask.Accelerators >= p.headroom
}

// hasSlack reports whether a later start costs the unit's callers nothing yet.
func (p *plan) hasSlack(u *unit) bool {
	return u.tier >= tierBulk && p.now.Before(u.latestStart)
}

// headroomPatience is how long work waits for headroom while most accelerators are free.
const headroomPatience = 2 * time.Second

// headroomLiesIdle reports whether the unit has waited for headroomPatience while less than
// half of the accelerators are in use.
func (p *plan) headroomLiesIdle(u *unit) bool {
	if p.now.Before(u.waitingSince().Add(headroomPatience)) {
		return false
	}
	total := 0
	for _, c := range p.workers {
		total += c.worker.info.Capacity.Accelerators
	}
	return 2*freeAccelerators(p.workers, freeNow) > total
}

// mayUseHeadroom reports whether the unit may start in capacity that urgent work is
// expected to need soon. Work that resumes from checkpoints is cheap to preempt, and so are
// single normal tasks. A gang without checkpoints loses the work of all its members
// whenever one of them is preempted, and starts over, often several times in a burst.
func (u *unit) mayUseHeadroom() bool {
	switch {
	case u.tier < tierNormal:
		return true
	case u.tier == tierNormal:
		return !u.step.Gang || u.step.Checkpoints
	default:
		return !u.step.Gang && u.step.Checkpoints
	}
}

// units returns the waiting units in the order in which they are placed.
func (p *plan) units() []*unit {
	var units []*unit
	for j, t := range p.tiers {
		p.scheduler.handling = j.spec.ID
		for k := range j.spec.occurrences() {
			units = append(units, p.waitingUnits(j, k, t)...)
		}
	}
	slices.SortFunc(units, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			p.compareUrgency(a, b),
			compareAcceptance(a.job, b.job),
			cmp.Compare(a.tasks[0].position, b.tasks[0].position),
		)
	})
	return units
}

// waitingUnits returns the units of one occurrence that are due and whose
// dependencies have succeeded.
func (p *plan) waitingUnits(j *job, occurrence int, t tier) []*unit {
	due := time.UnixMilli(j.spec.AcceptedMs)
	if j.spec.Repetitions > 0 {
		due = time.UnixMilli(j.spec.StartAtMs + int64(occurrence)*j.spec.IntervalMs)
		if p.now.Before(due) {
			return nil
		}
	}
	base := occurrence * j.spec.tasksPerOccurrence()
	succeeded := j.succeededSteps(base)
	var out []*unit
	for s := range j.spec.Steps {
		step := &j.spec.Steps[s]
		if !slices.ContainsFunc(step.DependsOn, func(before int) bool { return before >= len(succeeded) || !succeeded[before] }) {
			latest := due.Add(p.scheduler.objective(j) - p.scheduler.criticalPath(j, s, false))
			if u := waitingUnit(j, step, j.tasks[base:base+step.Tasks]); u != nil {
				u.tier, u.latestStart, u.duration = t, latest, p.scheduler.expectedDuration(j, step)
				out = append(out, u)
			}
		}
		base += step.Tasks
	}
	return out
}

// succeededSteps returns for each step of the occurrence whose tasks begin at base
// whether all its tasks have succeeded.
func (j *job) succeededSteps(base int) []bool {
	succeeded := make([]bool, len(j.spec.Steps))
	for s := range j.spec.Steps {
		succeeded[s] = true
		for i := range j.spec.Steps[s].Tasks {
			succeeded[s] = succeeded[s] && j.tasks[base+i].Phase == TaskSucceeded
		}
		base += j.spec.Steps[s].Tasks
	}
	return succeeded
}

// waitingUnit returns the unit of the waiting tasks of a step, or nil. A gang is
// not ready until the runs of all its members have ended.
func waitingUnit(j *job, step *Step, tasks []task) *unit {
	u := &unit{job: j, step: step}
	for i := range tasks {
		if tasks[i].Phase == TaskWaiting && !tasks[i].held {
			u.tasks = append(u.tasks, &tasks[i])
			u.noteLastAttempt(&tasks[i])
		}
	}
	if len(u.tasks) == 0 || step.Gang && len(u.tasks) < step.Tasks {
		return nil
	}
	return u
}

// noteLastAttempt records whether one more failure of the waiting task fails the job.
func (u *unit) noteLastAttempt(t *task) {
	if t.Failures == 0 || t.Failures+1 < u.job.spec.MaxAttempts {
		return
	}
	since := t.waitingSince
	if since.IsZero() {
		since = u.job.loadedAt
	}
	if !u.lastAttempt || since.Before(u.lastAttemptSince) {
		u.lastAttemptSince = since
	}
	u.lastAttempt = true
}

// place starts the tasks of a unit that fit now, and reserves or frees capacity
// for the others.
func (p *plan) place(u *unit) {
	if p.fitsOnlyInClosedZones(u) {
		p.waitForZone(u)
		return
	}
	if u.job.spec.NeedsAdvice && !p.lookUpAdvice(u) {
		p.awaitAdvice(u)
		return
	}
	u.setOverdue(p.stoodStill(u) >= maxDeferral)
	if u.step.Gang {
		p.placeGang(u)
		return
	}
	for i, t := range u.tasks {
		if !p.leavesHeadroom(u, 1) {
			p.noteWaiting(u, t, WaitForHeadroom)
			return
		}
		c := p.workerFor(u)
		if c == nil {
			p.waitForCapacity(u, u.tasks[i:])
			return
		}
		p.start(u, t, c)
		u.setOverdue(u.overdue && u.step.LongRunning && p.holdsTwice(u))
	}
}

func (p *plan) placeGang(u *unit) {
	if !p.leavesHeadroom(u, len(u.tasks)) {
		p.noteWaiting(u, u.tasks[0], WaitForHeadroom)
		return
	}
	workers := p.workersForGang(u)
	if workers == nil {
		p.waitForCapacity(u, u.tasks)
		return
	}
	run := 0
	for _, t := range u.tasks {
		run = max(run, t.Run)
	}
	checkpoint := commonCheckpoint(u.tasks)
	for i, t := range u.tasks {
		t.Run = run
		t.resumeFrom(checkpoint)
		p.start(u, t, workers[i])
	}
}

// waitForCapacity allocates capacity that is being freed to the tasks. If that is
// not enough, it preempts other work or makes a reservation. Where only tickets are
// missing, the tasks wait for these first.
func (p *plan) waitForCapacity(u *unit, tasks []*task) {
	if u.job.spec.NeedsAdvice && p.seekAdvice(u, len(tasks)) && p.mayAwaitAdvice(u) {
		p.noteWaiting(u, tasks[0], WaitForAdvice)
		p.tryAllocate(u.withPermission(allowedBefore), len(tasks), freeSoon)
		return
	}
	p.noteWaiting(u, tasks[0], WaitForCapacity)
	if p.tryAllocate(u, len(tasks), freeSoon) {
		return
	}
	if p.preempt(u, len(tasks)) {
		return
	}
	p.addReservation(u, len(tasks))
}

// tryAllocate allocates capacity in the given view to n tasks of the unit, so that
// later units cannot use it. It returns false if not all of them fit. A gang then
// gets nothing, while other tasks keep what has been allocated.
func (p *plan) tryAllocate(u *unit, n int, v capacityView) bool {
	if u.step.Gang {
		workers := p.gangPlacement(u, n, v)
		for _, c := range workers {
			p.allocate(u, c)
		}
		return workers != nil
	}
	for range n {
		c := p.bestWorker(u, v)
		if c == nil {
			return false
		}
		p.allocate(u, c)
	}
	return true
}

// allocate takes the capacity for one task of the unit on the worker.
func (p *plan) allocate(u *unit, c *workerCapacity) {
	r := u.step.demand()
	c.probing = true
	c.free, c.freeSoon = c.free.minus(r), c.freeSoon.minus(r)
	for i := range c.reservations {
		if u.duration > c.reservations[i].startsIn {
			c.reservations[i].spare = c.reservations[i].spare.minus(r)
		}
	}
}

// start records a run of t on the worker and queues the order.
func (p *plan) start(u *unit, t *task, c *workerCapacity) {
	p.allocate(u, c)
	c.idle = c.idle.minus(u.step.demand())
	w := c.worker
	t.Phase = TaskActive
	t.Run++
	t.Worker, t.Incarnation = w.info.ID, w.info.Incarnation
	t.startedAt, t.progressedAt = p.now, p.now
	t.resumeFrom(t.Checkpoint)
	t.resumed = t.Checkpoint != ""
	w.active[t.id] = t
	p.scheduler.open.own[t] = struct{}{}
	j := u.job
	if j.record.State == JobQueued {
		j.record.State = JobRunning
	}
	j.record.Started = true
	p.scheduler.markDirty(j.spec.ID)
	ticket, _ := u.advice.ticket(w, p.now)
	p.scheduler.pendingStarts = append(p.scheduler.pendingStarts, Order{
		Kind: OrderStart, Worker: w.info.ID, Incarnation: w.info.Incarnation, Run: t.run(),
		Payload: j.spec.Payload, Checkpoint: t.Checkpoint, Ticket: ticket, Reason: ReasonPlaced,
	})
	p.scheduler.logRun("run placed", t, p.now)
}
