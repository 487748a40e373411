package model

// Reason says why a job was refused, waits, was preempted or is retried. The
// list is closed; each reason has a counter.
type Reason uint8

// The reasons.
const (
	// ReasonNone is used for decisions that need no explanation.
	ReasonNone Reason = iota
	// ReasonTooLarge refuses a gang that no set of workers could ever hold.
	ReasonTooLarge
	// ReasonUnknownWorkspace refuses a job of a workspace that the sheet lacks.
	ReasonUnknownWorkspace
	// ReasonUnknownShape refuses a job that names a shape its workspace lacks.
	ReasonUnknownShape
	// ReasonShapeMismatch refuses a job that does not match the shape it names.
	ReasonShapeMismatch
	// ReasonQueueFull refuses a job beyond the workspace's queue bound.
	ReasonQueueFull
	// ReasonDuplicate refuses a job whose id exists.
	ReasonDuplicate
	// ReasonInvalid refuses a malformed job.
	ReasonInvalid
	// ReasonWaitCapacity waits because not enough accelerators are free.
	ReasonWaitCapacity
	// ReasonWaitAdjacent waits because the free accelerators are not adjacent.
	ReasonWaitAdjacent
	// ReasonWaitGuarantee waits because the place is needed for a guarantee.
	ReasonWaitGuarantee
	// ReasonWaitReservation waits because it would delay a reserved job.
	ReasonWaitReservation
	// ReasonWaitShare waits because other workspaces are further below their share.
	ReasonWaitShare
	// ReasonWaitPreemption waits for victims to stop.
	ReasonWaitPreemption
	// ReasonWaitShapeHeld waits because the workspace uses all its shapes.
	ReasonWaitShapeHeld
	// ReasonWaitShapeShort waits because the shape is short after worker losses.
	ReasonWaitShapeShort
	// ReasonWaitBackoff waits after a failed attempt.
	ReasonWaitBackoff
	// ReasonCannotRunNow reports that no current set of workers could hold it.
	ReasonCannotRunNow
	// ReasonPreemptReclaim stops work that occupies a reclaimed shape.
	ReasonPreemptReclaim
	// ReasonPreemptShare stops work above its workspace's share.
	ReasonPreemptShare
	// ReasonPreemptOverrun stops work that overran its estimate before a reservation.
	ReasonPreemptOverrun
	// ReasonPreemptConsolidate moves work to make room for a large gang.
	ReasonPreemptConsolidate
	// ReasonRetryWorkerLost starts again after a worker was lost.
	ReasonRetryWorkerLost
	// ReasonRetryStartFailed starts again after a failed start.
	ReasonRetryStartFailed
	// ReasonRetryTaskFailed starts again after a failed task.
	ReasonRetryTaskFailed
	// ReasonJobFailsEverywhere ends a job that failed on several good workers.
	ReasonJobFailsEverywhere
	// ReasonCanceled ends a job that its owner cancelled.
	ReasonCanceled

	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonNone:               "none",
	ReasonTooLarge:           "too_large",
	ReasonUnknownWorkspace:   "unknown_workspace",
	ReasonUnknownShape:       "unknown_shape",
	ReasonShapeMismatch:      "shape_mismatch",
	ReasonQueueFull:          "queue_full",
	ReasonDuplicate:          "duplicate",
	ReasonInvalid:            "invalid",
	ReasonWaitCapacity:       "wait_capacity",
	ReasonWaitAdjacent:       "wait_adjacent",
	ReasonWaitGuarantee:      "wait_guarantee",
	ReasonWaitReservation:    "wait_reservation",
	ReasonWaitShare:          "wait_share",
	ReasonWaitPreemption:     "wait_preemption",
	ReasonWaitShapeHeld:      "wait_shape_held",
	ReasonWaitShapeShort:     "wait_shape_short",
	ReasonWaitBackoff:        "wait_backoff",
	ReasonCannotRunNow:       "cannot_run_now",
	ReasonPreemptReclaim:     "preempt_reclaim",
	ReasonPreemptShare:       "preempt_share",
	ReasonPreemptOverrun:     "preempt_overrun",
	ReasonPreemptConsolidate: "preempt_consolidate",
	ReasonRetryWorkerLost:    "retry_worker_lost",
	ReasonRetryStartFailed:   "retry_start_failed",
	ReasonRetryTaskFailed:    "retry_task_failed",
	ReasonJobFailsEverywhere: "job_fails_everywhere",
	ReasonCanceled:           "canceled",
}

// Reasons returns every reason in order.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := Reason(0); r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// String returns the wire name of r.
func (r Reason) String() string {
	if r >= reasonCount {
		return "invalid_reason"
	}
	return reasonNames[r]
}
