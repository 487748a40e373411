package runner

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// coldTolerance is by how much the end of the time for which a worker is cold may differ between
// two announcements without the owner being told: they count in steps of their own and are
// delayed differently. It is below the least time without progress after which the owner takes a
// run on a warm worker as stalled.
const coldTolerance = 250 * time.Millisecond

// noteCold records until when the latest announcement calls the worker cold, and returns whether
// the owner has to be told: it counts the time itself that remains. The caller holds r.mu.
func (r *Runner) noteCold() bool {
	var until time.Duration
	if ms := r.announcement.Info.ColdForMs; ms > 0 {
		until = r.opts.Clock() + time.Duration(ms)*time.Millisecond
	}
	if (until > 0) == (r.coldUntil > 0) && (until-r.coldUntil).Abs() <= coldTolerance {
		return false
	}
	r.coldUntil = until
	return true
}

// currentInfo describes the worker as of now: it stays cold for a shorter time than when its
// process announced that. The caller holds r.mu.
func (r *Runner) currentInfo() batch.WorkerInfo {
	info := r.announcement.Info
	info.ColdForMs = max(0, (r.coldUntil - r.opts.Clock()).Milliseconds())
	return info
}
