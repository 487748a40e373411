package pick

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// serviceGain is the weight of a new sample in the observed service time.
	serviceGain = 0.3
	// usualGain is the same for the usual service time of one upstream.
	usualGain = 0.005
	// usualSamples is the number of samples of which the usual time is the mean
	// at first. Many more would let a slow spell become the usual at once.
	usualSamples = 10
)

// state is what this process has seen of one upstream.
type state struct {
	seen time.Time
	// report is the arrival time of the report that taken counts from.
	report time.Time
	// taken is the number of credits used since the report, less those that
	// came back. It is negative when more requests ended than started.
	taken    int
	inFlight int
	// progress is when the upstream last answered, or began to have work.
	progress time.Time
	service  float64
	observed time.Time
	// usual is the moving average over a long time.
	usual   float64
	samples int
	// failures counts the failed attempts to reach the upstream in a row.
	failures int
	probeAt  time.Time
	// faults counts the requests in a row that the upstream broke off.
	faults  int
	trialAt time.Time
}

func (p *Picker) state(now time.Time, id ident.Upstream) *state {
	s := p.states[id]
	if s == nil {
		s = &state{}
		p.states[id] = s
	}
	s.seen = now
	return s
}

func (s *state) started(now time.Time) {
	if s.inFlight == 0 {
		s.progress = now
	}
	s.inFlight++
	s.taken++
}

// sinceReport is the change in requests in flight that the report can not know
// about.
func (s *state) sinceReport(c *Candidate) int {
	if c.Reported.After(s.report) {
		s.report = c.Reported
		s.taken = 0
	}
	return s.taken
}

func (s *state) unreachable() bool { return s.failures > 0 }

// trying reports whether an upstream that was slow is being tried with one
// request. Without it all its slots would fill before that request is answered.
func (s *state) trying(usual float64) bool {
	return s.inFlight > 0 && !s.observed.IsZero() && isSlow(s.service, usual)
}

// suspect reports whether the upstream broke off its last request. After a
// backoff it gets one request at a time until it answers.
func (s *state) suspect(now time.Time) bool {
	return s.faults > 0 && (now.Before(s.trialAt) || s.inFlight > 0)
}

// known returns the observed service time, or the reported one.
func (s *state) known(c *Candidate) (float64, bool) {
	if !s.observed.IsZero() {
		return s.service, true
	}
	return c.ServiceTime.Seconds(), c.ServiceTime > 0
}

// estimate returns the expected service time. An old observation fades to the
// usual time of the service, so that a slow upstream is tried again. Requests
// without any answer for longer than the estimate raise it, because an
// upstream that hangs completes nothing that could be observed.
func (s *state) estimate(now time.Time, c *Candidate, usual float64) float64 {
	value, known := s.known(c)
	if !known {
		value = usual
	}
	if !s.observed.IsZero() {
		trust := halved(now.Sub(s.observed), estimateHalfLife)
		value = trust*value + (1-trust)*usual
	}
	if s.inFlight > 0 {
		value = max(value, now.Sub(s.progress).Seconds())
	}
	return value
}

// Reported notes the arrival of a report. Without the call the next Pick notes
// it, and requests that ended in between return their credits too late.
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
	// Failed means that the upstream broke off.
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
	// A refused request found its slot taken, so its credit did not come back.
	if result != Refused && result != Unreachable {
		s.taken--
	}
	switch result {
	case Answered:
		s.progress = now
		s.failures = 0
		s.faults = 0
		s.observe(now, took.Seconds())
	case Refused:
		s.progress = now
		s.failures = 0
	case Failed:
		p.brokeOff(now, s)
	case Unreachable:
		p.failed(now, s)
	case Abandoned:
		// The time is a lower bound, which counts when it exceeds the estimate.
		if took.Seconds() > s.service {
			s.observe(now, took.Seconds())
		}
	}
}

func (s *state) observe(now time.Time, sample float64) {
	s.samples++
	gain := usualGain
	if s.samples <= usualSamples {
		gain = 1 / float64(s.samples)
	}
	s.usual += (sample - s.usual) * gain
	if s.observed.IsZero() {
		s.service = sample
	} else {
		s.service += (sample - s.service) * serviceGain
	}
	s.observed = now
}

// failed ranks the upstream last and sets the time of its next probe.
func (p *Picker) failed(now time.Time, s *state) {
	if s.failures > 0 && now.Before(s.probeAt) {
		// Attempts that were in flight together count as one failure.
		return
	}
	s.probeAt = now.Add(p.backoff(s.failures))
	s.failures++
}

// brokeOff keeps the upstream from further requests until its next trial.
func (p *Picker) brokeOff(now time.Time, s *state) {
	s.progress = now
	if s.faults > 0 && now.Before(s.trialAt) {
		return
	}
	s.trialAt = now.Add(p.backoff(s.faults))
	s.faults++
}

func (p *Picker) backoff(failures int) time.Duration {
	const maxDoublings = 16
	wait := min(p.config.ProbeBase<<min(failures, maxDoublings), p.config.ProbeMax)
	return wait/2 + time.Duration(p.random.Int64N(int64(wait/2)+1))
}

// Probes appends to out the listed upstreams that are unreachable and due for
// a probe. Each is due again after its backoff, whatever becomes of the probe.
func (p *Picker) Probes(now time.Time, candidates []Candidate, out []ident.Upstream) []ident.Upstream {
	for i := range candidates {
		s := p.states[candidates[i].ID]
		if s == nil {
			continue
		}
		s.seen = now
		if !s.unreachable() || now.Before(s.probeAt) {
			continue
		}
		p.failed(now, s)
		out = append(out, candidates[i].ID)
	}
	return out
}

// Probed records the result of a probe.
func (p *Picker) Probed(now time.Time, id ident.Upstream, reached bool) {
	if s := p.states[id]; s != nil && reached {
		s.seen = now
		s.failures = 0
	}
}

// Unreachable reports whether the upstream could last not be reached.
func (p *Picker) Unreachable(id ident.Upstream) bool {
	s := p.states[id]
	return s != nil && s.unreachable()
}

// sweep drops the state of upstreams that are no longer listed.
func (p *Picker) sweep(now time.Time) {
	if now.Sub(p.swept) < stateLife {
		return
	}
	p.swept = now
	for id, s := range p.states {
		if s.inFlight == 0 && now.Sub(s.seen) >= stateLife {
			delete(p.states, id)
		}
	}
}
