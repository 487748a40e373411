package trace

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

const (
	// claimStartLimit is the time within which a job that claims a guaranteed
	// shape has to start.
	claimStartLimit = 4600 * time.Millisecond
	// faultExemption is the time after a job has failed, or after a fault of a
	// worker for all jobs, in which a waiting claim does not count as late: it
	// may wait for other reasons than a late decision.
	faultExemption = time.Minute
	// failingWorkerExemption replaces faultExemption after a fault of a failing
	// worker. A policy that has quarantined the worker learns of the recovery
	// only by its next probe, and probes are up to half an hour apart.
	failingWorkerExemption = 30 * time.Minute
)

// shapeKey identifies a guaranteed shape.
type shapeKey struct {
	workspace ident.Workspace
	name      string
}

// guarantee is the state of one guaranteed shape.
type guarantee struct {
	shape model.Shape
	// layoutIndex is the index of the shape's layout in the packer.
	layoutIndex int
	// holders are the running gangs that claim the shape.
	holders []*replayedJob
	// waiting are the queued gangs that claim the shape.
	waiting []*replayedJob
	// startableSince holds, for each claim that could start, the time since
	// which it could.
	startableSince []time.Duration
	// lateCounted is the number of claims in startableSince that were counted as
	// violations.
	lateCounted int
}

// checker counts guarantee violations. It uses only the state of the replay.
type checker struct {
	trace  Trace
	packer *packer
	// guarantees are in the order of the plan.
	guarantees []*guarantee
	byKey      map[shapeKey]*guarantee
	// shapesUnmet is true while the shapes cannot all be met at once.
	shapesUnmet bool
	// unmetCount and lateCount count the two kinds of violation.
	unmetCount int
	lateCount  int
	// violations describes the first violations.
	violations []string
}

func newChecker(t Trace) *checker {
	c := &checker{trace: t, byKey: make(map[shapeKey]*guarantee)}
	var layouts []layout
	for _, workspace := range t.Plan.Workspaces {
		for _, shape := range workspace.Shapes {
			g := &guarantee{shape: shape}
			c.guarantees = append(c.guarantees, g)
			c.byKey[shapeKey{workspace.Workspace, shape.Name}] = g
			layouts = append(layouts, layoutOf(shape))
		}
	}
	slices.SortFunc(layouts, compareLayouts)
	layouts = slices.Compact(layouts)
	c.packer = newPacker(t.Workers, layouts)
	for _, g := range c.guarantees {
		g.layoutIndex = slices.Index(c.packer.layouts, layoutOf(g.shape))
	}
	return c
}

func layoutOf(s model.Shape) layout {
	return layout{s.Tasks, s.PerTask.Accelerators, s.Locality}
}

// guaranteeOf returns the guarantee that a job names, or nil.
func (c *checker) guaranteeOf(job *replayedJob) *guarantee {
	if job.Job.Shape == "" {
		return nil
	}
	return c.byKey[shapeKey{job.Job.Workspace, job.Job.Shape}]
}

// queued records that a job is queued.
func (c *checker) queued(job *replayedJob) {
	if g := c.guaranteeOf(job); g != nil {
		c.remove(job)
		g.waiting = append(g.waiting, job)
	}
}

// started records that a job starts. A job that did not wait does not change
// since when the waiting claims could start.
func (c *checker) started(now time.Duration, job *replayedJob) {
	g := c.guaranteeOf(job)
	if g == nil {
		return
	}
	c.remove(job)
	g.holders = append(g.holders, job)
	waited := job.queuedSince < now
	if waited && len(g.startableSince) > 0 {
		g.startableSince = g.startableSince[1:]
		g.lateCounted = max(g.lateCounted-1, 0)
	}
}

// released records that a job no longer holds its shape.
func (c *checker) released(job *replayedJob) { c.remove(job) }

// remove removes a job from its guarantee.
func (c *checker) remove(job *replayedJob) {
	if g := c.guaranteeOf(job); g != nil {
		same := func(other *replayedJob) bool { return other == job }
		g.holders = slices.DeleteFunc(g.holders, same)
		g.waiting = slices.DeleteFunc(g.waiting, same)
	}
}

// exemptUntil returns the end of the time in which claims do not count as late
// because of a lost or failing worker, and false outside of such a time.
func (c *checker) exemptUntil(at time.Duration) (time.Duration, bool) {
	end, exempt := time.Duration(0), false
	for _, fault := range c.trace.Faults {
		until := fault.Window.To + faultExemption
		if fault.Kind == FaultFailing {
			until = fault.Window.To + failingWorkerExemption
		}
		if at >= fault.Window.From && at < until {
			end, exempt = max(end, until), true
		}
	}
	return end, exempt
}

// check looks for violations. It returns the time at which it has to be called
// again if no event comes before.
func (c *checker) check(now time.Duration, cluster *cluster) (time.Duration, bool) {
	if cluster.anyLost() || c.recentlyLost(now) {
		c.shapesUnmet = false
	} else {
		c.checkShapes(now, cluster)
	}
	next, found := time.Duration(0), false
	for _, g := range c.guarantees {
		checkAt, ok := c.checkClaims(now, g)
		if ok && (!found || checkAt < next) {
			next, found = checkAt, true
		}
	}
	return next, found
}

// recentlyLost reports whether a worker is lost or returned less than
// faultExemption ago.
func (c *checker) recentlyLost(now time.Duration) bool {
	for _, fault := range c.trace.Faults {
		if fault.Kind == FaultLost && now >= fault.Window.From && now < fault.Window.To+faultExemption {
			return true
		}
	}
	return false
}

// checkShapes counts a violation when the shapes that are not held no longer fit
// at once beside the holders.
func (c *checker) checkShapes(now time.Duration, cluster *cluster) {
	free := make([]int, len(cluster.workers))
	for i, w := range cluster.workers {
		free[i] = w.Capacity.Accelerators
	}
	fit := c.shapesFit(cluster, free, make([]int, len(c.packer.layouts)), 0)
	if !fit && !c.shapesUnmet {
		c.unmetCount++
		c.recordViolation(now, "the guaranteed shapes cannot all be met")
	}
	c.shapesUnmet = !fit
}

// shapesFit reports whether the shapes from the given one on fit in addition to
// those in counts. When more running gangs claim a shape than the guarantee
// covers, any of them may count as its holders.
func (c *checker) shapesFit(cluster *cluster, free, counts []int, from int) bool {
	if from == len(c.guarantees) {
		return c.packer.fits(free, counts)
	}
	g := c.guarantees[from]
	held := min(len(g.holders), g.shape.Count)
	counts[g.layoutIndex] += g.shape.Count - held
	found := c.tryHolders(cluster, free, counts, from, g.holders, held)
	counts[g.layoutIndex] -= g.shape.Count - held
	return found
}

// tryHolders tries every choice of the remaining holders among the gangs.
func (c *checker) tryHolders(cluster *cluster, free, counts []int, from int, gangs []*replayedJob, remaining int) bool {
	if remaining == 0 {
		return c.shapesFit(cluster, free, counts, from+1)
	}
	for i := 0; i+remaining <= len(gangs); i++ {
		gangs[i].subtractFrom(cluster, free, 1)
		found := c.tryHolders(cluster, free, counts, from, gangs[i+1:], remaining-1)
		gangs[i].subtractFrom(cluster, free, -1)
		if found {
			return true
		}
	}
	return false
}

// subtractFrom subtracts the accelerators of a running job from free, or adds
// them back when sign is -1.
func (job *replayedJob) subtractFrom(cluster *cluster, free []int, sign int) {
	for _, member := range job.members {
		free[cluster.index[member.Worker]] -= sign * len(member.Accelerators)
	}
}

// checkClaims counts a violation for each claim that could have started in time
// and did not. It returns the time at which the next claim becomes late.
func (c *checker) checkClaims(now time.Duration, g *guarantee) (time.Duration, bool) {
	startable := 0
	for _, job := range g.waiting {
		if now >= job.exemptUntil {
			startable++
		}
	}
	startable = max(min(startable, g.shape.Count-len(g.holders)), 0)
	for len(g.startableSince) < startable {
		g.startableSince = append(g.startableSince, now)
	}
	g.startableSince = g.startableSince[len(g.startableSince)-startable:]
	g.lateCounted = min(g.lateCounted, startable)
	if until, exempt := c.exemptUntil(now); exempt {
		for i := range g.startableSince {
			g.startableSince[i] = now
		}
		g.lateCounted = 0
		return until, startable > 0
	}
	for g.lateCounted < startable && now+startDelay-g.startableSince[g.lateCounted] > claimStartLimit {
		g.lateCounted++
		c.countLateClaim(now, g)
	}
	if g.lateCounted < startable {
		return g.startableSince[g.lateCounted] + claimStartLimit - startDelay + time.Millisecond, true
	}
	return 0, false
}

// countLateClaim counts a claim that did not start in time.
func (c *checker) countLateClaim(now time.Duration, g *guarantee) {
	c.lateCount++
	c.recordViolation(now, "a claim of shape "+g.shape.Name+" did not start in time")
}

// maxRecordedViolations bounds the violations that are described.
const maxRecordedViolations = 20

// recordViolation describes a violation and the gangs that hold shapes then.
func (c *checker) recordViolation(now time.Duration, description string) {
	if len(c.violations) >= maxRecordedViolations {
		return
	}
	text := now.String() + ": " + description + "; held:"
	for _, g := range c.guarantees {
		for _, job := range g.holders {
			text += " " + g.shape.Name + "=" + string(job.Job.ID) + "@" + job.workerNames()
		}
	}
	c.violations = append(c.violations, text)
}
