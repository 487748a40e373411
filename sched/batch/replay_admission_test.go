//go:build !race

package batch

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/lacewingpier/lacewingpier/sched/admission"
)

// admissionReplay replays a day with an entry that decides by the backlog which the owner
// publishes once a second.
type admissionReplay struct {
	*replay
	meter     BacklogMeter
	published *admission.Backlog
	nextAt    time.Duration
	// refuses is false if decisions are only recorded. returns lets refused jobs return once at
	// the time that they are told.
	refuses, returns bool
	// refused holds the decisions of the jobs that were refused, or would have been, and
	// returned those that were submitted again.
	refused, returned map[*replayJob]admission.Decision
	// accepted counts the jobs among the returned ones that were accepted then.
	accepted int
	// length is the length of the day, after the last arrivals too.
	length   time.Duration
	maxBytes int
	err      error
}

// withLoad multiplies the arrivals of all kinds.
func (s replaySite) withLoad(factor float64) replaySite {
	s.kinds = slices.Clone(s.kinds)
	for k := range s.kinds {
		s.kinds[k].arrivalsPerSecond *= factor
	}
	return s
}

func newAdmissionReplay(site replaySite, seed uint64, refuses bool) *admissionReplay {
	return &admissionReplay{
		replay: newReplay(site, seed), refuses: refuses, length: replayLength + replayDrain,
		refused: make(map[*replayJob]admission.Decision), returned: make(map[*replayJob]admission.Decision),
	}
}

func (r *admissionReplay) run() *admissionReplay {
	for ; r.at < r.length; r.at += replayTick {
		r.publish()
		for len(r.pending) > 0 && r.pending[0].submitted <= r.at {
			j := r.pending[0]
			r.pending = r.pending[1:]
			if r.admits(j) {
				r.scheduler.Load(j.spec, Record{}, false, r.now())
			}
		}
		for _, w := range r.workers {
			r.advance(w)
		}
		for _, w := range r.workers {
			if w.reportDue || r.at >= w.nextReport {
				r.report(w)
			}
		}
		r.runCycle()
	}
	return r
}

func (r *admissionReplay) publish() {
	if r.at < r.nextAt {
		return
	}
	r.nextAt = r.at + time.Second
	raw, err := r.meter.Measure(r.scheduler, r.now()).Encode()
	if err == nil {
		r.published, err = admission.Decode(raw)
	}
	r.maxBytes, r.err = max(r.maxBytes, len(raw)), cmp.Or(r.err, err)
}

func (r *admissionReplay) admits(j *replayJob) bool {
	request := AdmissionJob(j.spec, r.published)
	decision := admission.Decide(&request, r.published, 0)
	_, again := r.returned[j]
	if decision.Accepted || r.isExempt(j) {
		if again {
			r.accepted++
		}
		return true
	}
	if !again {
		r.refused[j] = decision
	}
	if r.refuses && r.returns && !again && r.at+decision.RetryAfter < r.length {
		r.returned[j] = decision
		j.submitted = r.at + decision.RetryAfter
		j.spec.AcceptedMs = testStart.Add(j.submitted).UnixMilli()
		r.pending = append(r.pending, j)
		slices.SortStableFunc(r.pending, func(a, b *replayJob) int { return cmp.Compare(a.submitted, b.submitted) })
	}
	return !r.refuses
}

// isExempt reports whether the entry accepts the job whatever its wait.
func (r *admissionReplay) isExempt(j *replayJob) bool {
	var unfinished []*Job
	for _, other := range r.scheduler.jobs {
		if other.spec.Workspace == j.spec.Workspace && !other.record.State.Final() {
			unfinished = append(unfinished, other.spec)
		}
	}
	return len(unfinished) == 0 || WithinGuarantee(r.scheduler.guarantees[j.spec.Workspace].Accelerators, unfinished, j.spec)
}

// day is one replay of a site.
type day struct {
	site replaySite
	seed uint64
	// without is the replay that only records decisions, with the one that refuses.
	without, with *admissionReplay
}

// replayDaysOf replays two days of each site under the given load, with and without refusals.
func replayDaysOf(sites []replaySite, load float64) []day {
	var days []day
	for _, site := range sites {
		for seed := range uint64(2) {
			days = append(days, day{site: site.withLoad(load), seed: seed + 1})
		}
	}
	return iter.Mapper[day, day]{MaxGoroutines: 3}.Map(days, func(d *day) day {
		out := *d
		out.without = newAdmissionReplay(d.site, d.seed, false).run()
		out.with = newAdmissionReplay(d.site, d.seed, true).run()
		return out
	})
}

// Guards against refusals, or other decisions of the scheduler, on days without an overload that
// lasts, and against a backlog that does not fit into the owner's row.
func TestFleetWithoutOverloadRefusesNothing(t *testing.T) {
	for _, d := range replayDaysOf(replaySites(), 1) {
		without, with := d.without.result(), d.with.result()
		t.Logf("%s, seed %d: earned %.3f without and %.3f with admission, backlog of %d bytes at most",
			d.site.name, d.seed, without.earnedShare, with.earnedShare, d.with.maxBytes)
		if len(d.without.refused)+len(d.with.refused) > 0 || without.earnedShare != with.earnedShare {
			t.Errorf("%s, seed %d: %d jobs were refused, %d would have been", d.site.name, d.seed, len(d.with.refused), len(d.without.refused))
		}
		if d.with.err != nil || d.with.maxBytes > admission.MaxBytes {
			t.Errorf("%s, seed %d: backlog of %d bytes: %v", d.site.name, d.seed, d.with.maxBytes, d.with.err)
		}
	}
}

// Guards against refused jobs that would have earned something, and against refusals that cost
// the callers of a fleet with six times its usual load more than they save.
func TestRefusalsUnderOverloadCostNothing(t *testing.T) {
	sites := replaySites()
	refused, earned, withoutSum, withSum, days := 0, 0, 0.0, 0.0, 0.0
	for _, d := range replayDaysOf([]replaySite{sites[0], sites[4]}, 6) {
		without, with := d.without.result(), d.with.result()
		for j := range d.without.refused {
			refused++
			if _, got := d.without.earned(j, 1); got > 0 {
				earned++
			}
		}
		for j, decision := range d.with.refused {
			if decision.RetryAfter <= 0 || j.completed != 0 {
				t.Errorf("%s: refused job %s: time to come back %s, completed after %s", d.site.name, j.spec.ID, decision.RetryAfter, j.completed)
			}
		}
		withoutSum, withSum, days = withoutSum+without.earnedShare, withSum+with.earnedShare, days+1
		t.Logf("%s, seed %d: earned %.3f without and %.3f with admission, refused %d of %d jobs, waste %.3f and %.3f", d.site.name, d.seed,
			without.earnedShare, with.earnedShare, len(d.with.refused), len(d.with.jobs), without.waste, with.waste)
	}
	t.Logf("of %d jobs that would have been refused, %d earned something", refused, earned)
	if refused == 0 || float64(earned) > 0.05*float64(refused) {
		t.Errorf("of %d jobs that would have been refused, %d earned something", refused, earned)
	}
	if withSum/days < withoutSum/days-0.02 {
		t.Errorf("callers earned %.3f with admission and %.3f without", withSum/days, withoutSum/days)
	}
}

// Guards against a time to come back at which the job is refused again, although the burst that
// it was refused for has ended.
func TestRefusedJobsAreAcceptedWhenTheyReturn(t *testing.T) {
	site := replaySites()[4]
	site.bursts = []replayBurst{{1, 40, 0, 6 * time.Second}}
	refused, returned, accepted := 0, 0, 0
	for seed := range uint64(4) {
		r := newAdmissionReplay(site, seed+1, true)
		r.returns, r.length = true, 3*time.Minute
		r.run()
		refused, returned, accepted = refused+len(r.refused), returned+len(r.returned), accepted+r.accepted
	}
	t.Logf("%d jobs were refused, %d of them returned within the day, and %d of these were accepted", refused, returned, accepted)
	if returned == 0 || 10*accepted < 7*returned {
		t.Errorf("%d of %d jobs were accepted when they returned", accepted, returned)
	}
}
