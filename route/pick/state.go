package pick

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// serviceTimeGain is the weight of a new sample in the observed service time.
	serviceTimeGain = 0.3
	// baselineGain is the same for the baseline service time of one upstream.
	baselineGain = 0.005
	// baselineSamples is the number of first samples whose mean is the baseline.
	// With many more, a slow period would become the baseline at once.
	baselineSamples = 10
)

// state is what this process has seen of one upstream.
type state struct {
	lastSeen time.Time
	// lastReport is the arrival time of the report that creditsUsed counts from.
	lastReport time.Time
	// creditsUsed is the number of credits used since the report, less those
	// returned. It is negative when more requests ended than started.
	creditsUsed int
	inFlight    int
	// lastProgress is when the upstream last answered, or got its first request
	// after being idle.
	lastProgress   time.Time
	serviceSeconds float64
	lastObserved   time.Time
	// baselineSeconds is the long-term moving average of the service time.
	baselineSeconds float64
	samples         int
	// connectFailures counts consecutive failures to reach the upstream.
	connectFailures int
	nextProbe       time.Time
	// requestFailures counts consecutive requests that the upstream aborted.
	requestFailures int
	nextTrial       time.Time
}

func (p *Picker) state(now time.Time, id ident.Upstream) *state {
	s := p.states[id]
	if s == nil {
		s = &state{}
		p.states[id] = s
	}
	s.lastSeen = now
	return s
}

func (s *state) started(now time.Time) {
	if s.inFlight == 0 {
		s.lastProgress = now
	}
	s.inFlight++
	s.creditsUsed++
}

// sinceReport returns the change in requests in flight that the report does not
// include.
func (s *state) sinceReport(c *Candidate) int {
	if c.Reported.After(s.lastReport) {
		s.lastReport = c.Reported
		s.creditsUsed = 0
	}
	return s.creditsUsed
}

func (s *state) unreachable() bool { return s.connectFailures > 0 }

// trialInFlight reports whether an upstream that was slow is being tried with one
// request. Without this check all its slots would fill before that request is
// answered.
func (s *state) trialInFlight(fastest float64) bool {
	return s.inFlight > 0 && !s.lastObserved.IsZero() && isSlow(s.serviceSeconds, fastest)
}

// suspect reports whether the upstream aborted its last request and may get no
// other one now. After a backoff it gets one request at a time until it answers.
func (s *state) suspect(now time.Time) bool {
	return s.requestFailures > 0 && (now.Before(s.nextTrial) || s.inFlight > 0)
}

// knownServiceSeconds returns the observed service time, or else the reported
// one.
func (s *state) knownServiceSeconds(c *Candidate) (float64, bool) {
	if !s.lastObserved.IsZero() {
		return s.serviceSeconds, true
	}
	return c.ServiceTime.Seconds(), c.ServiceTime > 0
}

// estimate returns the expected service time in seconds. An old observation
// decays to the fastest service time, so that a slow upstream is tried again.
// Requests without any answer for longer than the estimate raise it, because an
// upstream that hangs completes nothing that could be observed.
func (s *state) estimate(now time.Time, c *Candidate, fastest float64) float64 {
	value, known := s.knownServiceSeconds(c)
	if !known {
		value = fastest
	}
	if !s.lastObserved.IsZero() {
		weight := decay(now.Sub(s.lastObserved), estimateHalfLife)
		value = weight*value + (1-weight)*fastest
	}
	if s.inFlight > 0 {
		value = max(value, now.Sub(s.lastProgress).Seconds())
	}
	return value
}

// Reported records the arrival of a report. Without the call the next Pick
// records it, and requests that ended in between return their credits too late.
func (p *Picker) Reported(c Candidate) {
	p.state(c.Reported, c.ID).sinceReport(&c)
}

// Result says how an attempt at an upstream ended.
type Result uint8

// The results of attempts.
const (
	// Answered means that the upstream answered.
	Answered Result = iota
	// Refused means that the agent refused the request as not run.
	Refused
	// Failed means that the upstream aborted the request.
	Failed
	// Unreachable means that the agent could not be reached from here.
	Unreachable
	// Abandoned means that the caller gave up.
	Abandoned
)

// Done ends an attempt that Pick started and that took the given time.
func (p *Picker) Done(now time.Time, id ident.Upstream, result Result, took time.Duration) {
	s := p.state(now, id)
	if s.inFlight > 0 {
		s.inFlight--
	}
	// A refused request found its slot taken, so its credit is not returned.
	if result != Refused && result != Unreachable {
		s.creditsUsed--
	}
	switch result {
	case Answered:
		s.lastProgress = now
		s.connectFailures = 0
		s.requestFailures = 0
		s.observe(now, took.Seconds())
	case Refused:
		s.lastProgress = now
		s.connectFailures = 0
	case Failed:
		p.requestFailed(now, s)
	case Unreachable:
		p.connectFailed(now, s)
	case Abandoned:
		// The time taken is a lower bound of the service time. It counts when it
		// exceeds the observed service time.
		if took.Seconds() > s.serviceSeconds {
			s.observe(now, took.Seconds())
		}
	}
}

func (s *state) observe(now time.Time, sample float64) {
	s.samples++
	gain := baselineGain
	if s.samples <= baselineSamples {
		gain = 1 / float64(s.samples)
	}
	s.baselineSeconds += (sample - s.baselineSeconds) * gain
	if s.lastObserved.IsZero() {
		s.serviceSeconds = sample
	} else {
		s.serviceSeconds += (sample - s.serviceSeconds) * serviceTimeGain
	}
	s.lastObserved = now
}

// connectFailed ranks the upstream last and schedules its next probe.
func (p *Picker) connectFailed(now time.Time, s *state) {
	if s.connectFailures > 0 && now.Before(s.nextProbe) {
		// Attempts that were in flight together count as one failure.
		return
	}
	s.nextProbe = now.Add(p.backoff(s.connectFailures))
	s.connectFailures++
}

// requestFailed excludes the upstream from further requests until its next trial.
func (p *Picker) requestFailed(now time.Time, s *state) {
	s.lastProgress = now
	if s.requestFailures > 0 && now.Before(s.nextTrial) {
		return
	}
	s.nextTrial = now.Add(p.backoff(s.requestFailures))
	s.requestFailures++
}

func (p *Picker) backoff(failures int) time.Duration {
	const maxDoublings = 16
	wait := min(p.config.ProbeBase<<min(failures, maxDoublings), p.config.ProbeMax)
	return wait/2 + time.Duration(p.random.Int64N(int64(wait/2)+1))
}

// Probes appends to out the listed upstreams that are unreachable and due for
// a probe. Each is due again after its backoff, whatever the result of the probe.
func (p *Picker) Probes(now time.Time, candidates []Candidate, out []ident.Upstream) []ident.Upstream {
	for i := range candidates {
		s := p.states[candidates[i].ID]
		if s == nil {
			continue
		}
		s.lastSeen = now
		if !s.unreachable() || now.Before(s.nextProbe) {
			continue
		}
		p.connectFailed(now, s)
		out = append(out, candidates[i].ID)
	}
	return out
}

// Probed records the result of a probe.
func (p *Picker) Probed(now time.Time, id ident.Upstream, reached bool) {
	if s := p.states[id]; s != nil && reached {
		s.lastSeen = now
		s.connectFailures = 0
	}
}

// Unreachable reports whether the last attempt to reach the upstream failed.
func (p *Picker) Unreachable(id ident.Upstream) bool {
	s := p.states[id]
	return s != nil && s.unreachable()
}

// sweep drops the state of upstreams that are no longer listed.
func (p *Picker) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < stateRetention {
		return
	}
	p.lastSweep = now
	for id, s := range p.states {
		if s.inFlight == 0 && now.Sub(s.lastSeen) >= stateRetention {
			delete(p.states, id)
		}
	}
}
