package gangsched

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// classKey identifies queued jobs that need the same kind of place, so that one
// failed search answers for all of them.
type classKey struct {
	tasks    int
	perTask  model.Resources
	locality model.Locality
	// runTimeLog2 is the binary order of magnitude of the expected run time in
	// minutes.
	runTimeLog2 int
}

// class holds the queued jobs with the same key.
type class struct {
	key    classKey
	queues []*jobQueue
	count  int
	// blockedGeneration is the generation in which the class last found no
	// place.
	blockedGeneration uint64
}

// jobQueue holds queued jobs of one workspace by caller.
type jobQueue struct {
	ws      *workspace
	callers []*callerQueue
}

// callerQueue holds the jobs of one caller, urgent ones first, then by arrival.
type callerQueue struct {
	caller *caller
	jobs   []*job
}

func compareQueued(a, b *job) int {
	return cmp.Or(compareUrgency(a, b), cmp.Compare(a.seq, b.seq))
}

func compareUrgency(a, b *job) int {
	if a.spec.Urgent == b.spec.Urgent {
		return 0
	}
	if a.spec.Urgent {
		return -1
	}
	return 1
}

// precedes orders jobs by workspace share, urgency, caller share and arrival.
// Urgency is compared only between jobs of one workspace.
func precedes(a, b *job) bool {
	if a.ws != b.ws {
		return cmp.Or(cmp.Compare(a.ws.share, b.ws.share), cmp.Compare(a.ws.id, b.ws.id)) < 0
	}
	return cmp.Or(compareUrgency(a, b), cmp.Compare(a.caller.share, b.caller.share), cmp.Compare(a.seq, b.seq)) < 0
}

func (q *jobQueue) add(j *job) {
	i, ok := slices.BinarySearchFunc(q.callers, j.caller.id, func(c *callerQueue, id ident.Caller) int { return cmp.Compare(c.caller.id, id) })
	if !ok {
		q.callers = slices.Insert(q.callers, i, &callerQueue{caller: j.caller})
	}
	c := q.callers[i]
	at, _ := slices.BinarySearchFunc(c.jobs, j, compareQueued)
	c.jobs = slices.Insert(c.jobs, at, j)
}

func (q *jobQueue) remove(j *job) {
	i, ok := slices.BinarySearchFunc(q.callers, j.caller.id, func(c *callerQueue, id ident.Caller) int { return cmp.Compare(c.caller.id, id) })
	if !ok {
		return
	}
	c := q.callers[i]
	at, ok := slices.BinarySearchFunc(c.jobs, j, compareQueued)
	if !ok {
		return
	}
	c.jobs = slices.Delete(c.jobs, at, at+1)
	if len(c.jobs) == 0 {
		q.callers = slices.Delete(q.callers, i, i+1)
	}
}

// best returns the job that is served next, or nil.
func (q *jobQueue) best() *job {
	var best *job
	for _, c := range q.callers {
		if head := c.jobs[0]; best == nil || precedes(head, best) {
			best = head
		}
	}
	return best
}

// bestWhere returns the job that is served next among those that match, or nil.
func (q *jobQueue) bestWhere(match func(*job) bool) *job {
	var best *job
	for _, c := range q.callers {
		i := slices.IndexFunc(c.jobs, match)
		if i >= 0 && (best == nil || precedes(c.jobs[i], best)) {
			best = c.jobs[i]
		}
	}
	return best
}

func (c *class) query() topology.Query {
	return topology.Query{Tasks: c.key.tasks, PerTask: c.key.perTask, Locality: c.key.locality}
}

func (c *class) best() *job {
	var best *job
	for _, q := range c.queues {
		if best != nil && q.ws.share > best.ws.share {
			continue
		}
		if head := q.best(); best == nil || precedes(head, best) {
			best = head
		}
	}
	return best
}

func (s *Scheduler) classFor(j *job) *class {
	key := classKey{j.spec.Tasks, j.spec.PerTask, j.spec.Locality, bits.Len64(uint64(s.remainingRunTime(j) / time.Minute))}
	c := s.classOf[key]
	if c == nil {
		c = &class{key: key}
		s.classOf[key] = c
		s.classes = append(s.classes, c)
	}
	return c
}

// remainingRunTime returns the expected run time that is left for a queued job.
// The estimate is cached for maxEstimateAge, because a decision asks for it
// many times.
func (s *Scheduler) remainingRunTime(j *job) time.Duration {
	if j.runTimeEstimate == 0 || s.now.Sub(j.runTimeEstimatedAt) >= maxEstimateAge {
		j.runTimeEstimate = s.estimator.RunTime(j.spec.Service, j.spec.Tasks, j.spec.RunTime)
		j.runTimeEstimatedAt = s.now
	}
	return max(j.runTimeEstimate-j.saved, minRemainingRunTime)
}

// maxEstimateAge is how long the estimate of a queued job is used.
const maxEstimateAge = time.Minute

// minRemainingRunTime is the shortest remaining run time that is assumed of a
// job.
const minRemainingRunTime = time.Second

func (s *Scheduler) enqueue(j *job) {
	j.state = StateQueued
	j.hadReservation = false
	s.setRunnable([]*job{j}, s.live.Find(j.query()) != nil)
	c := s.classFor(j)
	j.class = c
	c.count++
	c.blockedGeneration = 0
	i, ok := slices.BinarySearchFunc(c.queues, j.ws.id, func(q *jobQueue, id ident.Workspace) int { return cmp.Compare(q.ws.id, id) })
	if !ok {
		c.queues = slices.Insert(c.queues, i, &jobQueue{ws: j.ws})
	}
	c.queues[i].add(j)
	j.ws.queued++
	if j.spec.Shape == "" {
		return
	}
	if j.ws.claims[j.spec.Shape] == nil {
		j.ws.claims[j.spec.Shape] = &jobQueue{ws: j.ws}
	}
	j.ws.claimCount++
	j.ws.claims[j.spec.Shape].add(j)
}

func (s *Scheduler) dequeue(j *job) {
	c := j.class
	i, ok := slices.BinarySearchFunc(c.queues, j.ws.id, func(q *jobQueue, id ident.Workspace) int { return cmp.Compare(q.ws.id, id) })
	if ok {
		c.queues[i].remove(j)
		if len(c.queues[i].callers) == 0 {
			c.queues = slices.Delete(c.queues, i, i+1)
		}
	}
	c.count--
	if c.count == 0 {
		delete(s.classOf, c.key)
		s.classes = slices.DeleteFunc(s.classes, func(o *class) bool { return o == c })
	}
	j.class = nil
	j.ws.queued--
	if j.spec.Shape != "" {
		j.ws.claimCount--
		j.ws.claims[j.spec.Shape].remove(j)
	}
}
