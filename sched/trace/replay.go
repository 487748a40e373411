package trace

import (
	"container/heap"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

const (
	// startDelay is the time for the three steps of a gang start.
	startDelay = 500 * time.Millisecond
	// checkpointInterval is the run time between periodic checkpoints.
	checkpointInterval = 5 * time.Minute
	// failureTime is how long a task runs before it fails.
	failureTime = 10 * time.Second
	// lossDelay is the time until the tasks on a lost worker have certainly
	// stopped: the task lease plus the clock margin.
	lossDelay = 15200 * time.Millisecond
	// drainTime bounds the replay after the last arrival.
	drainTime = 48 * time.Hour
	// firstTick and nextTicks are the times of calls of Schedule after the
	// last event, for policies that wait for a time to pass.
	firstTick = time.Second
	nextTicks = 15 * time.Second
)

// eventKind says what happens.
type eventKind uint8

const (
	eventArrival eventKind = iota
	eventCancel
	// eventEnd is the end of an attempt by itself.
	eventEnd
	// eventStopped is the end of an attempt that was told to stop.
	eventStopped
	eventLost
	eventReturned
	// eventCheck makes the checker look at claims that are due.
	eventCheck
	eventTick
)

// event is one entry of the heap. Events at the same time keep their order.
type event struct {
	at       time.Duration
	sequence int
	kind     eventKind
	run      *run
	attempt  int
	worker   int
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// replay drives one policy through one trace.
type replay struct {
	trace    Trace
	policy   Policy
	now      time.Duration
	events   eventHeap
	sequence int
	cluster  *machines
	runs     []*run
	byID     map[ident.Job]*run
	// live counts the accepted jobs that have not ended.
	live     int
	lastTick time.Duration
	// nextCheck is the time of the earliest planned check of claims.
	nextCheck time.Duration
	checker   *checker
	meter     *meter
}

// Replay runs a trace against a policy until all jobs have ended or the drain
// time has passed. It returns an error when the policy breaks a rule of the
// interface, for example when it starts two jobs on one accelerator.
func Replay(t Trace, policy Policy) (*Outcome, error) {
	r := &replay{
		trace: t, policy: policy,
		cluster: newMachines(t.Workers),
		byID:    make(map[ident.Job]*run, len(t.Arrivals)),
	}
	r.checker = newChecker(t)
	r.meter = newMeter(t)
	for _, w := range t.Workers {
		policy.AddWorker(Epoch, w)
	}
	if err := policy.ApplyPlan(Epoch, t.Plan); err != nil {
		return nil, errors.Wrap(err, "plan of the trace")
	}
	r.load()
	for len(r.events) > 0 && r.now <= t.Length+drainTime {
		if err := r.step(); err != nil {
			return nil, errors.Wrapf(err, "trace %s at %v", t.Name, r.now)
		}
	}
	return r.outcome(), nil
}

// load fills the heap with the arrivals, cancellations and faults.
func (r *replay) load() {
	for i := range r.trace.Arrivals {
		a := &r.trace.Arrivals[i]
		job := &run{Arrival: a, state: stateFuture}
		r.runs = append(r.runs, job)
		r.byID[a.Job.ID] = job
		r.push(event{at: a.At, kind: eventArrival, run: job})
		if a.CancelAt > 0 {
			r.push(event{at: a.CancelAt, kind: eventCancel, run: job})
		}
	}
	for _, fault := range r.trace.Faults {
		if fault.Kind == FaultLost {
			worker := r.cluster.index[fault.Worker]
			r.push(event{at: fault.Window.From, kind: eventLost, worker: worker})
			r.push(event{at: fault.Window.To, kind: eventReturned, worker: worker})
		}
	}
}

// push adds an event.
func (r *replay) push(e event) {
	e.sequence = r.sequence
	r.sequence++
	heap.Push(&r.events, e)
}

// step handles all events of one time and lets the policy decide.
func (r *replay) step() error {
	at := r.events[0].at
	r.meter.advance(r.now, at, r.cluster)
	r.now = at
	onlyTicks := true
	for len(r.events) > 0 && r.events[0].at == at {
		e := heap.Pop(&r.events).(event)
		if e.kind != eventTick {
			onlyTicks = false
		}
		if err := r.handle(e); err != nil {
			return err
		}
	}
	for _, action := range r.policy.Schedule(r.clock()) {
		if err := r.apply(action); err != nil {
			return err
		}
	}
	due, ok := r.checker.check(r.now, r.cluster)
	if ok && (r.nextCheck <= r.now || due < r.nextCheck) {
		r.push(event{at: due, kind: eventCheck})
		r.nextCheck = due
	}
	r.planTick(onlyTicks)
	return nil
}

// clock returns the virtual time.
func (r *replay) clock() time.Time { return Epoch.Add(r.now) }

// planTick makes sure that the policy is called again while jobs are live.
func (r *replay) planTick(afterTick bool) {
	if r.live == 0 {
		return
	}
	next := r.now + firstTick
	if afterTick {
		next = r.now + nextTicks
	}
	if r.lastTick <= r.now || next < r.lastTick {
		r.push(event{at: next, kind: eventTick})
		r.lastTick = next
	}
}

// handle carries out one event.
func (r *replay) handle(e event) error {
	switch e.kind {
	case eventArrival:
		r.submit(e.run)
	case eventCancel:
		return r.cancel(e.run)
	case eventEnd:
		r.end(e.run, e.attempt)
	case eventStopped:
		r.stopped(e.run, e.attempt)
	case eventLost:
		r.lose(e.worker)
	case eventReturned:
		r.cluster.lost[e.worker] = false
		r.policy.AddWorker(r.clock(), r.trace.Workers[e.worker])
	}
	return nil
}

// submit hands a job to the policy.
func (r *replay) submit(job *run) {
	if err := r.policy.Submit(r.clock(), job.Job); err != nil {
		job.state = stateRefused
		return
	}
	r.live++
	job.state = stateQueued
	job.queuedSince = r.now
	r.checker.queued(job)
}

// cancel asks the policy to cancel a job that has not ended.
func (r *replay) cancel(job *run) error {
	if job.ended() || job.state == stateFuture {
		return nil
	}
	job.canceled = true
	for _, action := range r.policy.Cancel(r.clock(), job.Job.ID) {
		if err := r.apply(action); err != nil {
			return err
		}
	}
	switch job.state {
	case stateQueued:
		r.finish(job, stateCanceled)
	case stateRunning:
		return errors.Newf("policy did not stop the cancelled job %s", job.Job.ID)
	}
	return nil
}

// finish ends a job.
func (r *replay) finish(job *run, state runState) {
	if job.state == stateQueued {
		job.waited += r.now - job.queuedSince
	}
	job.state = state
	job.endedAt = r.now
	r.live--
	r.checker.left(job)
}

// lose takes a worker away. The members elsewhere stop with the lost ones.
func (r *replay) lose(worker int) {
	r.cluster.lost[worker] = true
	id := r.trace.Workers[worker].ID
	r.policy.RemoveWorker(r.clock(), id)
	for _, job := range r.runs {
		if (job.state == stateRunning || job.state == stateStopping) && job.uses(id) {
			job.state = stateStopping
			job.stopOutcome = model.OutcomeWorkerLost
			job.stopAsked = r.now
			job.attemptSerial++
			r.checker.stopping(job)
			r.push(event{at: r.now + lossDelay, kind: eventStopped, run: job, attempt: job.attemptSerial})
		}
	}
}
