package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// reclaimBed plays a worker whose runs take time to stop, and an advisor that takes time to
// answer, beside a guaranteed gang and bulk work that fills the worker.
type reclaimBed struct {
	*ticketBed
	answerTime, stopTime time.Duration
	// silentFrom is when the advisor ceases to answer, or zero.
	silentFrom time.Time
	answers    []pendingAnswer
	// stopping holds when the runs that are being stopped end.
	stopping map[Run]time.Time
	// starts counts the starts of each job.
	starts map[ident.Job]int
}

type pendingAnswer struct {
	step StepID
	sent time.Time
}

func newReclaimBed(valid, answerTime, stopTime time.Duration) *reclaimBed {
	b := &reclaimBed{
		ticketBed: newTicketBed(valid, "w1"), answerTime: answerTime, stopTime: stopTime,
		stopping: make(map[Run]time.Time), starts: make(map[ident.Job]int),
	}
	b.scheduler.Configure(map[ident.Workspace]WorkspaceGuarantee{"ws": {Accelerators: 8}})
	bulk := testStep(8, 1)
	bulk.EstimateMs = 60000
	b.submit(testJob("bulk", 2, bulk))
	b.step()
	gang := testStep(3, 2)
	gang.Gang = true
	j := testJob("gang", 0, gang)
	j.NeedsAdvice = true
	j.AcceptedMs = b.now.UnixMilli()
	b.submit(j)
	return b
}

func (b *reclaimBed) step() {
	b.deliver("w1", b.endedRuns())
	for _, o := range b.runCycle() {
		b.starts[o.Run.Task.Job]++
	}
	b.acceptStarts()
	for _, o := range b.stops {
		b.scheduler.Answered(o, AnswerOK, b.clockMs, b.now)
		if _, ok := b.stopping[o.Run]; !ok {
			b.stopping[o.Run] = b.now.Add(b.stopTime)
		}
	}
	for _, request := range b.scheduler.TakeAdviceRequests() {
		b.answers = append(b.answers, pendingAnswer{request.Step, b.now})
	}
	b.advance(50 * time.Millisecond)
	b.answer()
}

// endedRuns returns the ends of the runs whose stop is done.
func (b *reclaimBed) endedRuns() []EndedTask {
	var ended []EndedTask
	for run, at := range b.stopping {
		if !b.now.Before(at) {
			b.ends++
			ended = append(ended, EndedTask{Number: b.ends, Run: run, Kind: EndStopped})
			delete(b.stopping, run)
		}
	}
	return ended
}

func (b *reclaimBed) answer() {
	if len(b.answers) == 0 || b.now.Before(b.answers[0].sent.Add(b.answerTime)) {
		return
	}
	a := b.answers[0]
	b.answers = b.answers[1:]
	tickets, valid := b.tickets(), b.valid
	if !b.silentFrom.IsZero() && !a.sent.Before(b.silentFrom) {
		tickets, valid = nil, 0
	}
	b.scheduler.Advised(a.step, tickets, valid, a.sent, b.now)
}

// Guards against bulk work that a guarantee stops again and again: the tickets of the guaranteed
// work run out while the runs stop, and the bulk work starts in the room that they leave.
func TestGuaranteeKeepsReclaimedRoomWhileTicketsAreRenewed(t *testing.T) {
	const valid = 5 * time.Second
	for _, answerTime := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		Convey(fmt.Sprintf("The advisor answers after %v, and runs may stop when the tickets have run out", answerTime), t, func() {
			for stopTime := 2 * time.Second; stopTime <= 9*time.Second; stopTime += 100 * time.Millisecond {
				b := newReclaimBed(valid, answerTime, stopTime)
				begin := b.now
				for b.starts["gang"] == 0 && b.now.Sub(begin) < time.Minute {
					b.step()
				}
				t.Logf("stops take %v: the gang starts after %v, the bulk tasks started %d times", stopTime, b.now.Sub(begin), b.starts["bulk"])
				So(b.starts["bulk"], ShouldEqual, 8)
				So(b.now.Sub(begin), ShouldBeLessThan, stopTime+2*answerTime+planInterval)
			}
		})
	}
}

// Guards against room that stands idle for work that gets no ticket any more.
func TestRoomIsNotKeptForLongWithoutTicket(t *testing.T) {
	const valid = 5 * time.Second
	Convey("The advisor ceases to answer once the guarantee has reclaimed the room", t, func() {
		b := newReclaimBed(valid, 300*time.Millisecond, 4600*time.Millisecond)
		b.silentFrom = b.now.Add(time.Second)
		begin := b.now
		for b.starts["bulk"] == 8 && b.now.Sub(begin) < time.Minute {
			b.step()
		}
		So(b.starts["gang"], ShouldEqual, 0)
		So(b.now.Sub(begin), ShouldBeBetween, valid, valid-ticketExpiryMargin+maxPlaceKept+2*planInterval)
	})
}
