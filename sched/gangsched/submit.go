package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// Submit queues a job, or refuses it with the reason.
func (s *Scheduler) Submit(now time.Time, spec model.Job) error {
	s.now = now
	if err := s.validate(spec); err != nil {
		return err
	}
	ws := s.workspace(spec.Workspace)
	s.sequence++
	j := &job{spec: spec, seq: s.sequence, ws: ws, caller: ws.callerOf(spec.Caller)}
	j.caller.jobs++
	s.jobs[spec.ID] = j
	s.enqueue(j)
	return nil
}

func (w *workspace) callerOf(id ident.Caller) *caller {
	c := w.callers[id]
	if c == nil {
		c = &caller{id: id}
		w.callers[id] = c
	}
	return c
}

func (s *Scheduler) validate(spec model.Job) error {
	if spec.ID == "" || spec.Tasks < 1 || spec.PerTask.Accelerators < 0 || spec.PerTask.Cores < 0 || spec.PerTask.MemoryMB < 0 || spec.RunTime < 0 || spec.Locality > model.LocalityWorker {
		return s.refuse(errkind.InvalidArgument, model.ReasonInvalid, "the job is malformed")
	}
	if s.jobs[spec.ID] != nil {
		return s.refuse(errkind.InvalidArgument, model.ReasonDuplicate, "a job with this id exists")
	}
	ws := s.workspaces[spec.Workspace]
	if ws == nil || !ws.inPlan {
		return s.refuse(errkind.InvalidArgument, model.ReasonUnknownWorkspace, "the configuration sheet has no such workspace")
	}
	if err := s.validateShape(ws, spec); err != nil {
		return err
	}
	if ws.plan.MaxQueue > 0 && ws.queued >= ws.plan.MaxQueue {
		return s.refuse(errkind.QuotaExceeded, model.ReasonQueueFull, "the queue of the workspace is full")
	}
	q := topology.Query{Tasks: spec.Tasks, PerTask: spec.PerTask, Locality: spec.Locality}
	if s.liveAndLost.Find(q) == nil {
		return s.refuse(errkind.Unschedulable, model.ReasonTooLarge, "no set of workers could hold the gang")
	}
	return nil
}

func (s *Scheduler) validateShape(ws *workspace, spec model.Job) error {
	if spec.Shape == "" {
		return nil
	}
	slots := s.allocator.SlotsOf(ws.id, spec.Shape)
	if len(slots) == 0 {
		return s.refuse(errkind.InvalidArgument, model.ReasonUnknownShape, "the workspace has no such shape")
	}
	shape := slots[0].Shape
	if shape.Tasks != spec.Tasks || shape.Locality != spec.Locality || shape.PerTask.Accelerators != spec.PerTask.Accelerators || !topology.Covers(shape.PerTask, spec.PerTask) {
		return s.refuse(errkind.InvalidArgument, model.ReasonShapeMismatch, "the job does not match its shape")
	}
	return nil
}

func (s *Scheduler) refuse(kind errkind.Kind, reason model.Reason, text string) error {
	s.counts[reason]++
	return errkind.New(kind, "%s: %s", reason, text)
}

// Cancel removes a queued job or asks for the stop of a running one.
func (s *Scheduler) Cancel(now time.Time, id ident.Job) []model.Action {
	s.now = now
	j := s.jobs[id]
	if j == nil || j.canceled {
		return nil
	}
	s.counts[model.ReasonCanceled]++
	if j.usesCapacity() {
		return s.cancelRunning(j)
	}
	if j.state == StatePending {
		s.requeuePending(j)
	}
	s.removeJob(j)
	return []model.Action{{Kind: model.ActionReport, Job: id, Attempt: j.attempt, Reason: model.ReasonCanceled}}
}

func (s *Scheduler) cancelRunning(j *job) []model.Action {
	j.canceled = true
	j.state = StateStopping
	j.stopping = model.ReasonCanceled
	s.dropTarget(j)
	return []model.Action{{Kind: model.ActionStop, Job: j.spec.ID, Attempt: j.attempt, Reason: model.ReasonCanceled, Grace: s.grace}}
}

// removeJob removes a job that holds no capacity.
func (s *Scheduler) removeJob(j *job) {
	switch j.state {
	case StateQueued:
		s.dequeue(j)
	case StateDelayed:
		s.delayed = without(s.delayed, j)
		j.ws.queued--
	}
	delete(s.jobs, j.spec.ID)
	j.caller.jobs--
	if j.caller.jobs == 0 {
		delete(j.ws.callers, j.caller.id)
	}
}
