package trace

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

const (
	// claimBound is the time within which a claim of a shape has to start.
	claimBound = 4600 * time.Millisecond
	// faultExcuse is how long a job that has failed, or any job after a fault
	// of a worker, may wait for other reasons than a late decision.
	faultExcuse = time.Minute
	// failingExcuse is how long after its fault a failing worker still counts
	// as missing for late claims: a policy that has quarantined the worker
	// cannot know better before its next probe, and probes are up to half an
	// hour apart.
	failingExcuse = 30 * time.Minute
)

// shapeKey names a guaranteed shape.
type shapeKey struct {
	workspace ident.Workspace
	name      string
}

// guarantee is the state of one guaranteed shape.
type guarantee struct {
	shape model.Shape
	// kind is the index of the shape's layout in the packer.
	kind int
	// holders are the gangs that run under the shape's name.
	holders []*run
	// waiting are the queued gangs that claim the shape.
	waiting []*run
	// due holds, for each claim that could start, the time since when it can.
	due []time.Duration
	// late counts the claims in due that were counted as violations.
	late int
}

// checker counts guarantee violations from the state of the replay alone.
type checker struct {
	trace  Trace
	packer *packer
	// order holds the guarantees in the order of the plan.
	order []*guarantee
	byKey map[shapeKey]*guarantee
	// unmet is true while the shapes could not all be met at once.
	unmet bool
	// unmetCount and lateCount count the two kinds of violation.
	unmetCount int
	lateCount  int
	// events describe the first violations.
	events []string
}

func newChecker(t Trace) *checker {
	c := &checker{trace: t, byKey: make(map[shapeKey]*guarantee)}
	var layouts []layout
	for _, workspace := range t.Plan.Workspaces {
		for _, shape := range workspace.Shapes {
			g := &guarantee{shape: shape}
			c.order = append(c.order, g)
			c.byKey[shapeKey{workspace.Workspace, shape.Name}] = g
			layouts = append(layouts, layoutOf(shape))
		}
	}
	slices.SortFunc(layouts, compareLayouts)
	layouts = slices.Compact(layouts)
	c.packer = newPacker(t.Workers, layouts)
	for _, g := range c.order {
		g.kind = slices.Index(c.packer.layouts, layoutOf(g.shape))
	}
	return c
}

func layoutOf(s model.Shape) layout {
	return layout{s.Tasks, s.PerTask.Accelerators, s.Locality}
}

// guaranteeOf returns the guarantee that a job names, or nil.
func (c *checker) guaranteeOf(job *run) *guarantee {
	if job.Job.Shape == "" {
		return nil
	}
	return c.byKey[shapeKey{job.Job.Workspace, job.Job.Shape}]
}

// queued records that a job waits.
func (c *checker) queued(job *run) {
	if g := c.guaranteeOf(job); g != nil {
		c.left(job)
		g.waiting = append(g.waiting, job)
	}
}

// started records that a job starts. A job that did not wait leaves the times
// of the waiting ones as they are.
func (c *checker) started(now time.Duration, job *run) {
	g := c.guaranteeOf(job)
	if g == nil {
		return
	}
	c.left(job)
	g.holders = append(g.holders, job)
	waited := job.queuedSince < now
	if waited && len(g.due) > 0 {
		g.due = g.due[1:]
		g.late = max(g.late-1, 0)
	}
}

// stopping records that a job no longer holds its shape.
func (c *checker) stopping(job *run) { c.left(job) }

// left removes a job from its guarantee.
func (c *checker) left(job *run) {
	if g := c.guaranteeOf(job); g != nil {
		same := func(other *run) bool { return other == job }
		g.holders = slices.DeleteFunc(g.holders, same)
		g.waiting = slices.DeleteFunc(g.waiting, same)
	}
}

// excusedUntil returns the end of the time in which a missing or failing worker
// excuses late claims, and false outside of such a time.
func (c *checker) excusedUntil(at time.Duration) (time.Duration, bool) {
	end, excused := time.Duration(0), false
	for _, fault := range c.trace.Faults {
		until := fault.Window.To + faultExcuse
		if fault.Kind == FaultFailing {
			until = fault.Window.To + failingExcuse
		}
		if at >= fault.Window.From && at < until {
			end, excused = max(end, until), true
		}
	}
	return end, excused
}

// check looks for violations. It returns the time at which it has to be called
// again if nothing happens before.
func (c *checker) check(now time.Duration, cluster *machines) (time.Duration, bool) {
	if cluster.anyLost() || c.lostBefore(now) {
		c.unmet = false
	} else {
		c.checkShapes(now, cluster)
	}
	next, found := time.Duration(0), false
	for _, g := range c.order {
		due, ok := c.checkClaims(now, g)
		if ok && (!found || due < next) {
			next, found = due, true
		}
	}
	return next, found
}

// lostBefore reports whether a worker returned less than faultExcuse ago.
func (c *checker) lostBefore(now time.Duration) bool {
	for _, fault := range c.trace.Faults {
		if fault.Kind == FaultLost && now >= fault.Window.From && now < fault.Window.To+faultExcuse {
			return true
		}
	}
	return false
}

// checkShapes counts a violation when the shapes that are not held stop being
// possible at once on what the holders leave.
func (c *checker) checkShapes(now time.Duration, cluster *machines) {
	free := make([]int, len(cluster.workers))
	for i, w := range cluster.workers {
		free[i] = w.Capacity.Accelerators
	}
	possible := c.possible(cluster, free, make([]int, len(c.packer.layouts)), 0)
	if !possible && !c.unmet {
		c.unmetCount++
		c.note(now, "the guaranteed shapes cannot all be met")
	}
	c.unmet = !possible
}

// possible reports whether the shapes from the given one on can be met besides
// those in counts. When more gangs run under a shape's name than the guarantee
// covers, any of them may be the ones that hold it.
func (c *checker) possible(cluster *machines, free, counts []int, from int) bool {
	if from == len(c.order) {
		return c.packer.fits(free, counts)
	}
	g := c.order[from]
	held := min(len(g.holders), g.shape.Count)
	counts[g.kind] += g.shape.Count - held
	found := c.choose(cluster, free, counts, from, g.holders, held)
	counts[g.kind] -= g.shape.Count - held
	return found
}

// choose tries the ways to take left of the gangs as holders.
func (c *checker) choose(cluster *machines, free, counts []int, from int, gangs []*run, left int) bool {
	if left == 0 {
		return c.possible(cluster, free, counts, from+1)
	}
	for i := 0; i+left <= len(gangs); i++ {
		gangs[i].occupy(cluster, free, 1)
		found := c.choose(cluster, free, counts, from, gangs[i+1:], left-1)
		gangs[i].occupy(cluster, free, -1)
		if found {
			return true
		}
	}
	return false
}

// occupy takes the accelerators of a running job out of free, or returns them.
func (job *run) occupy(cluster *machines, free []int, sign int) {
	for _, member := range job.members {
		free[cluster.index[member.Worker]] -= sign * len(member.Accelerators)
	}
}

// checkClaims counts a violation for each claim that could have started and
// did not. It returns the time of the next claim that becomes late.
func (c *checker) checkClaims(now time.Duration, g *guarantee) (time.Duration, bool) {
	able := 0
	for _, job := range g.waiting {
		if now >= job.excusedUntil {
			able++
		}
	}
	able = max(min(able, g.shape.Count-len(g.holders)), 0)
	for len(g.due) < able {
		g.due = append(g.due, now)
	}
	g.due = g.due[len(g.due)-able:]
	g.late = min(g.late, able)
	if until, excused := c.excusedUntil(now); excused {
		for i := range g.due {
			g.due[i] = now
		}
		g.late = 0
		return until, able > 0
	}
	for g.late < able && now+startDelay-g.due[g.late] > claimBound {
		g.late++
		c.lateClaim(now, g)
	}
	if g.late < able {
		return g.due[g.late] + claimBound - startDelay + time.Millisecond, true
	}
	return 0, false
}

// lateClaim counts a claim that did not start in time.
func (c *checker) lateClaim(now time.Duration, g *guarantee) {
	c.lateCount++
	c.note(now, "a claim of shape "+g.shape.Name+" did not start in time")
}

// maxNotes bounds the described violations.
const maxNotes = 20

// note describes a violation and the gangs that hold shapes at that time.
func (c *checker) note(now time.Duration, what string) {
	if len(c.events) >= maxNotes {
		return
	}
	text := now.String() + ": " + what + "; held:"
	for _, g := range c.order {
		for _, job := range g.holders {
			text += " " + g.shape.Name + "=" + string(job.Job.ID) + "@" + job.where()
		}
	}
	c.events = append(c.events, text)
}
