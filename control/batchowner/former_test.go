package batchowner

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// infoMessage returns what an agent says of the incarnation of its worker that started at the
// given time.
func infoMessage(startedMs int64) *rpc.FromRunner {
	raw, err := json.Marshal(batch.WorkerInfo{ID: "w1", Service: "svc", Incarnation: batch.Incarnation{Upstream: "u", StartedMs: startedMs}})
	So(err, ShouldBeNil)
	return &rpc.FromRunner{Kind: &rpc.FromRunner_Worker{Worker: &rpc.WorkerInfo{Info: raw}}}
}

// Guards against a process that has ended and counts as the current one again, because a former
// stream tells of it late.
func TestFormerStreamDoesNotBringBackIncarnation(t *testing.T) {
	report := func(startedMs int64) *rpc.FromRunner {
		return rpc.ReportMessage(batch.Report{Incarnation: batch.Incarnation{Upstream: "u", StartedMs: startedMs}, ClockMs: 1 << 20})
	}
	known := func(b *loopbed) int64 {
		renewal, ok := b.scheduler.RenewalFor("w1")
		So(ok, ShouldBeTrue)
		return renewal.Incarnation.StartedMs
	}
	for _, startedMs := range []int64{3, 9} {
		Convey("A connection that was replaced changes nothing, whether it opens before or after", t, func() {
			b := newLoopbed()
			defer b.cancel()
			former := b.conn
			former.handleClosed(nil)
			next := &agentConn{loop: b.ownerLoop, worker: "w1", address: "b"}
			b.conns["w1"] = next
			next.handleOpened(make(chan *rpc.FromOwner, sendQueueSize))
			next.handleMessage(infoMessage(4))
			next.handleMessage(report(4))
			So(known(b), ShouldEqual, 4)
			former.handleMessage(infoMessage(startedMs))
			former.handleMessage(report(startedMs))
			So(known(b), ShouldEqual, 4)
			former.handleOpened(make(chan *rpc.FromOwner, sendQueueSize))
			former.handleMessage(infoMessage(startedMs))
			former.handleMessage(report(startedMs))
			So(known(b), ShouldEqual, 4)
			next.handleClosed(nil)
			former.handleOpened(make(chan *rpc.FromOwner, sendQueueSize))
			former.handleMessage(infoMessage(startedMs))
			next.handleOpened(make(chan *rpc.FromOwner, sendQueueSize))
			next.handleMessage(report(4))
			So(known(b), ShouldEqual, 4)
		})
		Convey("A connection that has opened again starts from what the agent says then", t, func() {
			b := newLoopbed()
			defer b.cancel()
			b.conn.handleMessage(infoMessage(startedMs))
			b.conn.handleMessage(report(startedMs))
			So(known(b), ShouldEqual, startedMs)
			b.conn.handleClosed(nil)
			b.conn.handleMessage(infoMessage(5))
			b.conn.handleOpened(make(chan *rpc.FromOwner, sendQueueSize))
			b.conn.handleMessage(infoMessage(4))
			b.conn.handleMessage(report(startedMs))
			_, ok := b.scheduler.RenewalFor("w1")
			So(ok, ShouldBeFalse)
			b.conn.handleMessage(report(4))
			So(known(b), ShouldEqual, 4)
		})
	}
}
