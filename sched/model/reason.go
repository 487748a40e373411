package model

// Reason is why a job was refused, waits, was preempted or is retried. The set
// is fixed, and each reason has a counter.
type Reason uint8

// The reasons.
const (
	// ReasonNone is used for decisions that need no explanation.
	ReasonNone Reason = iota
	// ReasonTooLarge refuses a gang that no set of workers could ever hold.
	ReasonTooLarge
	// ReasonUnknownWorkspace refuses a job of a workspace that is not in the sheet.
	ReasonUnknownWorkspace
	// ReasonUnknownShape refuses a job that names a shape its workspace does not have.
	ReasonUnknownShape
	// ReasonShapeMismatch refuses a job that does not match the shape it names.
	ReasonShapeMismatch
	// ReasonQueueFull refuses a job beyond the queue limit of its workspace.
	ReasonQueueFull
	// ReasonDuplicate refuses a job whose id is already in use.
	ReasonDuplicate
	// ReasonInvalid refuses a malformed job.
	ReasonInvalid
	// ReasonWaitCapacity means that the job waits because too little capacity is
	// free, or that no other reason to wait applies.
	ReasonWaitCapacity
	// ReasonWaitAdjacent means that the job waits because enough capacity is free,
	// but not within the locality of the job.
	ReasonWaitAdjacent
	// ReasonWaitGuarantee means that the job waits because jobs inside guarantees
	// leave too little capacity for it, even if all other work ended.
	ReasonWaitGuarantee
	// ReasonWaitReservation means that the job waits because starting it would
	// delay the job that has the reservation.
	ReasonWaitReservation
	// ReasonWaitShare means that the job waits because a workspace with a lower
	// share, divided by its weight, has queued jobs.
	ReasonWaitShare
	// ReasonWaitPreemption means that the job waits for preempted jobs to stop.
	ReasonWaitPreemption
	// ReasonWaitShapeHeld means that the job waits because other jobs use the
	// guaranteed gangs of its shape.
	ReasonWaitShapeHeld
	// ReasonWaitShapeShort means that the job waits because no capacity is assigned
	// to a guaranteed gang of its shape, for example after workers were lost.
	ReasonWaitShapeShort
	// ReasonWaitBackoff means that the job waits for the retry backoff after a
	// failed attempt.
	ReasonWaitBackoff
	// ReasonCannotRunNow reports that the job would not fit on the present workers
	// even if they were idle.
	ReasonCannotRunNow
	// ReasonPreemptReclaim stops work that occupies the capacity of a claimed
	// guarantee, or a gang that has to move into its guarantee.
	ReasonPreemptReclaim
	// ReasonPreemptShare stops work of a workspace that is above its share.
	ReasonPreemptShare
	// ReasonPreemptOverrun stops work that overran its estimated run time and blocks
	// a reservation.
	ReasonPreemptOverrun
	// ReasonPreemptConsolidate moves work so that a large gang fits in the capacity
	// that it leaves.
	ReasonPreemptConsolidate
	// ReasonRetryWorkerLost starts a job again after a worker was lost.
	ReasonRetryWorkerLost
	// ReasonRetryStartFailed starts a job again after a failed start.
	ReasonRetryStartFailed
	// ReasonRetryTaskFailed starts a job again after a failed task.
	ReasonRetryTaskFailed
	// ReasonJobFailsEverywhere ends a job that failed on several workers, or many
	// times, when the workers were not the cause.
	ReasonJobFailsEverywhere
	// ReasonCanceled ends a job that its owner canceled.
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
