package batch

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// busyAdvisor is a stand-in for the placement advisor: it serves one call after the other and
// passes over those whose caller has given up. An answer takes time for each worker named.
type busyAdvisor struct {
	terms catalog.AdviceTerms
	// allows reports whether a step may run on a worker, or is nil if it may run on all.
	allows func(StepID, ident.Upstream) bool
	// silentFrom and silentUntil bound the time in which calls have no answer, refusing reports
	// that they are refused at once instead.
	silentFrom, silentUntil time.Time
	refusing                bool
	calls                   []*advisorCall
	// mostCalls is the largest number of calls at a time, and oldest the age of the oldest ticket
	// of an answer.
	mostCalls int
	oldest    time.Duration
}

type advisorCall struct {
	AdviceRequest
	sent, done time.Time
}

func (a *busyAdvisor) send(request AdviceRequest, now time.Time) {
	from := now
	if n := len(a.calls); n > 0 {
		from = a.calls[n-1].done
	}
	took := time.Duration(a.terms.DecideMs+a.terms.PerWorkerMs*int64(len(request.Workers))) * time.Millisecond
	a.calls = append(a.calls, &advisorCall{request, now, from.Add(took)})
	a.mostCalls = max(a.mostCalls, len(a.calls))
}

func (a *busyAdvisor) silent(now time.Time) bool {
	return !now.Before(a.silentFrom) && now.Before(a.silentUntil)
}

// answer hands over the answers that are due.
func (a *busyAdvisor) answer(s *Scheduler, now time.Time) {
	for len(a.calls) > 0 {
		c := a.calls[0]
		refused := a.silent(now) && a.refusing
		switch {
		case refused || now.Sub(c.sent) >= c.Timeout:
			s.Advised(c.Step, nil, 0, c.sent, now)
		case a.silent(now) || now.Before(c.done):
			return
		default:
			a.oldest = max(a.oldest, now.Sub(c.sent))
			s.Advised(c.Step, a.ticketsFor(c, now), time.Duration(a.terms.ValidMs)*time.Millisecond, c.sent, now)
		}
		a.calls = a.calls[1:]
	}
}

// ticketsFor returns tickets that say until when they are valid.
func (a *busyAdvisor) ticketsFor(c *advisorCall, now time.Time) []Ticket {
	var out []Ticket
	for _, id := range c.Workers {
		if a.allows == nil || a.allows(c.Step, id) {
			out = append(out, Ticket{Worker: id, Text: fmt.Sprint(now.Add(time.Duration(a.terms.ValidMs) * time.Millisecond).UnixMilli())})
		}
	}
	return out
}

// advisedBed plays jobs of a queue with an advisor on workers that run each task for runTime.
type advisedBed struct {
	*avoidanceBed
	advisor *busyAdvisor
	runTime time.Duration
	// endsAt holds when the runs end, startedAt when each job first started.
	endsAt    map[Run]time.Time
	startedAt map[ident.Job]time.Time
	submitted map[ident.Job]time.Time
	// rejected counts the starts whose ticket had expired.
	rejected int
}

func newAdvisedBed(workers int, terms catalog.AdviceTerms) *advisedBed {
	b := &advisedBed{
		avoidanceBed: &avoidanceBed{testbed: newTestbed(), incarnations: make(map[ident.Worker]Incarnation)},
		advisor:      &busyAdvisor{terms: terms}, runTime: 2 * time.Second, endsAt: make(map[Run]time.Time),
		startedAt: make(map[ident.Job]time.Time), submitted: make(map[ident.Job]time.Time),
	}
	for i := range workers {
		b.addKind(ident.Worker(fmt.Sprintf("w%03d", i)), "b", testCapacity)
	}
	return b
}

func (b *advisedBed) submitAdvised(id string, priority int, steps ...Step) {
	j := testJob(id, priority, steps...)
	j.NeedsAdvice, j.Advice, j.AcceptedMs = true, b.advisor.terms, b.now.UnixMilli()
	b.submitted[j.ID] = b.now
	b.submit(j)
}

// unfinished returns how many jobs have not ended.
func (b *advisedBed) unfinished() int {
	n := 0
	for _, j := range b.scheduler.jobs {
		if !j.record.State.Final() {
			n++
		}
	}
	return n
}

const advisedStep = 10 * time.Millisecond

// step lets 10 ms pass: the workers report, the advisor answers, the scheduler plans.
func (b *advisedBed) step() {
	b.advance(advisedStep)
	b.advisor.answer(b.scheduler, b.now)
	ended := make(map[ident.Worker][]EndedTask)
	for run, at := range b.endsAt {
		if t := b.scheduler.activeTask(run); t != nil && !b.now.Before(at) {
			b.ends++
			ended[t.Worker] = append(ended[t.Worker], EndedTask{Number: b.ends, Run: run, Kind: EndSucceeded})
			delete(b.endsAt, run)
		}
	}
	for id := range b.incarnations {
		b.deliver(id, ended[id])
	}
	for _, o := range b.runCycle() {
		var validUntilMs int64
		if _, err := fmt.Sscan(o.Ticket, &validUntilMs); err != nil || b.now.UnixMilli() > validUntilMs {
			b.rejected++
			b.scheduler.Answered(o, AnswerRejectedTicket, b.clockMs, b.now)
			continue
		}
		b.scheduler.Answered(o, AnswerOK, b.clockMs, b.now)
		b.endsAt[o.Run] = b.now.Add(b.runTime)
		if job := o.Run.Task.Job; b.startedAt[job].IsZero() {
			b.startedAt[job] = b.now
		}
	}
	for _, request := range b.scheduler.TakeAdviceRequests() {
		b.advisor.send(request, b.now)
	}
}

// playUntilStarted plays until all jobs have started, for a limited time, and returns how many have.
func (b *advisedBed) playUntilStarted(limit time.Duration) int {
	for end := b.now.Add(limit); b.now.Before(end) && len(b.startedAt) < len(b.submitted); {
		b.step()
	}
	return len(b.startedAt)
}

func (b *advisedBed) playFor(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.step()
	}
}

// latestStart returns the longest time from a submission to the first start.
func (b *advisedBed) latestStart() time.Duration {
	longest := time.Duration(0)
	for id, at := range b.startedAt {
		longest = max(longest, at.Sub(b.submitted[id]))
	}
	return longest
}

// usualAdvice is what the answers take at the rate of usualPause: one for all workers takes less
// time than passes until the next job.
var usualAdvice = catalog.AdviceTerms{DecideMs: 200, PerWorkerMs: 40, ValidMs: 3000}

const usualPause = time.Second

// maxIdleAfterTraffic is how long after the traffic a job may have nothing running beside room, as
// the platform's users demand it.
const maxIdleAfterTraffic = 17 * time.Second

// Guards against jobs that never start after a burst: each waiting step asked the advisor by a call
// of its own, the calls waited for one another, and each answer had expired when it came.
func TestBurstDoesNotOutlastAdvisorsTickets(t *testing.T) {
	for _, rate := range []int{1, 2, 10} {
		for _, declared := range []bool{true, false} {
			Convey(fmt.Sprintf("At %d times the usual rate, figures declared: %v", rate, declared), t, func() {
				b := newAdvisedBed(11, usualAdvice)
				for i := range 60 {
					id := fmt.Sprintf("j%d", i)
					b.submitAdvised(id, 1, testStep(1, 1))
					if !declared {
						b.scheduler.jobs[ident.Job(id)].spec.Advice = catalog.AdviceTerms{}
					}
					b.playFor(usualPause / time.Duration(rate))
				}
				trafficEnd := b.now
				So(b.playUntilStarted(time.Minute), ShouldEqual, 60)
				t.Logf("rate %d: all started %v after the traffic, the longest wait is %v, the oldest answer %v", rate, b.now.Sub(trafficEnd), b.latestStart(), b.advisor.oldest)
				So(b.now.Sub(trafficEnd), ShouldBeLessThan, maxIdleAfterTraffic)
				So(b.advisor.mostCalls, ShouldEqual, 1)
				So(b.advisor.oldest, ShouldBeLessThan, time.Duration(usualAdvice.ValidMs)*time.Millisecond-ticketExpiryMargin)
				So(b.rejected, ShouldEqual, 0)
			})
		}
	}
}

// Guards against the same where answers are worth less or more is asked for.
func TestBurstsOfOtherKindsEnd(t *testing.T) {
	shortTickets := usualAdvice
	shortTickets.ValidMs = 1500
	quarter := func(step StepID, id ident.Upstream) bool {
		hash := fnv.New32a()
		_, _ = fmt.Fprint(hash, step, id)
		return hash.Sum32()%4 == 0
	}
	for _, c := range []struct {
		name          string
		workers, jobs int
		pause         time.Duration
		terms         catalog.AdviceTerms
		steps         int
		allows        func(StepID, ident.Upstream) bool
	}{
		{"few workers allowed", 11, 22, 390 * time.Millisecond, usualAdvice, 1, quarter},
		{"more workers", 25, 22, 390 * time.Millisecond, usualAdvice, 1, nil},
		{"shorter tickets", 11, 22, 390 * time.Millisecond, shortTickets, 1, nil},
		{"shorter tickets and few workers allowed", 25, 22, 390 * time.Millisecond, shortTickets, 1, quarter},
		{"three steps a job", 11, 22, 390 * time.Millisecond, usualAdvice, 3, nil},
		{"all at once, as a new owner finds them", 11, 58, 0, usualAdvice, 1, nil},
	} {
		Convey(c.name, t, func() {
			b := newAdvisedBed(c.workers, c.terms)
			b.advisor.allows = c.allows
			for i := range c.jobs {
				steps := []Step{testStep(1, 1)}
				for len(steps) < c.steps {
					next := testStep(1, 1)
					next.DependsOn = []int{len(steps) - 1}
					steps = append(steps, next)
				}
				b.submitAdvised(fmt.Sprintf("j%d", i), 1, steps...)
				b.playFor(c.pause)
			}
			trafficEnd := b.now
			for b.unfinished() > 0 && b.now.Sub(trafficEnd) < time.Minute {
				b.step()
			}
			t.Logf("all jobs ended %v after the traffic", b.now.Sub(trafficEnd))
			So(b.unfinished(), ShouldEqual, 0)
			So(b.now.Sub(trafficEnd), ShouldBeLessThan, maxIdleAfterTraffic+time.Duration(c.steps)*b.runTime)
			So(b.advisor.mostCalls, ShouldEqual, 1)
			So(b.rejected, ShouldEqual, 0)
		})
	}
}

// Guards against urgent work and large gangs that wait for their tickets behind a burst of other
// work, and against other work that never gets its turn.
func TestAdvisorIsAskedInTheOrderOfPlacement(t *testing.T) {
	burst := func() *advisedBed {
		b := newAdvisedBed(11, usualAdvice)
		for i := range 30 {
			b.submitAdvised(fmt.Sprintf("bulk%d", i), 2, testStep(1, 1))
		}
		b.playFor(2 * time.Second)
		return b
	}
	wait := func(b *advisedBed, id ident.Job) time.Duration {
		for b.startedAt[id].IsZero() && b.now.Sub(b.submitted[id]) < time.Minute {
			b.step()
		}
		return b.now.Sub(b.submitted[id])
	}
	Convey("Urgent work starts after the call in progress and its own", t, func() {
		b := burst()
		b.submitAdvised("urgent", 0, testStep(1, 1))
		So(wait(b, "urgent"), ShouldBeLessThan, 1500*time.Millisecond)
	})
	Convey("A gang that needs several workers does as well", t, func() {
		b := burst()
		gang := testStep(4, 8)
		gang.Gang = true
		b.submitAdvised("gang", 1, gang)
		So(wait(b, "gang"), ShouldBeLessThan, 3*time.Second)
	})
	Convey("Bulk work starts while urgent work comes faster than the advisor answers", t, func() {
		b := newAdvisedBed(40, usualAdvice)
		b.submitAdvised("bulk", 2, testStep(1, 1))
		b.submitAdvised("other", 2, testStep(1, 1))
		for i := 0; b.startedAt["bulk"].IsZero() || b.startedAt["other"].IsZero(); i++ {
			b.submitAdvised(fmt.Sprintf("urgent%d", i), 0, testStep(1, 1))
			b.playFor(100 * time.Millisecond)
			So(b.now.Sub(b.submitted["bulk"]), ShouldBeLessThan, 10*time.Second)
		}
	})
}

// Guards against a step that does not start although a worker is allowed, because the advisor is
// asked about too few of them, and against calls about what has been answered.
func TestFewAllowedWorkersAreFoundUnderLoad(t *testing.T) {
	Convey("Most steps may run anywhere, one only on the last of 100 workers", t, func() {
		b := newAdvisedBed(100, usualAdvice)
		asked := make(map[StepID]map[ident.Upstream]int)
		b.advisor.allows = func(step StepID, id ident.Upstream) bool {
			if asked[step] == nil {
				asked[step] = make(map[ident.Upstream]int)
			}
			asked[step][id]++
			return step.Job != "rare" || id == "u-w099"
		}
		for i := range 20 {
			b.submitAdvised(fmt.Sprintf("j%d", i), 1, testStep(1, 1))
		}
		b.submitAdvised("rare", 1, testStep(1, 1))
		So(b.playUntilStarted(30*time.Second), ShouldEqual, 21)
		for id, n := range asked[StepID{Job: "rare"}] {
			if id != "u-w099" {
				So(n, ShouldEqual, 1)
			}
		}
	})
	Convey("A gang finds the five of 100 workers that it may run on within eight calls", t, func() {
		b := newAdvisedBed(100, usualAdvice)
		calls := make(map[string]bool)
		b.advisor.allows = func(step StepID, id ident.Upstream) bool {
			calls[b.now.String()] = calls[b.now.String()] || step.Job == "gang"
			return step.Job != "gang" || id >= "u-w095"
		}
		for i := range 5 {
			b.submitAdvised(fmt.Sprintf("j%d", i), 1, testStep(1, 1))
		}
		b.playUntilStarted(10 * time.Second)
		clear(calls)
		gang := testStep(5, 8)
		gang.Gang = true
		b.submitAdvised("gang", 1, gang)
		So(b.playUntilStarted(20*time.Second), ShouldEqual, 6)
		So(len(calls), ShouldBeLessThanOrEqualTo, 8)
	})
	Convey("A step that may run nowhere asks again seldom, and keeps nothing from other steps", t, func() {
		b := newAdvisedBed(4, usualAdvice)
		calls := 0
		b.advisor.allows = func(step StepID, id ident.Upstream) bool {
			if step.Job == "never" && id == "u-w000" {
				calls++
			}
			return step.Job != "never"
		}
		b.submitAdvised("never", 0, testStep(1, 1))
		b.playFor(25 * time.Second)
		So(calls, ShouldBeBetween, 1, 4)
		b.submitAdvised("j", 2, testStep(1, 1))
		So(b.playUntilStarted(3*time.Second), ShouldEqual, 1)
	})
}

// Guards against work that stands still after the advisor was silent, refused calls or had become
// slow, and against calls without a pause while it does so.
func TestWorkGoesOnAfterAdvisorFails(t *testing.T) {
	for _, refusing := range []bool{false, true} {
		Convey(fmt.Sprintf("It fails for 8 s in a burst, and refuses calls: %v", refusing), t, func() {
			b := newAdvisedBed(11, usualAdvice)
			b.advisor.refusing = refusing
			b.advisor.silentFrom = b.now.Add(2 * time.Second)
			b.advisor.silentUntil = b.now.Add(10 * time.Second)
			for i := range 30 {
				b.submitAdvised(fmt.Sprintf("j%d", i), 1, testStep(1, 1))
				b.playFor(200 * time.Millisecond)
			}
			b.playFor(b.advisor.silentUntil.Sub(b.now))
			recovered := b.now
			So(b.playUntilStarted(time.Minute), ShouldEqual, 30)
			t.Logf("all started %v after the failure", b.now.Sub(recovered))
			So(b.now.Sub(recovered), ShouldBeLessThan, maxIdleAfterTraffic)
			So(b.advisor.mostCalls, ShouldEqual, 1)
		})
	}
	Convey("Answers take six times as long as declared", t, func() {
		b := newAdvisedBed(11, usualAdvice)
		b.advisor.terms.DecideMs, b.advisor.terms.PerWorkerMs = 6*usualAdvice.DecideMs, 6*usualAdvice.PerWorkerMs
		for i := range 6 {
			b.submitAdvised(fmt.Sprintf("j%d", i), 1, testStep(1, 1))
			b.scheduler.jobs[ident.Job(fmt.Sprintf("j%d", i))].spec.Advice = usualAdvice
		}
		So(b.playUntilStarted(30*time.Second), ShouldEqual, 6)
	})
	Convey("An answer takes longer than its tickets are valid, which are issued at its end", t, func() {
		b := newAdvisedBed(2, catalog.AdviceTerms{DecideMs: 3200, PerWorkerMs: 40, ValidMs: 3000})
		b.submitAdvised("j", 1, testStep(1, 1))
		So(b.playUntilStarted(20*time.Second), ShouldEqual, 1)
	})
}

// Guards against calls for a step that was canceled while it waited for its turn.
func TestCanceledStepsAskNoMore(t *testing.T) {
	Convey("All but one of the waiting jobs are canceled", t, func() {
		b := newAdvisedBed(11, usualAdvice)
		for i := range 30 {
			b.submitAdvised(fmt.Sprintf("j%d", i), 1, testStep(1, 1))
		}
		b.step()
		for i := range 29 {
			b.scheduler.Cancel(ident.Job(fmt.Sprintf("j%d", i)), b.now)
			delete(b.submitted, ident.Job(fmt.Sprintf("j%d", i)))
		}
		So(b.playUntilStarted(3*time.Second), ShouldEqual, 1)
		So(slices.ContainsFunc(b.advisor.calls, func(c *advisorCall) bool { return c.Step.Job != "j29" }), ShouldBeFalse)
	})
}
