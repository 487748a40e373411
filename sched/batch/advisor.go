package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// AdviceRequest asks the placement advisor which of the listed workers may run a
// step.
type AdviceRequest struct {
	Step StepID
	// Workers holds the upstream ids of the candidates.
	Workers []ident.Upstream
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// advisor is the state of the calls to the placement advisor, which handles those of one host one
// after another. Invariants: an owner has at most one call in progress, and no request waits for
// it; the steps that need one are found anew when the call has ended. A ticket is therefore never
// older than one call when it arrives, however many steps wait.
type advisor struct {
	// request is the request of the call in progress, or nil.
	request     *AdviceRequest
	requestedAt time.Time
	// limit is how many workers a call names at most, or zero for maxWorkersPerRequest.
	limit int
	// timeouts is how many calls in a row had no answer in time, failed whether the latest one
	// had none.
	timeouts int
	failed   bool
	// pausedUntil is the earliest time of the next call.
	pausedUntil time.Time
	// latest is how long the latest call with an answer took.
	latest time.Duration
	// lateAnswers counts the answers that took longer than their tickets are valid.
	lateAnswers int
	// servedOldest reports that the latest call was for the step that had waited longest.
	servedOldest bool
	// acceptance is the share of workers that were allowed, by queue.
	acceptance map[string]*acceptance
}

// acceptance counts the workers that the advisor was asked about, and those that it allowed.
type acceptance struct{ asked, allowed int }

const (
	// maxWorkersPerRequest limits the size of an advice request, because every
	// listed worker makes the answer longer.
	maxWorkersPerRequest = 30
	// maxAdviceTimeout is the longest time to wait for an answer, which takes longer the more
	// workers the call names.
	maxAdviceTimeout = 5 * time.Second
	// minAdviceTimeout is the shortest one, for tickets that are valid for a very short time.
	minAdviceTimeout = time.Second
	// adviceFailurePause is the time from a call that failed at once until the next one.
	adviceFailurePause = 500 * time.Millisecond
	// maxAdviceWait is how long a step waits for its call before each second call is for the
	// step that has waited longest.
	maxAdviceWait = 2 * time.Second
	// acceptanceWindow is how many answers about a worker the acceptance covers.
	acceptanceWindow = 256
)

// TakeAdviceRequests returns the requests to send to the placement advisor.
func (s *Scheduler) TakeAdviceRequests() []AdviceRequest {
	out := s.adviceRequests
	s.adviceRequests = nil
	return out
}

// idle reports whether a call may be sent.
func (a *advisor) idle(now time.Time) bool { return a.request == nil && !now.Before(a.pausedUntil) }

// serves reports whether the call in progress is for the step.
func (a *advisor) serves(step StepID) bool { return a.request != nil && a.request.Step == step }

// responsive reports whether the latest call had an answer.
func (a *advisor) responsive() bool { return !a.failed }

// callEnded adapts the number of workers in a call to the time that calls take, and lets a
// service that refuses calls recover.
func (a *advisor) callEnded(step StepID, answered bool, sent, now time.Time) {
	if !a.serves(step) {
		return
	}
	request, took := a.request, now.Sub(sent)
	a.request, a.failed = nil, !answered
	switch {
	case answered:
		a.latest, a.timeouts = took, 0
		if took <= request.Timeout/2 {
			a.limit = min(2*a.maxWorkers(), maxWorkersPerRequest)
		}
	case took >= request.Timeout:
		a.timeouts++
		a.limit = max(len(request.Workers)/2, 1)
	default:
		a.pausedUntil = now.Add(adviceFailurePause)
	}
}

func (a *advisor) maxWorkers() int { return cmp.Or(a.limit, maxWorkersPerRequest) }

// callTime returns how long a call takes, as far as known.
func (a *advisor) callTime(now time.Time) time.Duration {
	if a.request == nil {
		return a.latest
	}
	return max(a.latest, now.Sub(a.requestedAt))
}

func (a *advisor) summarize(now time.Time) AdvisorSummary {
	out := AdvisorSummary{Latest: a.latest, MaxWorkers: a.maxWorkers(), LateAnswers: a.lateAnswers, Timeouts: a.timeouts}
	if a.request != nil {
		out.InProgress = now.Sub(a.requestedAt)
	}
	return out
}

// timeout returns how long to wait for an answer: as long as its tickets can be used, and longer
// after calls without an answer, so that a slow service is heard at all.
func (a *advisor) timeout(terms catalog.AdviceTerms) time.Duration {
	usable := usableTime(terms)
	if usable <= 0 {
		return maxAdviceTimeout
	}
	return min(max(usable, minAdviceTimeout)<<min(a.timeouts, 3), maxAdviceTimeout)
}

// usableTime returns for how long after a request its tickets can be used.
func usableTime(terms catalog.AdviceTerms) time.Duration {
	return time.Duration(terms.ValidMs)*time.Millisecond - ticketExpiryMargin
}

// workersInTime returns how many workers a call may name: the answer leaves at least half of the
// tickets' usable time after the decision.
func workersInTime(terms catalog.AdviceTerms) int {
	if terms.ValidMs <= 0 || terms.PerWorkerMs <= 0 {
		return maxWorkersPerRequest
	}
	left := usableTime(terms).Milliseconds() - terms.DecideMs
	return int(min(max(left/2/terms.PerWorkerMs, 1), maxWorkersPerRequest))
}

// observe counts an answer about a worker of which nothing was known.
func (a *advisor) observe(queue string, allowed bool) {
	if a.acceptance == nil {
		a.acceptance = make(map[string]*acceptance)
	}
	seen := a.acceptance[queue]
	if seen == nil {
		seen = &acceptance{}
		a.acceptance[queue] = seen
	}
	seen.asked++
	if allowed {
		seen.allowed++
	}
	if seen.asked >= acceptanceWindow {
		seen.asked, seen.allowed = seen.asked/2, seen.allowed/2
	}
}

// adviceWant is a step that needs a call, and the workers that it would name.
type adviceWant struct {
	unit    *unit
	workers []*workerCapacity
	// hasRoom reports that the tasks could start there now or soon.
	hasRoom bool
}

// seekAdvice notes that n tasks of the unit wait and may need a call. It reports whether they have
// room on workers for which only tickets are missing, if the answer is near.
func (p *plan) seekAdvice(u *unit, n int) bool {
	a := u.advice
	if p.now.Sub(a.soughtAt) > maxWaitGap {
		a.seekingSince = p.now
	}
	a.soughtAt = p.now
	if !p.mayBeNext(u) && !p.answerIsNear(u) {
		return false
	}
	hopeful := u.withPermission(notDenied)
	chosen, hasRoom := p.workersWithRoom(hopeful, n)
	switch {
	case !hasRoom:
		a.roomSince = time.Time{}
	case a.roomSince.IsZero():
		a.roomSince = p.now
	}
	if p.mayBeNext(u) {
		if workers := p.workersToAsk(hopeful, n, chosen); len(workers) > 0 {
			p.noteWant(adviceWant{u, workers, hasRoom && p.leavesHeadroom(u, u.tasksAtOnce(n))})
		}
	}
	return slices.ContainsFunc(chosen, func(c *workerCapacity) bool { return p.lacksTicket(u, c) })
}

// mayBeNext reports whether the next call may be for the unit, of those that were not placed
// before: only the first with room and the one that has waited longest matter.
func (p *plan) mayBeNext(u *unit) bool {
	if !p.scheduler.advisor.idle(p.now) {
		return false
	}
	return p.firstWant.unit == nil || !p.firstWant.hasRoom || u.advice.seekingSince.Before(p.oldestWant.unit.advice.seekingSince)
}

func (p *plan) noteWant(w adviceWant) {
	if p.firstWant.unit == nil || w.hasRoom && !p.firstWant.hasRoom {
		p.firstWant = w
	}
	if p.oldestWant.unit == nil || w.unit.advice.seekingSince.Before(p.oldestWant.unit.advice.seekingSince) {
		p.oldestWant = w
	}
}

// tasksAtOnce returns how many of n waiting tasks start together.
func (u *unit) tasksAtOnce(n int) int {
	if u.step.Gang {
		return n
	}
	return min(n, 1)
}

// workersWithRoom returns the workers on which tasks of the unit would start now, or else once the
// runs that are being stopped have ended.
func (p *plan) workersWithRoom(u *unit, n int) ([]*workerCapacity, bool) {
	for _, view := range []capacityView{freeNow, freeSoon} {
		if chosen := p.expectedPlacement(u, n, view); chosen != nil {
			return chosen, true
		}
	}
	return nil, false
}

// workersToAsk returns the workers to name in a call: those on which the unit would start and for
// which a ticket is missing and, as far as the advisor may not allow them, others.
func (p *plan) workersToAsk(u *unit, n int, chosen []*workerCapacity) []*workerCapacity {
	var candidates []*workerCapacity
	var need int
	if chosen == nil {
		candidates = p.workersToLearn(u)
		need = u.workersNeeded(n, candidates)
	} else {
		candidates = slices.DeleteFunc(slices.Clone(chosen), func(c *workerCapacity) bool { return !p.lacksTicket(u, c) })
		need = len(candidates)
		if u.advice.lacksAnswer(candidates) {
			candidates = append(candidates, p.unknownWorkers(u, chosen)...)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(c *workerCapacity) bool { return p.askedLately(u, c, adviceRetryInterval) })
	if u.advice.lacksAnswer(candidates) {
		need = p.workersForAllowed(u, need)
	}
	return candidates[:min(len(candidates), need, p.scheduler.advisor.maxWorkers(), workersInTime(u.job.spec.Advice))]
}

// workersForAllowed returns about how many unknown workers to ask about for the given number of
// allowed ones, by the lower acceptance of the queue and of the step itself.
func (p *plan) workersForAllowed(u *unit, need int) int {
	queue := p.scheduler.advisor.acceptance[u.job.spec.QueueRef().Key()]
	if queue == nil {
		return maxWorkersPerRequest
	}
	out := queue.workersFor(need)
	if step := u.advice.acceptance(); step.asked > 0 {
		out = max(out, step.workersFor(need))
	}
	return out
}

// workersFor returns how many workers to ask about for the given number of allowed ones, with one
// to spare, and as many as possible if none was allowed so far.
func (a *acceptance) workersFor(need int) int {
	if a.allowed == 0 {
		return maxWorkersPerRequest
	}
	return (need*a.asked+a.allowed-1)/a.allowed + 1
}

// workersToLearn returns the workers to ask about for a unit without room: first those of which
// nothing is known, then those that are allowed and, if there are no others, those that are not.
func (p *plan) workersToLearn(u *unit) []*workerCapacity {
	var allowed, denied []*workerCapacity
	permitted := false
	for _, c := range p.workers {
		switch {
		case u.advice.denied(c.worker):
			if u.meetsRequirements(c) && !p.askedLately(u, c, denialRetryInterval) {
				denied = append(denied, c)
			}
		case p.suits(u, c):
			permitted = true
			if u.advice.known(c) && p.lacksTicket(u, c) {
				allowed = append(allowed, c)
			}
		}
	}
	if !permitted {
		return denied
	}
	return append(p.unknownWorkers(u, nil), allowed...)
}

// unknownWorkers returns the suitable workers that the advisor was not asked about, first those with
// the most free accelerators once pending stops have ended.
func (p *plan) unknownWorkers(u *unit, without []*workerCapacity) []*workerCapacity {
	var out []*workerCapacity
	for _, c := range p.workers {
		if !u.advice.known(c) && !slices.Contains(without, c) && p.suits(u, c) {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(x, y *workerCapacity) int { return y.freeSoon.Accelerators - x.freeSoon.Accelerators })
	return out
}

// workersNeeded returns how many of the workers would hold n tasks if they were idle.
func (u *unit) workersNeeded(n int, workers []*workerCapacity) int {
	need := 0
	for _, c := range workers {
		if n <= 0 {
			break
		}
		n -= max(u.idleCapacity(c), 1)
		need++
	}
	return need
}

func (p *plan) askedLately(u *unit, c *workerCapacity, interval time.Duration) bool {
	asked, ok := u.advice.askedAt[c.worker.info.Incarnation.Upstream]
	return ok && p.now.Sub(asked) < interval
}

// known reports whether the advisor has said something about a worker.
func (a *advice) known(c *workerCapacity) bool {
	_, ok := a.allowed[c.worker.info.Incarnation.Upstream]
	return ok
}

// lacksAnswer reports whether the advisor has said nothing about one of the workers.
func (a *advice) lacksAnswer(workers []*workerCapacity) bool {
	return slices.ContainsFunc(workers, func(c *workerCapacity) bool { return !a.known(c) })
}

// acceptance counts what the advisor has said about workers.
func (a *advice) acceptance() acceptance {
	out := acceptance{asked: len(a.allowed)}
	for _, allowed := range a.allowed {
		if allowed {
			out.allowed++
		}
	}
	return out
}

// requestAdvice queues the next request, if a step needs one and no call is in progress.
func (p *plan) requestAdvice() {
	if p.firstWant.unit == nil {
		return
	}
	want := p.nextWant()
	a, advisor := want.unit.advice, &p.scheduler.advisor
	request := &AdviceRequest{Step: want.unit.stepID(), Timeout: advisor.timeout(want.unit.job.spec.Advice)}
	a.requested = make(map[ident.Worker]Incarnation, len(want.workers))
	a.seekingSince = p.now
	for _, c := range want.workers {
		info := &c.worker.info
		a.requested[info.ID] = info.Incarnation
		a.askedAt[info.Incarnation.Upstream] = p.now
		request.Workers = append(request.Workers, info.Incarnation.Upstream)
	}
	advisor.request, advisor.requestedAt = request, p.now
	p.scheduler.adviceRequests = append(p.scheduler.adviceRequests, *request)
}

// nextWant returns the step whose turn it is: the first one in the order of placement, of those with
// room if there are any. If steps have waited for long, each second turn is that of the one that has
// waited longest, so that none waits for ever.
func (p *plan) nextWant() adviceWant {
	advisor := &p.scheduler.advisor
	overdue := p.now.Sub(p.oldestWant.unit.advice.seekingSince) >= maxAdviceWait
	if advisor.servedOldest = overdue && !advisor.servedOldest; advisor.servedOldest {
		return p.oldestWant
	}
	return p.firstWant
}
