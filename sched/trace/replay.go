package trace

import (
	"container/heap"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

const (
	// startDelay is the duration of the three steps of a gang start.
	startDelay = 500 * time.Millisecond
	// checkpointInterval is the run time between periodic checkpoints.
	checkpointInterval = 5 * time.Minute
	// failingTaskRunTime is how long a failing task runs before it fails.
	failingTaskRunTime = 10 * time.Second
	// lostWorkerStopDelay is the time after which the tasks on a lost worker
	// have certainly stopped: the task lease plus the clock margin.
	lostWorkerStopDelay = 15200 * time.Millisecond
	// maxDrainTime bounds the replay after the end of the arrivals.
	maxDrainTime = 48 * time.Hour
	// firstTickDelay and tickInterval determine when Schedule is called after
	// the last event, for policies that wait for a time to pass.
	firstTickDelay = time.Second
	tickInterval   = 15 * time.Second
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventArrival eventKind = iota
	eventCancel
	// eventEnd is the end of an attempt that was not told to stop.
	eventEnd
	// eventStopped is the end of an attempt that was told to stop.
	eventStopped
	eventLost
	eventReturned
	// eventCheck makes the checker look for late claims.
	eventCheck
	eventTick
)

// event is an entry of the event heap. Events at the same time are handled in the
// order in which they were pushed.
type event struct {
	at            time.Duration
	sequence      int
	kind          eventKind
	job           *replayedJob
	attemptSerial int
	worker        int
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

// replay runs one trace against one policy.
type replay struct {
	trace    Trace
	policy   Policy
	now      time.Duration
	events   eventHeap
	sequence int
	cluster  *cluster
	jobs     []*replayedJob
	byID     map[ident.Job]*replayedJob
	// liveJobs counts the accepted jobs that have not ended.
	liveJobs int
	lastTick time.Duration
	// nextCheck is the time of the earliest scheduled check of claims.
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
		cluster: newCluster(t.Workers),
		byID:    make(map[ident.Job]*replayedJob, len(t.Arrivals)),
	}
	r.checker = newChecker(t)
	r.meter = newMeter(t)
	for _, w := range t.Workers {
		policy.AddWorker(Epoch, w)
	}
	if err := policy.ApplyPlan(Epoch, t.Plan); err != nil {
		return nil, errors.Wrap(err, "apply the plan of the trace")
	}
	r.scheduleEvents()
	for len(r.events) > 0 && r.now <= t.Length+maxDrainTime {
		if err := r.step(); err != nil {
			return nil, errors.Wrapf(err, "trace %s at %v", t.Name, r.now)
		}
	}
	return r.outcome(), nil
}

// scheduleEvents pushes the events of the arrivals, cancellations and faults.
func (r *replay) scheduleEvents() {
	for i := range r.trace.Arrivals {
		a := &r.trace.Arrivals[i]
		job := &replayedJob{Arrival: a, state: stateNotSubmitted}
		r.jobs = append(r.jobs, job)
		r.byID[a.Job.ID] = job
		r.push(event{at: a.At, kind: eventArrival, job: job})
		if a.CancelAt > 0 {
			r.push(event{at: a.CancelAt, kind: eventCancel, job: job})
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
	checkAt, ok := r.checker.check(r.now, r.cluster)
	if ok && (r.nextCheck <= r.now || checkAt < r.nextCheck) {
		r.push(event{at: checkAt, kind: eventCheck})
		r.nextCheck = checkAt
	}
	r.scheduleTick(onlyTicks)
	return nil
}

// clock returns the virtual time.
func (r *replay) clock() time.Time { return Epoch.Add(r.now) }

// scheduleTick makes sure that the policy is called again while jobs are live.
func (r *replay) scheduleTick(afterTick bool) {
	if r.liveJobs == 0 {
		return
	}
	next := r.now + firstTickDelay
	if afterTick {
		next = r.now + tickInterval
	}
	if r.lastTick <= r.now || next < r.lastTick {
		r.push(event{at: next, kind: eventTick})
		r.lastTick = next
	}
}

// handle handles one event.
func (r *replay) handle(e event) error {
	switch e.kind {
	case eventArrival:
		r.submit(e.job)
	case eventCancel:
		return r.cancel(e.job)
	case eventEnd:
		r.attemptEnded(e.job, e.attemptSerial)
	case eventStopped:
		r.attemptStopped(e.job, e.attemptSerial)
	case eventLost:
		r.removeWorker(e.worker)
	case eventReturned:
		r.cluster.lost[e.worker] = false
		r.policy.AddWorker(r.clock(), r.trace.Workers[e.worker])
	}
	return nil
}

// submit submits a job to the policy.
func (r *replay) submit(job *replayedJob) {
	if err := r.policy.Submit(r.clock(), job.Job); err != nil {
		job.state = stateRefused
		return
	}
	r.liveJobs++
	job.state = stateQueued
	job.queuedSince = r.now
	r.checker.queued(job)
}

// cancel asks the policy to cancel a job that has not ended.
func (r *replay) cancel(job *replayedJob) error {
	if job.ended() || job.state == stateNotSubmitted {
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
		r.endJob(job, stateCanceled)
	case stateRunning:
		return errors.Newf("policy did not stop the canceled job %s", job.Job.ID)
	}
	return nil
}

// endJob ends a job.
func (r *replay) endJob(job *replayedJob, state replayedJobState) {
	if job.state == stateQueued {
		job.timeInQueue += r.now - job.queuedSince
	}
	job.state = state
	job.endedAt = r.now
	r.liveJobs--
	r.checker.remove(job)
}

// removeWorker removes a worker. A gang with a member on it stops as a whole.
func (r *replay) removeWorker(worker int) {
	r.cluster.lost[worker] = true
	id := r.trace.Workers[worker].ID
	r.policy.RemoveWorker(r.clock(), id)
	for _, job := range r.jobs {
		if (job.state == stateRunning || job.state == stateStopping) && job.runsOn(id) {
			job.state = stateStopping
			job.stopOutcome = model.OutcomeWorkerLost
			job.stopRequestedAt = r.now
			job.attemptSerial++
			r.checker.released(job)
			r.push(event{at: r.now + lostWorkerStopDelay, kind: eventStopped, job: job, attemptSerial: job.attemptSerial})
		}
	}
}
