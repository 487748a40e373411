package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against work that does not start for as long as tickets are valid, and against a worker
// that counts as faulty, because starts carry tickets for a process that was restarted under its
// id: the next one rejects them.
func TestTicketsOfFormerProcessAreNotUsed(t *testing.T) {
	const valid = time.Minute
	Convey("The advisor is asked again after a restart", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		j := testJob("j1", 1, testStep(1, 1))
		j.NeedsAdvice = true
		b.submit(j)
		current := testIncarnation(1)
		// advise lets the advisor answer. Its tickets are valid for the current process.
		advise := func() {
			for _, request := range b.scheduler.TakeAdviceRequests() {
				b.scheduler.Advised(request.Step, []Ticket{{Worker: "u", Text: "ticket " + string(rune('0'+current.StartedMs))}}, valid, b.now, b.now)
			}
		}
		b.runCycle()
		advise()
		So(b.runCycle(), ShouldHaveLength, 1)
		b.acceptStarts()
		b.report("w1", []RunningTask{runningRow(b.starts[0], 1)}, nil)

		current = testIncarnation(2)
		info := b.scheduler.workers["w1"].info
		info.Incarnation = current
		b.scheduler.Announced(info, b.now)
		restarted, rejections := b.now, 0
		for b.now.Sub(restarted) < 2*valid {
			clock := b.now.Sub(restarted).Milliseconds() + 1
			b.scheduler.Reported("w1", Report{Incarnation: current, ClockMs: clock}, b.now)
			b.scheduler.RenewalFor("w1")
			b.runCycle()
			advise()
			started := false
			for _, o := range b.starts {
				if o.Ticket == "ticket 2" {
					started = true
					continue
				}
				rejections++
				b.scheduler.Answered(o, AnswerRejected, clock, b.now)
			}
			if started {
				break
			}
			b.advance(100 * time.Millisecond)
		}
		t.Logf("the task starts %v after the restart, %d starts were rejected", b.now.Sub(restarted), rejections)
		So(rejections, ShouldEqual, 0)
		So(b.now.Sub(restarted), ShouldBeLessThanOrEqualTo, adviceRetryInterval+200*time.Millisecond)
	})
}

// ticketBed plays workers and an advisor whose tickets are valid for the current process of a
// worker only.
type ticketBed struct {
	*avoidanceBed
	valid time.Duration
	// unanswered keeps the advisor from answering; requests counts what it was asked.
	unanswered bool
	requests   int
	// refused is a worker that the advisor does not allow, or empty.
	refused ident.Worker
}

func newTicketBed(valid time.Duration, workers ...ident.Worker) *ticketBed {
	b := &ticketBed{avoidanceBed: &avoidanceBed{testbed: newTestbed(), incarnations: make(map[ident.Worker]Incarnation)}, valid: valid}
	for _, id := range workers {
		b.addKind(id, "b", testCapacity)
	}
	return b
}

func (b *ticketBed) ticket(id ident.Worker) string {
	return fmt.Sprintf("%s-%d", id, b.incarnations[id].StartedMs)
}

func (b *ticketBed) tickets() []Ticket {
	var out []Ticket
	for id, incarnation := range b.incarnations {
		if id == b.refused {
			continue
		}
		out = append(out, Ticket{Worker: incarnation.Upstream, Text: b.ticket(id)})
	}
	return out
}

// cycle lets all workers report, the scheduler decide and the advisor answer.
func (b *ticketBed) cycle() []Order {
	for id := range b.incarnations {
		b.deliver(id, nil)
	}
	starts := b.runCycle()
	for _, request := range b.scheduler.TakeAdviceRequests() {
		b.requests++
		if !b.unanswered {
			b.scheduler.Advised(request.Step, b.tickets(), b.valid, b.now, b.now)
		}
	}
	return starts
}

// restart replaces the process of a worker under its id.
func (b *ticketBed) restart(id ident.Worker) {
	info := b.scheduler.workers[id].info
	info.Incarnation.StartedMs++
	b.incarnations[id] = info.Incarnation
	b.scheduler.Announced(info, b.now)
	b.deliver(id, nil)
}

func advisedJob(tasks, accelerators int) *Job {
	j := jobOfKind(1, testStep(tasks, accelerators))
	j.NeedsAdvice = true
	return j
}

// Guards against starts with a ticket for a process that was restarted while the advisor was
// asked.
func TestTicketsOfProcessRestartedMeanwhileAreNotUsed(t *testing.T) {
	Convey("The process is restarted while the advisor is asked", t, func() {
		b := newTicketBed(time.Minute, "w1")
		b.submit(advisedJob(1, 1))
		b.unanswered = true
		b.cycle()
		former := b.tickets()
		b.restart("w1")
		b.scheduler.Advised(StepID{Job: "j1"}, former, b.valid, b.now, b.now)
		b.unanswered = false
		So(b.cycle(), ShouldBeEmpty)
		b.advance(adviceRetryInterval)
		b.cycle()
		starts := b.cycle()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Ticket, ShouldEqual, "w1-2")
	})
}

// Guards against a worker that stays idle after its restart as long as the tickets for others are
// valid.
func TestRestartedWorkerGetsTicketWhileOthersAreValid(t *testing.T) {
	Convey("The advisor is asked again, and the tickets for the other worker stay in use", t, func() {
		b := newTicketBed(time.Minute, "w1", "w2")
		b.submit(advisedJob(3, 8))
		b.cycle()
		So(b.cycle(), ShouldHaveLength, 2)
		b.acceptStarts()
		b.advance(adviceRetryInterval)
		b.cycle()
		b.restart("w1")
		b.cycle()
		starts := b.cycle()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Ticket, ShouldEqual, "w1-2")
		So(b.requests, ShouldEqual, 2)
	})
	Convey("The advisor is asked once in a retry interval at most, also if it does not answer", t, func() {
		b := newTicketBed(time.Minute, "w1", "w2")
		b.submit(advisedJob(3, 8))
		b.cycle()
		b.cycle()
		b.acceptStarts()
		b.cycle()
		b.restart("w1")
		b.unanswered = true
		for range 40 {
			b.cycle()
			b.scheduler.Advised(StepID{Job: "j1"}, nil, 0, b.now, b.now)
			b.advance(adviceRetryInterval / 10)
		}
		So(b.requests, ShouldBeBetweenOrEqual, 4, 5)
	})
	Convey("The advisor does not allow the worker any more", t, func() {
		b := newTicketBed(time.Minute, "w1", "w2")
		b.submit(advisedJob(3, 8))
		b.cycle()
		b.cycle()
		b.acceptStarts()
		b.cycle()
		b.restart("w1")
		b.refused = "w1"
		for range 40 {
			b.cycle()
			b.advance(adviceRetryInterval / 10)
		}
		So(b.requests, ShouldEqual, 2)
	})
}

// Guards against a worker that counts as faulty because it rejects a ticket, and against starts
// that are repeated with that ticket.
func TestRejectedTicketIsNotFaultOfWorker(t *testing.T) {
	Convey("A worker rejects the ticket of a start", t, func() {
		b := newTicketBed(time.Minute, "w1")
		b.submit(advisedJob(2, 1))
		b.cycle()
		starts := b.cycle()
		So(starts, ShouldHaveLength, 2)
		b.scheduler.Answered(starts[0], AnswerRejectedTicket, b.clockMs, b.now)
		b.scheduler.Answered(starts[1], AnswerRejectedTicket, b.clockMs, b.now)
		So(b.scheduler.workers["w1"].faults, ShouldEqual, 0)
		Convey("the advisor is asked again before the next start", func() {
			So(b.cycle(), ShouldBeEmpty)
			b.advance(adviceRetryInterval)
			So(b.cycle(), ShouldBeEmpty)
			So(b.requests, ShouldEqual, 2)
			So(b.cycle(), ShouldHaveLength, 2)
		})
	})
	Convey("A ticket that came after the rejected one stays", t, func() {
		b := newTicketBed(time.Minute, "w1")
		b.submit(advisedJob(1, 1))
		b.cycle()
		starts := b.cycle()
		b.scheduler.Advised(StepID{Job: "j1"}, []Ticket{{Worker: "u-w1", Text: "newer"}}, b.valid, b.now, b.now)
		b.scheduler.Answered(starts[0], AnswerRejectedTicket, b.clockMs, b.now)
		again := b.cycle()
		So(again, ShouldHaveLength, 1)
		So(again[0].Ticket, ShouldEqual, "newer")
	})
}
