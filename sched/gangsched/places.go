package gangsched

import (
	"math/bits"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
)

func onesCount(mask uint64) int { return bits.OnesCount64(mask) }

// maskOn returns the accelerators that places take on a worker.
func maskOn(places []guarantee.Place, n int) uint64 {
	var mask uint64
	for _, p := range places {
		if p.Worker == n {
			mask |= p.Mask
		}
	}
	return mask
}

// pendingMaskOn returns the accelerators of a worker that are set aside for a
// job.
func pendingMaskOn(j *job, n int) uint64 {
	if j.state == StatePending {
		return maskOn(j.places, n)
	}
	return maskOn(j.target, n)
}

func tasksOn(places []guarantee.Place, n int) int {
	tasks := 0
	for _, p := range places {
		if p.Worker == n {
			tasks++
		}
	}
	return tasks
}
