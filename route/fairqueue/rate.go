package fairqueue

import "time"

const (
	// rateWindow is the busy time that one sample of the drain rate covers. A
	// shorter window would mistake the burst at the start of a busy period, when
	// free slots are filled at once, for the rate.
	rateWindow = 250 * time.Millisecond
	// rateGain is the weight of a new sample in the drain rate.
	rateGain = 0.25
)

// drainRate measures the slot-seconds per second that leave the queue while
// requests wait. Time with an empty queue does not count, because it says nothing
// about the capacity.
type drainRate struct {
	last       time.Time
	busyTime   time.Duration
	servedWork float64
	perSecond  float64
}

// advance accounts for the time since the last call.
func (d *drainRate) advance(now time.Time, waiting bool) {
	if waiting && now.After(d.last) {
		d.busyTime += now.Sub(d.last)
	}
	d.last = now
	if d.busyTime < rateWindow {
		return
	}
	sample := d.servedWork / d.busyTime.Seconds()
	if d.perSecond == 0 {
		d.perSecond = sample
	} else {
		d.perSecond += (sample - d.perSecond) * rateGain
	}
	d.busyTime = 0
	d.servedWork = 0
}

// served records that work left the queue.
func (d *drainRate) served(work float64) { d.servedWork += work }

// wait returns how long the queue takes to serve work, in slot-seconds, at a share
// of its rate. It returns zero when no rate is known.
func (d *drainRate) wait(work, share float64) time.Duration {
	if d.perSecond <= 0 || share <= 0 {
		return 0
	}
	return seconds(min(work/(d.perSecond*share), maxWaitSeconds))
}

// maxWaitSeconds keeps computed waits from overflowing a Duration.
const maxWaitSeconds = 3600.0
