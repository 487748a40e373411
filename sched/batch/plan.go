package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// unit is a set of waiting tasks that is placed as a whole: a gang, or the
// tasks of a step, which may also be placed one by one.
type unit struct {
	job   *job
	step  *Step
	tasks []*task
	tier  tier
	// latest is when the unit has to start to meet its objective.
	latest time.Time
	// lasts is the expected duration of a task.
	lasts time.Duration
	// lastAttempt says that one more failure of a task fails the job.
	lastAttempt bool
	// tickets holds the workers that the placement advisor allows.
	tickets map[ident.Upstream]string
}

// slot is the capacity of a worker during one plan.
type slot struct {
	w *worker
	// now is free; soon also counts the runs that are being stopped.
	now, soon Resources
	// probation says that the worker may take a single run that can fail.
	probation, probed bool
	// reserved keeps room for units that wait.
	reserved []reservation
	// endings caches when the runs here probably end.
	endings []ending
}

// plan is the state of one planning pass.
type plan struct {
	e            *Scheduler
	now          time.Time
	slots        []*slot
	tiers        map[*job]tier
	reservations int
	// sound counts the workers without a recent fault.
	sound int
	// headroom is the accelerators that stay free for urgent work.
	headroom int
}

// planEvery is the longest time between two plans. Whatever depends on time
// alone, such as due times and patience, waits for this long at most.
const planEvery = 200 * time.Millisecond

// Schedule decides which waiting tasks start where and which runs make room. The
// starts become orders once their records are durable. Without a change since
// the last plan it does nothing for a while, as progress alone frees no room.
func (e *Scheduler) Schedule(now time.Time) {
	if !e.changed && now.Sub(e.plannedAt) < planEvery {
		return
	}
	e.changed, e.plannedAt = false, now
	e.room = Resources{}
	for _, w := range e.workers {
		e.room = e.room.plus(w.info.Capacity)
	}
	p := &plan{e: e, now: now, tiers: e.tiers(now)}
	for _, w := range e.workers {
		if w.usable(now) && w.trusted(now) {
			free, soon := w.free()
			s := &slot{w: w, now: free, soon: soon}
			s.probation, s.probed = w.onProbation(now)
			if w.strikes == 0 {
				p.sound++
			}
			p.slots = append(p.slots, s)
		}
	}
	slices.SortFunc(p.slots, func(a, b *slot) int { return cmp.Compare(a.w.info.ID, b.w.info.ID) })
	p.headroom = e.headroom(now)
	for _, u := range p.units() {
		p.place(u)
	}
}

// headroomDecay is the time in which the memory of a peak of urgent work fades
// to a third: bursts of such work last some seconds and come again.
const headroomDecay = 10 * time.Second

// headroom returns how many accelerators urgent work has used at its recent
// peak beyond what it uses now.
func (e *Scheduler) headroom(now time.Time) int {
	used := 0.0
	for _, w := range e.workers {
		for _, t := range w.active {
			if t.job.spec.Priority == 0 {
				used += float64(t.step().PerTask.Accelerators)
			}
		}
	}
	fade := math.Exp(-now.Sub(e.peakAt).Seconds() / headroomDecay.Seconds())
	e.peak = max(used, e.peak*fade)
	e.peakAt = now
	return int(e.peak - used)
}

// leavesHeadroom reports whether n more tasks of the unit keep the headroom
// free. Work that resumes from checkpoints may use it, as it gives way cheaply.
func (p *plan) leavesHeadroom(u *unit, n int) bool {
	if u.tier <= tierNormal || u.step.Checkpoints && !u.step.Gang {
		return true
	}
	return freeAccelerators(p.slots, viewNow)-n*u.step.PerTask.Accelerators >= p.headroom
}

// units returns the waiting work in the order in which it is placed.
func (p *plan) units() []*unit {
	var units []*unit
	for j, t := range p.tiers {
		if len(p.e.services) > 0 && !p.e.services[j.spec.Service] {
			continue
		}
		for k := range j.spec.occurrences() {
			units = append(units, p.unitsOf(j, k, t)...)
		}
	}
	slices.SortFunc(units, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			p.compareUrgency(a, b),
			byAcceptance(a.job, b.job),
			cmp.Compare(a.tasks[0].slot, b.tasks[0].slot),
		)
	})
	return units
}

// unitsOf returns the waiting units of one occurrence whose turn has come.
func (p *plan) unitsOf(j *job, occurrence int, t tier) []*unit {
	due := time.UnixMilli(j.spec.AcceptedMs)
	if j.spec.Repetitions > 0 {
		due = time.UnixMilli(j.spec.StartAtMs + int64(occurrence)*j.spec.IntervalMs)
		if p.now.Before(due) {
			return nil
		}
	}
	base := occurrence * j.spec.tasksPerOccurrence()
	done := j.stepsDone(base)
	var out []*unit
	for s := range j.spec.Steps {
		step := &j.spec.Steps[s]
		if !slices.ContainsFunc(step.DependsOn, func(before int) bool { return before >= len(done) || !done[before] }) {
			latest := due.Add(p.e.objective(j) - p.e.chain(j, s, false))
			if u := waiting(j, step, j.tasks[base:base+step.Tasks]); u != nil {
				u.tier, u.latest, u.lasts = t, latest, p.e.expected(j, step)
				out = append(out, u)
			}
		}
		base += step.Tasks
	}
	return out
}

func (j *job) stepsDone(base int) []bool {
	done := make([]bool, len(j.spec.Steps))
	for s := range j.spec.Steps {
		done[s] = true
		for i := range j.spec.Steps[s].Tasks {
			done[s] = done[s] && j.tasks[base+i].Phase == TaskSucceeded
		}
		base += j.spec.Steps[s].Tasks
	}
	return done
}

// waiting returns the unit of the waiting tasks of a step, or nil. A gang
// waits until all its members have ended.
func waiting(j *job, step *Step, tasks []task) *unit {
	u := &unit{job: j, step: step}
	for i := range tasks {
		if tasks[i].Phase == TaskWaiting {
			u.tasks = append(u.tasks, &tasks[i])
			u.lastAttempt = u.lastAttempt || tasks[i].Failures > 0 && tasks[i].Failures+1 >= j.spec.MaxAttempts
		}
	}
	if len(u.tasks) == 0 || step.Gang && len(u.tasks) < step.Tasks {
		return nil
	}
	return u
}

// place starts a unit, or reserves room for it, or makes room.
func (p *plan) place(u *unit) {
	if u.job.spec.NeedsAdvice {
		u.tickets = p.advised(u)
		if u.tickets == nil {
			return
		}
	}
	if u.step.Gang {
		p.placeGang(u)
		return
	}
	for i, t := range u.tasks {
		if !p.leavesHeadroom(u, 1) {
			return
		}
		s := p.bestSlot(u, viewNow)
		if s == nil {
			p.waitFor(u, u.tasks[i:])
			return
		}
		p.start(u, t, s)
	}
}

func (p *plan) placeGang(u *unit) {
	if !p.leavesHeadroom(u, len(u.tasks)) {
		return
	}
	slots := p.gangSlots(u, len(u.tasks), viewNow)
	if slots == nil {
		p.waitFor(u, u.tasks)
		return
	}
	run := 0
	for _, t := range u.tasks {
		run = max(run, t.Run)
	}
	checkpoint := commonCheckpoint(u.tasks)
	for i, t := range u.tasks {
		t.Run = run
		t.Checkpoint = checkpoint
		p.start(u, t, slots[i])
	}
}

// commonCheckpoint returns a checkpoint of any member; it is valid for all.
func commonCheckpoint(gang []*task) string {
	for _, t := range gang {
		if t.Checkpoint != "" {
			return t.Checkpoint
		}
	}
	return ""
}

// waitFor reserves what is being freed for the tasks, or frees more.
func (p *plan) waitFor(u *unit, tasks []*task) {
	if p.reserve(u, len(tasks), viewSoon) {
		return
	}
	if p.preempt(u, len(tasks)) {
		return
	}
	p.hold(u, len(tasks))
}

// reserve takes capacity in the given view away from later units.
func (p *plan) reserve(u *unit, n int, v view) bool {
	if u.step.Gang {
		slots := p.gangSlots(u, n, v)
		for _, s := range slots {
			p.take(u, s)
		}
		return slots != nil
	}
	for range n {
		s := p.bestSlot(u, v)
		if s == nil {
			return false
		}
		p.take(u, s)
	}
	return true
}

// take uses room on the slot for one task of the unit.
func (p *plan) take(u *unit, s *slot) {
	r := u.step.demand()
	s.probed = true
	s.now, s.soon = s.now.minus(r), s.soon.minus(r)
	for i := range s.reserved {
		if u.lasts > s.reserved[i].in {
			s.reserved[i].spare = s.reserved[i].spare.minus(r)
		}
	}
}

// start records a run of t on the slot's worker and queues the order.
func (p *plan) start(u *unit, t *task, s *slot) {
	p.take(u, s)
	w := s.w
	t.Phase = TaskActive
	t.Run++
	t.Worker, t.Incarnation = w.info.ID, w.info.Incarnation
	t.startedAt, t.changedAt = p.now, p.now
	t.resumed = t.Checkpoint != ""
	w.active[t.id] = t
	j := u.job
	if j.record.State == JobQueued {
		j.record.State = JobRunning
	}
	j.record.Started = true
	p.e.dirty[j.spec.ID] = true
	p.e.starts = append(p.e.starts, Order{
		Kind: OrderStart, Worker: w.info.ID, Incarnation: w.info.Incarnation, Run: t.run(),
		Payload: j.spec.Payload, Checkpoint: t.Checkpoint, Ticket: u.tickets[w.info.Incarnation.Upstream], Reason: ReasonPlaced,
	})
	p.e.noteRun("run placed", t, p.now)
}
