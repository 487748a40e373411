package batch

import (
	"slices"
	"time"
)

// Workers differ in speed, and their speed changes while runs are in progress. The progress
// that runs report tells how fast a worker is: the tasks of a step have about the same work, so
// that a run is compared with those of its siblings on other workers, or with the expected
// duration if there are none.

const (
	// minStallTime is the least time without progress after which a run counts as stalled.
	minStallTime = 700 * time.Millisecond
	// stallShare is the share of its expected duration that a run may take without progress.
	// A run on a worker five times as slow and away from its data, which takes three times as
	// long, advances by one percent in that time.
	stallShare = 0.15
	// stallTimeout is the longest time without progress before a run counts as stalled, and
	// maxStalledStay before a stalled run is moved in any case.
	stallTimeout   = 5 * time.Second
	maxStalledStay = 10 * time.Second
	// relocationTime is what a stop and a new start take, beside the work.
	relocationTime = 800 * time.Millisecond
	// minObservedSpan is the least time between two reports whose difference tells a rate.
	minObservedSpan = 300 * time.Millisecond
	// certainSlowness is the share of the expected rate below which a run without siblings
	// counts as slowed by its worker: declared durations are off by a factor of up to four.
	certainSlowness = 0.15
)

// The events of a worker whose estimated speed falls below health.SlowSpeed, and rises above it.
const (
	EventSlow    = "worker is slow"
	EventNotSlow = "worker is no longer slow"
)

// observation is what the latest report of a run told.
type observation struct {
	// at is when the report arrived, clockMs the worker's clock when it was made.
	at      time.Time
	clockMs int64
	// advanced is by how many percent the run had advanced since the report before, over span.
	// The span is zero if that is not known.
	advanced int
	span     time.Duration
}

// observe records the progress in a report.
func (t *task) observe(percent int, clockMs int64, now time.Time) {
	last := t.observed
	t.observed = observation{at: now, clockMs: clockMs}
	if last.at.IsZero() || t.percent >= 100 {
		return
	}
	t.observed.advanced = percent - t.percent
	t.observed.span = time.Duration(clockMs-last.clockMs) * time.Millisecond
}

// observeSpeed updates the estimate of a worker's speed after a report.
func (s *Scheduler) observeSpeed(w *worker, now time.Time) {
	if w.isCold(now) {
		return // It is slow for a known time.
	}
	total, n := 0.0, 0
	span := time.Duration(0)
	for _, t := range w.active {
		share, ok := s.observedShare(t, now)
		if !ok {
			continue
		}
		total += share
		span = max(span, t.observed.span)
		n++
	}
	if n == 0 {
		return
	}
	before := w.speed.Slow(now)
	w.speed.Observe(now, total/float64(n), span)
	if slow := w.speed.Slow(now); slow != before {
		s.logSpeed(w, slow, now)
	}
}

// observedShare returns at which share of the usual rate the run advanced between the two latest
// reports. It returns false if they tell nothing about the worker's speed.
func (s *Scheduler) observedShare(t *task, now time.Time) (float64, bool) {
	if !t.observed.at.Equal(now) || t.observed.span < minObservedSpan || t.observed.advanced < 0 ||
		t.step().LongRunning || t.step().BestEffort || t.stop.requested || s.isRestoring(t) {
		return 0, false
	}
	assembled := t.assembledAt()
	if assembled.IsZero() || now.Sub(assembled) < t.observed.span {
		return 0, false
	}
	rate := float64(t.observed.advanced) / t.observed.span.Seconds()
	if usual, ok := t.siblingRate(); ok {
		if t.percent >= 100 && rate < usual {
			return 0, false // The run ended within the span.
		}
		return rate / usual, true
	}
	expected := s.expectedDuration(t.job, t.step()).Seconds()
	share := rate * expected / 100
	switch {
	case expected <= 0 || t.percent >= 100:
		return 0, false
	case share < certainSlowness:
		return share, true
	default:
		return 1, true
	}
}

// isRestoring reports whether the run may still be loading its checkpoint.
func (s *Scheduler) isRestoring(t *task) bool {
	return t.resumed && t.observed.at.Sub(t.firstPercentAt) < s.timing.Restore+t.observed.span
}

// assembledAt returns since when all members of the run's gang are known to be in progress, or
// zero. The members work only together.
func (t *task) assembledAt() time.Time {
	if !t.step().Gang {
		return t.firstPercentAt
	}
	assembled := t.firstPercentAt
	for i := range t.siblings() {
		m := &t.siblings()[i]
		if m.Phase != TaskActive || m.Run != t.Run || m.firstPercentAt.IsZero() {
			return time.Time{}
		}
		if m.firstPercentAt.After(assembled) {
			assembled = m.firstPercentAt
		}
	}
	return assembled
}

// siblings returns all tasks of the run's step and occurrence.
func (t *task) siblings() []task {
	first := t.position - t.id.Index
	return t.job.tasks[first : first+t.step().Tasks]
}

// siblingRate returns the median rate, in percent a second, of the runs of the same step on
// other workers.
func (t *task) siblingRate() (float64, bool) {
	var rates []float64
	for i := range t.siblings() {
		m := &t.siblings()[i]
		if m.Worker == t.Worker || m.Phase != TaskActive || m.firstPercentAt.IsZero() {
			continue
		}
		if took := m.progressedAt.Sub(m.firstPercentAt); took >= minObservedSpan && m.percent > m.firstPercent {
			rates = append(rates, float64(m.percent-m.firstPercent)/took.Seconds())
		}
	}
	if len(rates) == 0 {
		return 0, false
	}
	slices.Sort(rates)
	return rates[len(rates)/2], true
}

// stalledFor returns for how long reports have shown no progress of the run. A member of a gang
// that has done its work waits for the others and is not stalled.
func (s *Scheduler) stalledFor(t *task) time.Duration {
	if t.percent >= 100 {
		return 0
	}
	since := t.assembledAt()
	if since.IsZero() {
		return 0
	}
	if t.progressedAt.After(since) {
		since = t.progressedAt
	}
	if s.resumedAt.After(since) {
		since = s.resumedAt
	}
	if t.resumed && t.percent == t.firstPercent {
		since = since.Add(s.timing.Restore)
	}
	if w := s.workers[t.Worker]; w != nil {
		since = w.slowUntil(since)
	}
	return max(t.observed.at.Sub(since), 0)
}

// stallLimit returns after which time without progress a run counts as stalled.
func (s *Scheduler) stallLimit(t *task) time.Duration {
	expected := s.expectedDuration(t.job, t.step())
	return min(max(time.Duration(stallShare*float64(expected)), minStallTime), stallTimeout)
}

// checkProgress keeps new work away from a worker on which a run is stalled, and stops the run if
// it is expected to end sooner elsewhere. A gang is stopped as a whole.
func (s *Scheduler) checkProgress(w *worker, t *task, now time.Time) {
	if t.step().LongRunning || !t.confirmed || t.stop.requested || now.Sub(w.reportedAt) > reportTimeout {
		return
	}
	stalled := s.stalledFor(t)
	if stalled < s.stallLimit(t) {
		t.stallLogged = false
		return
	}
	w.recordStall(now)
	if !t.stallLogged {
		t.stallLogged = true
		s.logRun("run makes no progress", t, now)
	}
	if stalled >= maxStalledStay || s.endsSoonerElsewhere(t, now.Sub(t.observed.at)+stalled) {
		for _, m := range s.members(t) {
			s.requestStop(m, ReasonStalled)
		}
	}
}

// endsSoonerElsewhere reports whether a run that has been stalled for a time is expected to end
// sooner if it is started again. A stall is expected to last as long as it has lasted.
func (s *Scheduler) endsSoonerElsewhere(t *task, stalled time.Duration) bool {
	expected := s.expectedDuration(t.job, t.step())
	saved := 0
	if t.step().Checkpoints {
		for _, m := range s.members(t) {
			saved = max(saved, m.CheckpointPercent)
		}
	}
	stay := stalled + expected*time.Duration(100-t.percent)/100
	move := relocationTime + expected*time.Duration(100-saved)/100
	if saved > 0 {
		move += s.timing.Restore
	}
	return move < stay
}

// recordStall notes that a run on the worker is stalled now.
func (w *worker) recordStall(now time.Time) {
	if now.Sub(w.stalledAt) < suspectTime/2 {
		return
	}
	w.stalledAt = now
	w.recordFault(now, suspectFaults)
	w.speed.Observe(now, 0, suspectTime)
}

// slow reports whether the worker is slower than others.
func (w *worker) slow(now time.Time) bool { return w.speed.Slow(now) }

// logSpeed logs that a worker has become slow, or is not any more.
func (s *Scheduler) logSpeed(w *worker, slow bool, now time.Time) {
	event := LogEvent{Event: EventSlow, Worker: w.info.ID, SpeedPercent: int(100 * w.speed.At(now))}
	if !slow {
		event.Event = EventNotSlow
	}
	s.logEvent(event)
}
