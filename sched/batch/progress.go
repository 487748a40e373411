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
	// maxStallDoublings is how often a task doubles the limit at most: minStallTime is above
	// stallTimeout then.
	maxStallDoublings = 3
	// relocationTime is what a stop and a new start take, beside the work.
	relocationTime = 800 * time.Millisecond
	// minObservedSpan is the least time between two reports whose difference tells a rate.
	minObservedSpan = 300 * time.Millisecond
	// minObservedAdvance is by how many percent a run at the usual rate advances at least in an
	// observed span. Reports have whole percents, so that a run seems to advance by up to one
	// percent too little: of three, that leaves more than health.SlowSpeed.
	minObservedAdvance = 3
	// certainSlowness is the share of the expected rate below which a run without siblings
	// counts as slowed by its worker: declared durations are off by a factor of up to four.
	certainSlowness = 0.15
)

// The events of a worker whose estimated speed falls below health.SlowSpeed, and rises above it.
const (
	EventSlow    = "worker is slow"
	EventNotSlow = "worker is no longer slow"
)

// observation is what the reports of a run have told since the latest one that updated the
// estimated speed of its worker.
type observation struct {
	// at is when the latest report arrived.
	at time.Time
	// from is when the report arrived with which span begins, percent and clockMs are its progress
	// and the worker's clock.
	from    time.Time
	percent int
	clockMs int64
	// advanced is by how many percent the run has advanced over span. The span is zero if that
	// is not known.
	advanced int
	span     time.Duration
}

// observe records the progress in a report.
func (t *task) observe(percent int, clockMs int64, now time.Time) {
	if t.observed.at.IsZero() || t.percent >= 100 {
		t.observed = observation{at: now, from: now, percent: percent, clockMs: clockMs}
		return
	}
	t.observed.at = now
	t.observed.advanced = percent - t.observed.percent
	t.observed.span = time.Duration(clockMs-t.observed.clockMs) * time.Millisecond
}

// restartSpan lets the next observed span begin with the report that arrived now.
func (t *task) restartSpan(w *worker) {
	t.observed = observation{at: t.observed.at, from: t.observed.at, percent: t.percent, clockMs: w.clockMs}
}

// observeSpeed updates the estimate of a worker's speed after a report.
func (s *Scheduler) observeSpeed(w *worker, now time.Time) {
	total, n := 0.0, 0
	span := time.Duration(0)
	rates := make(siblingRates)
	for _, t := range w.active {
		if !t.observed.at.Equal(now) || t.observed.span < minObservedSpan {
			continue
		}
		share, result := 0.0, observationUnusable
		if !w.isCold(now) { // Otherwise it is slow for a known time.
			share, result = s.observedShare(t, rates)
		}
		if result == observationTooShort {
			continue
		}
		if result == observationUsable {
			total += share
			span = max(span, t.observed.span)
			n++
		}
		t.restartSpan(w)
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

// observationResult tells whether an observed span says something about the worker's speed.
type observationResult uint8

const (
	observationUnusable observationResult = iota
	// observationTooShort means that the span has to last longer.
	observationTooShort
	observationUsable
)

// observedShare returns at which share of the usual rate the run advanced over the observed span.
func (s *Scheduler) observedShare(t *task, rates siblingRates) (float64, observationResult) {
	if t.observed.advanced < 0 || t.step().LongRunning || t.step().BestEffort || t.stop.requested || s.isRestoring(t) {
		return 0, observationUnusable
	}
	assembled := t.assembledAt()
	if assembled.IsZero() || assembled.After(t.observed.from) {
		return 0, observationUnusable
	}
	span := t.observed.span.Seconds()
	usual, hasSiblings := rates.of(t)
	if !hasSiblings {
		expected := s.expectedDuration(t.job, t.step()).Seconds()
		if expected <= 0 {
			return 0, observationUnusable
		}
		usual = 100 / expected
	}
	share := float64(t.observed.advanced) / (usual * span)
	switch {
	case t.percent >= 100 && (!hasSiblings || share < 1):
		return 0, observationUnusable // The run ended within the span.
	case max(usual*span, float64(t.observed.advanced)) < minObservedAdvance:
		return 0, observationTooShort
	case !hasSiblings && share >= certainSlowness:
		return 1, observationUsable
	default:
		return share, observationUsable
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

// siblingRates holds the result of siblingRate for the steps of one worker's runs, by the first
// task of the step, and zero if there is none: it looks at all tasks of the step.
type siblingRates map[*task]float64

func (r siblingRates) of(t *task) (float64, bool) {
	first := &t.siblings()[0]
	rate, known := r[first]
	if !known {
		rate, _ = t.siblingRate()
		r[first] = rate
	}
	return rate, rate > 0
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

// waitsForMembers reports whether the run has done its work and other members of its gang have
// not: it ends with them.
func (t *task) waitsForMembers() bool {
	if t.percent < 100 || !t.step().Gang {
		return false
	}
	return slices.ContainsFunc(t.siblings(), func(m task) bool { return m.percent < 100 })
}

// stalledFor returns for how long reports have shown no progress of the run. A member of a gang
// that has done its work waits for the others and is not stalled.
func (s *Scheduler) stalledFor(t *task) time.Duration {
	if t.waitsForMembers() {
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
	w := s.workers[t.Worker]
	if w == nil {
		return 0
	}
	// Reports that were held up on their way arrive further apart than they were made.
	made := time.Duration(w.clockMs-t.progressedMs) * time.Millisecond
	return max(min(t.observed.at.Sub(w.slowUntil(since)), made), 0)
}

// stallLimit returns after which time without progress a run counts as stalled. It doubles with
// each run of the task that was stopped: a task that takes far longer than expected would
// otherwise be stopped between any two percents and never end. A run that has done its work may
// take a while to end.
func (s *Scheduler) stallLimit(t *task) time.Duration {
	if t.percent >= 100 {
		return stallTimeout + s.timing.Restore
	}
	expected := s.expectedDuration(t.job, t.step())
	limit := max(time.Duration(stallShare*float64(expected)), minStallTime)
	return min(limit<<min(t.stalls, maxStallDoublings), stallTimeout)
}

// checkProgress keeps new work away from a worker on which a run is stalled, and stops the run if
// it is expected to end sooner elsewhere. A gang is stopped as a whole.
func (s *Scheduler) checkProgress(w *worker, t *task, now time.Time) {
	if t.step().LongRunning || !t.confirmed || t.stop.requested || now.Sub(w.reportedAt) > reportTimeout {
		return
	}
	limit := s.stallLimit(t)
	if t.observed.at.Sub(t.progressedAt) < limit { // The same as below, without a look at the gang.
		t.stallLogged = false
		return
	}
	stalled := s.stalledFor(t)
	if stalled < limit {
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
			m.stalls++
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
