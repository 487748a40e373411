package batch

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// startSite is where tasks of a step start.
type startSite struct {
	step   StepID
	worker ident.Worker
}

// rejections is what is known of the starts of a step that a worker has rejected in a row without
// being at fault.
type rejections struct {
	// count counts the placements of which starts were rejected, the latest at the time at.
	count int
	at    time.Time
	// until is when the step may be placed there again.
	until time.Time
}

const (
	// firstRejectionPause is how long a step is not placed again on a worker that has rejected two
	// placements in a row. It doubles with each further one, up to maxRejectionPause.
	firstRejectionPause = 200 * time.Millisecond
	maxRejectionPause   = 5 * time.Second
	// rejectionMemory is how long after a rejection the next one counts as one in a row.
	rejectionMemory = 2 * maxRejectionPause
)

// noteRejection records that the worker has rejected the start of the task's run without being at
// fault. The first time costs no pause: the room of an ended run may be free a moment later than its
// end is known. Without a clock, the start did not reach the worker.
func (t *task) noteRejection(kind AnswerKind, clockMs int64, now time.Time) {
	if kind == AnswerRejected || clockMs == 0 {
		return
	}
	site := startSite{t.stepID(), t.Worker}
	if t.job.rejections == nil {
		t.job.rejections = make(map[startSite]rejections)
	}
	r := t.job.rejections[site]
	if now.Sub(r.at) > rejectionMemory {
		r = rejections{}
	}
	if r.count == 0 || t.startedAt.After(r.at) {
		r.count++
	}
	if r.at = now; r.count > 1 {
		r.until = now.Add(min(firstRejectionPause<<min(r.count-2, 8), maxRejectionPause))
	}
	t.job.rejections[site] = r
}

// noteAcceptance ends the pause after rejections.
func (t *task) noteAcceptance() { delete(t.job.rejections, startSite{t.stepID(), t.Worker}) }

// rejectsStarts reports whether the worker has rejected starts of the unit's step too lately.
func (u *unit) rejectsStarts(w *worker, now time.Time) bool {
	if len(u.job.rejections) == 0 {
		return false
	}
	r, ok := u.job.rejections[startSite{u.stepID(), w.info.ID}]
	return ok && now.Before(r.until)
}
