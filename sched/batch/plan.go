package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// tier orders the units of a plan. A unit may take capacity from work of a
// higher tier.
type tier uint8

// The tiers.
const (
	// tierGuaranteed is work of priority 0 inside its workspace's guarantee.
	tierGuaranteed tier = iota
	// tierUrgent is other work of priority 0.
	tierUrgent
	// tierNormal is work of priority 1.
	tierNormal
	// tierBulk is all other work.
	tierBulk
	// tierLate is work that is too late to be worth anything.
	tierLate
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
	// tickets holds the workers that the placement advisor allows.
	tickets map[ident.Upstream]string
}

// slot is the capacity of a worker during one plan.
type slot struct {
	w *worker
	// now is free; soon also counts the runs that are being stopped.
	now, soon Resources
	// reserved keeps room for units that wait.
	reserved []reservation
	// endings caches when the runs here probably end.
	endings []ending
}

// plan is the state of one planning pass.
type plan struct {
	e            *Engine
	now          time.Time
	slots        []*slot
	tiers        map[*job]tier
	reservations int
	// headroom is the accelerators that stay free for urgent work.
	headroom int
}

// planEvery is the longest time between two plans. Whatever depends on time
// alone, such as due times and patience, waits for this long at most.
const planEvery = 200 * time.Millisecond

// Plan decides which waiting tasks start where and which runs make room. The
// starts become orders once their records are durable. Without a change since
// the last plan it does nothing for a while, as progress alone frees no room.
func (e *Engine) Plan(now time.Time) {
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
			p.slots = append(p.slots, &slot{w: w, now: free, soon: soon})
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
func (e *Engine) headroom(now time.Time) int {
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

// tiers sorts the jobs into tiers. The guarantee of a workspace covers its
// jobs of priority 0 in the order of their acceptance.
func (e *Engine) tiers(now time.Time) map[*job]tier {
	tiers := make(map[*job]tier, len(e.jobs))
	var urgent []*job
	for _, j := range e.jobs {
		if j.record.State.Final() {
			continue
		}
		tiers[j] = e.tierOf(j, now)
		if j.spec.Priority == 0 {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, byAcceptance)
	left := make(map[ident.Workspace]int)
	for ws, plan := range e.plans {
		left[ws] = plan.Accelerators
	}
	for _, j := range urgent {
		need := j.accelerators()
		if need <= left[j.spec.Workspace] {
			left[j.spec.Workspace] -= need
			tiers[j] = tierGuaranteed
		}
	}
	return tiers
}

func byAcceptance(a, b *job) int {
	return cmp.Or(cmp.Compare(a.spec.AcceptedMs, b.spec.AcceptedMs), cmp.Compare(a.spec.ID, b.spec.ID))
}

func (e *Engine) tierOf(j *job, now time.Time) tier {
	switch {
	case e.hopeless(j, now):
		return tierLate
	case j.spec.Priority == 0:
		return tierUrgent
	case j.spec.Priority == 1:
		return tierNormal
	default:
		return tierBulk
	}
}

// accelerators is what the job's first steps need at once.
func (j *job) accelerators() int {
	n := 0
	for i := range j.spec.Steps {
		if s := &j.spec.Steps[i]; len(s.After) == 0 {
			n += s.Tasks * s.PerTask.Accelerators
		}
	}
	return n
}

// lateFactor bounds, in objectives, how late a job may be and still count.
const lateFactor = 3

// hopeless reports whether the job can no longer end in time to count.
func (e *Engine) hopeless(j *job, now time.Time) bool {
	if j.spec.Repetitions > 0 || j.longRunning() {
		return false
	}
	return now.Sub(time.UnixMilli(j.spec.AcceptedMs)) > lateFactor*e.objective(j)
}

func (j *job) longRunning() bool {
	return slices.ContainsFunc(j.spec.Steps, func(s Step) bool { return s.LongRunning })
}

// objective is the time in which the job should end.
func (e *Engine) objective(j *job) time.Duration {
	slack := max(j.spec.Slack, 1)
	return time.Duration(slack*float64(e.chain(j, 0, true))) + time.Duration(j.spec.TargetMs)*time.Millisecond
}

// chain returns the expected duration of the longest chain of steps: of the
// whole job, or of a step and those that wait for it.
func (e *Engine) chain(j *job, step int, whole bool) time.Duration {
	n := len(j.spec.Steps)
	tail := make([]time.Duration, n)
	longest := time.Duration(0)
	for s := n - 1; s >= 0; s-- {
		step := &j.spec.Steps[s]
		tail[s] += e.expected(j, step) * time.Duration(e.waves(step))
		for _, before := range j.spec.Steps[s].After {
			if before < s {
				tail[before] = max(tail[before], tail[s])
			}
		}
		longest = max(longest, tail[s])
	}
	if whole || step >= n {
		return longest
	}
	return tail[step]
}

// waveShare is the share of all room that a step may fill at once by its
// objective; a wider step is expected to run in waves.
const waveShare = 0.25

// waves returns in how many waves the objective lets the tasks of a step run.
func (e *Engine) waves(step *Step) int {
	if step.Gang || step.Tasks < 2 || e.room == (Resources{}) {
		return 1
	}
	share := 0.0
	for _, d := range [][2]int{
		{step.demand().MilliCores, e.room.MilliCores},
		{step.demand().MemoryMB, e.room.MemoryMB},
		{step.demand().Accelerators, e.room.Accelerators},
	} {
		share = max(share, float64(step.Tasks*d[0])/float64(max(d[1], 1)))
	}
	return max(1, int(math.Ceil(share/waveShare)))
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

// compareUrgency orders units of one tier by when they have to start, those
// that can still be on time first: what is late earns little more by starting
// earlier. Bulk work keeps the order of its acceptance, because its widest
// steps are never on time while narrower ones arrive.
func (p *plan) compareUrgency(a, b *unit) int {
	if a.tier >= tierBulk {
		return 0
	}
	late, otherLate := p.now.After(a.latest), p.now.After(b.latest)
	switch {
	case late == otherLate:
		return a.latest.Compare(b.latest)
	case late:
		return 1
	default:
		return -1
	}
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
		if !slices.ContainsFunc(step.After, func(before int) bool { return before >= len(done) || !done[before] }) {
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
			done[s] = done[s] && j.tasks[base+i].Phase == TaskDone
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
	t.Worker, t.Life = w.info.ID, w.info.Life
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
		Kind: OrderStart, Worker: w.info.ID, Life: w.info.Life, Run: t.run(),
		Payload: j.spec.Payload, Checkpoint: t.Checkpoint, Ticket: u.tickets[w.info.Life.Upstream], Reason: ReasonPlaced,
	})
	p.e.noteRun("run placed", t, p.now)
}
