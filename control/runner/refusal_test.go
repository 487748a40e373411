package runner

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// renewNothing lets the session get a renewal that renews nothing.
func renewNothing(s *session) {
	s.handle(context.Background(), rpc.RenewalMessage(batch.LeaseRenewal{}), nil)
}

// refusalsSent returns the RefusedAfter of the worker infos that the session has sent.
func refusalsSent(s *session) []int {
	var out []int
	for len(s.outbound) > 0 {
		if m := (<-s.outbound).GetWorker(); m != nil {
			var info batch.WorkerInfo
			So(json.Unmarshal(m.GetInfo(), &info), ShouldBeNil)
			out = append(out, info.RefusedAfter)
		}
	}
	return out
}

// Guards against a task that runs twice because its owner was told that nobody can carry a start
// out although a start is being sent, another process has announced itself, or the refusal is old.
func TestRefusalIsConfirmedAfterRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := func() (*Runner, *session, func()) {
			r, s, _, stop := newRefusedSession(nil, false, false)
			time.Sleep(2 * time.Second)
			So(refusalsSent(s), ShouldResemble, []int{0})
			return r, s, stop
		}
		Convey("Each renewal gets a confirmation, once a second at most", t, func() {
			_, s, stop := refused()
			defer stop()
			renewNothing(s)
			time.Sleep(unreachableRetryDelay)
			So(refusalsSent(s), ShouldResemble, []int{1})
			renewNothing(s)
			renewNothing(s)
			time.Sleep(refusalInterval - 2*unreachableRetryDelay)
			So(refusalsSent(s), ShouldBeEmpty)
			time.Sleep(4 * unreachableRetryDelay)
			So(refusalsSent(s), ShouldResemble, []int{3})
			So(s.renewal, ShouldResemble, batch.LeaseRenewal{})
		})
		Convey("There is none while a start is being sent", t, func() {
			_, s, stop := refused()
			defer stop()
			s.startSlots <- struct{}{}
			renewNothing(s)
			time.Sleep(2 * time.Second)
			So(refusalsSent(s), ShouldBeEmpty)
			<-s.startSlots
			time.Sleep(unreachableRetryDelay)
			So(refusalsSent(s), ShouldResemble, []int{1})
		})
		Convey("An agent that has started lately and heard of no process says so after a while", t, func() {
			r := newRunner(&rowWriter{}, func(string) {})
			s := r.attach()
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { s.renewLoop(ctx); close(done) }()
			defer func() { cancel(); <-done }()
			time.Sleep(firstAnnouncementTime - time.Millisecond)
			So(refusalsSent(s), ShouldResemble, []int{0}) // It opens the stream.
			time.Sleep(2 * unreachableRetryDelay)
			So(refusalsSent(s), ShouldResemble, []int{0})
			renewNothing(s)
			time.Sleep(refusalInterval + unreachableRetryDelay)
			So(refusalsSent(s), ShouldResemble, []int{1})
			r.Announce(announcement(6, 1, false))
			renewNothing(s)
			time.Sleep(30 * time.Second)
			So(refusalsSent(s), ShouldBeEmpty)
		})
		Convey("There is none for a while after a pause", t, func() {
			r := newRunner(&rowWriter{}, func(string) {})
			s := r.attach()
			time.Sleep(firstAnnouncementTime)
			s.noteRefusedAt(r.opts.Clock())
			So(r.sendRefusal(s, batch.Incarnation{}, 1), ShouldBeTrue)
			time.Sleep(maxRefusalGap + time.Millisecond)
			s.noteRefusedAt(r.opts.Clock())
			So(r.sendRefusal(s, batch.Incarnation{}, 2), ShouldBeFalse)
			time.Sleep(resumeTime)
			So(r.sendRefusal(s, batch.Incarnation{}, 2), ShouldBeTrue)
		})
		Convey("nor once another process has announced itself under the id, though it does not respond", t, func() {
			r, s, stop := refused()
			defer stop()
			r.Announce(announcement(6, 1, false))
			renewNothing(s)
			time.Sleep(30 * time.Second)
			So(refusalsSent(s), ShouldBeEmpty)
		})
	})
}
