package fairqueue

import "time"

const (
	// rateWindow is the busy time that one sample of the drain rate covers. A
	// shorter window would take the burst at the start of a busy period, when
	// free slots are filled at once, for the rate.
	rateWindow = 250 * time.Millisecond
	// rateGain is the weight of a new sample in the drain rate.
	rateGain = 0.25
)

// drainRate measures the slot-seconds per second that leave the queue while
// requests wait. Time with an empty queue says nothing about the capacity.
type drainRate struct {
	last  time.Time
	busy  time.Duration
	work  float64
	value float64
}

// advance accounts for the time since the last call.
func (d *drainRate) advance(now time.Time, waiting bool) {
	if waiting && now.After(d.last) {
		d.busy += now.Sub(d.last)
	}
	d.last = now
	if d.busy < rateWindow {
		return
	}
	sample := d.work / d.busy.Seconds()
	if d.value == 0 {
		d.value = sample
	} else {
		d.value += (sample - d.value) * rateGain
	}
	d.busy = 0
	d.work = 0
}

// served records that work left the queue.
func (d *drainRate) served(work float64) { d.work += work }

// wait returns how long the queue takes to serve work at a share of its rate.
// It returns zero when no rate is known.
func (d *drainRate) wait(work, share float64) time.Duration {
	if d.value <= 0 || share <= 0 {
		return 0
	}
	return seconds(min(work/(d.value*share), maxWaitSeconds))
}

// maxWaitSeconds keeps computed waits far from the overflow of a Duration.
const maxWaitSeconds = 3600.0
