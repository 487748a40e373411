package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// replacedTasks is a worker on which another process than the announced one responds.
type replacedTasks struct {
	batchapi.Tasks
	err error
}

func (r *replacedTasks) Renew(context.Context, string, batchapi.RenewRequest) (batch.Report, error) {
	return batch.Report{}, r.err
}

// Guards against a worker that is ignored for good, because its process was restarted after
// the time of day of the machine had been set back.
func TestProcessMaySeemToStartBeforeItsPredecessor(t *testing.T) {
	for name, err := range map[string]error{
		"another process responds":                          errkind.New(errkind.StaleIncarnation, "another process responds"),
		"nothing listens at the address of the predecessor": errkind.New(errkind.Unreachable, "connection refused"),
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey("Its announcement counts once the predecessor has certainly ended: "+name, t, func() {
				events := make(map[string]int)
				r := newRunner(&rowWriter{}, func(event string) { events[event]++ })
				r.opts.Tasks = &replacedTasks{err: err}
				s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 100), wakeup: make(chan struct{}, 1)}
				r.session = s
				r.Announce(announcement(5, 1, false))
				r.Announce(announcement(3, 1, false))
				So(r.currentAnnouncement().Incarnation.StartedMs, ShouldEqual, 5)
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { s.renewLoop(ctx); close(done) }()
				time.Sleep(refusalsUntilUnreachable * renewRetryDelay)
				cancel()
				<-done
				r.Announce(announcement(3, 2, false))
				current := r.currentAnnouncement()
				So(current.Incarnation.StartedMs, ShouldEqual, 3)
				So(current.Info.Supersedes, ShouldResemble, batch.Incarnation{Upstream: "u", StartedMs: 5})
				So(current.Info.Ended, ShouldBeFalse)
				So(events["announcement_clock_back"], ShouldEqual, 1)
				Convey("and keeps what it supersedes", func() {
					r.Announce(announcement(3, 3, true))
					So(r.currentAnnouncement().Info.Supersedes.StartedMs, ShouldEqual, 5)
					r.Announce(announcement(2, 4, false))
					So(r.currentAnnouncement().Incarnation.StartedMs, ShouldEqual, 3)
				})
				Convey("which its successors do as well, until they seem to be later", func() {
					r.Announce(announcement(4, 1, false))
					So(r.currentAnnouncement().Info.Supersedes.StartedMs, ShouldEqual, 5)
					r.Announce(announcement(6, 1, false))
					So(r.currentAnnouncement().Info.Supersedes, ShouldResemble, batch.Incarnation{})
				})
			})
		})
	}
}
