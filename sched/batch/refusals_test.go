package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// refusing is an owner with a run on w1, of whose start an attempt had no answer, and whose process
// refuses connections.
type refusing struct {
	*testbed
	run Run
}

func newRefusing(answer AnswerKind) *refusing {
	b := newTestbed()
	b.addWorker("w1", "r1")
	b.submit(testJob("j1", 1, testStep(1, 8)))
	start := b.runCycle()[0]
	b.scheduler.Answered(start, answer, b.clockMs, b.now)
	b.addWorker("w2", "r2")
	r := &refusing{b, start.Run}
	r.announce(true)
	return r
}

func (r *refusing) announce(unreachable bool) {
	info := r.scheduler.workers["w1"].info
	info.Incarnation, info.Unreachable = testIncarnation(1), unreachable
	r.scheduler.Announced(info, r.now)
}

// refuse lets the agent say that the process has refused a connection a while ago.
func (r *refusing) refuse(ago time.Duration) {
	r.scheduler.Refused("w1", testIncarnation(1), r.now.Add(-ago), r.now)
}

// play lets time pass, in which the agent says every second that the process refuses connections.
func (r *refusing) play(d time.Duration) {
	for range d / time.Second {
		r.runFor(time.Second)
		r.refuse(100 * time.Millisecond)
	}
	r.runCycle()
}

func (r *refusing) kept() bool { return r.scheduler.activeTask(r.run) != nil }

// Guards against a task that stands still for the lease of a process that does not exist: the agent
// beside its lost process would have heard of another one under the id.
func TestRunsWaitForNoLeaseWithoutSuccessor(t *testing.T) {
	for _, answer := range []AnswerKind{AnswerUnknown, AnswerOKRepeated} {
		Convey("The agent says so until 2 s after the last time at which the start may be carried out", t, func() {
			r := newRefusing(answer)
			r.refuse(0)
			r.play(13 * time.Second)
			So(r.kept(), ShouldBeTrue)
			r.play(2 * time.Second)
			So(r.kept(), ShouldBeFalse)
		})
	}
	Convey("The task starts elsewhere at once then, though no report has come from the worker since", t, func() {
		r := newRefusing(AnswerUnknown)
		r.scheduler.Attached("w1", false)
		r.scheduler.Attached("w1", true)
		for range 17 {
			r.report("w2", nil, nil)
			r.runFor(time.Second)
			r.scheduler.Refused("w1", Incarnation{}, r.now.Add(-100*time.Millisecond), r.now)
			r.report("w2", nil, nil)
			r.runCycle()
		}
		So(r.scheduler.workers["w1"].unfencedSince.IsZero(), ShouldBeFalse)
		So(r.kept(), ShouldBeFalse)
		So(r.scheduler.workers["w2"].active, ShouldHaveLength, 1)
	})
	Convey("Without the agent's word the lease is waited for", t, func() {
		r := newRefusing(AnswerUnknown)
		So(r.givesUpAfter(r.run), shouldBeAbout, lateLeaseExpiry)
	})
}

// Guards against a second run of a task: what the agent has said proves nothing any more, or not yet.
func TestRefusalsProveNothingWithoutTheirConditions(t *testing.T) {
	const later = 16 * time.Second
	for name, change := range map[string]func(r *refusing){
		"of another incarnation": func(r *refusing) {
			r.scheduler.Refused("w1", testIncarnation(2), r.now, r.now)
		},
		"before the last time": func(r *refusing) { r.refuse(5 * time.Second) },
		"of a process that is within reach": func(r *refusing) {
			r.announce(false)
			r.refuse(0)
		},
		"followed by a report": func(r *refusing) {
			r.refuse(0)
			r.report("w1", nil, nil)
		},
		"before the process was within reach": func(r *refusing) {
			r.refuse(0)
			r.announce(false)
			r.announce(true)
		},
	} {
		Convey("A refusal "+name, t, func() {
			r := newRefusing(AnswerUnknown)
			r.runFor(later)
			change(r)
			r.runCycle()
			So(r.kept(), ShouldBeTrue)
		})
	}
	Convey("A process that was restarted under the id is waited for", t, func() {
		r := newRefusing(AnswerUnknown)
		r.play(5 * time.Second)
		info := r.scheduler.workers["w1"].info
		info.Incarnation, info.Unreachable = testIncarnation(2), false
		r.scheduler.Announced(info, r.now)
		r.play(12 * time.Second)
		So(r.kept(), ShouldBeTrue)
	})
}
