package runner

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// unansweredStarts is a machine that does not answer starts.
type unansweredStarts struct{ *machine }

func (unansweredStarts) Start(context.Context, string, ident.FencingToken, batch.Order) batchapi.OrderResult {
	return batchapi.OrderResult{Kind: batch.AnswerUnknown}
}

// Guards against a process that gets the lease of its predecessor, beyond the time after which
// the owner takes that as expired, or forgets ends that its predecessor had listed.
func TestRestartedProcessDoesNotInheritLease(t *testing.T) {
	unreachable := errkind.New(errkind.Unreachable, "connection refused")
	unhealthy := errkind.New(errkind.UpstreamFailed, "status 503")
	newSession := func(r *Runner, former batch.Incarnation) *session {
		return &session{
			runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 1000), wakeup: make(chan struct{}, 1),
			startSlots: make(chan struct{}, 1), renewal: batch.LeaseRenewal{Incarnation: former, DeadlineMs: 9000, Cursor: 7},
		}
	}
	withVerification(t, "A process that was restarted under the same id is asked for a report only", func(r *Runner, m *machine, _ *eventCounts) {
		former := m.set("a", 5)
		So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
		s := newSession(r, former)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		m.fail("a", unreachable)
		go func() { s.renewLoop(ctx); close(done) }()
		time.Sleep(renewRetryDelay / 2)
		begin := len(m.requests())
		m.set("a", 6)
		for i := range 6 {
			m.fail("a", []error{nil, unhealthy}[i%2])
			time.Sleep(renewRetryDelay)
		}
		cancel()
		<-done
		calls := m.requests()[begin:]
		So(len(calls), ShouldBeGreaterThan, 3)
		for _, call := range calls {
			So(call.DeadlineMs, ShouldEqual, 0)
			So(call.Cursor, ShouldEqual, 0)
		}
	})
	withVerification(t, "also if its agent looks for a run whose start had no answer", func(r *Runner, m *machine, _ *eventCounts) {
		former := m.set("a", 5)
		So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
		r.opts.Tasks = unansweredStarts{m}
		m.set("a", 6)
		begin := len(m.requests())
		newSession(r, former).carryOut(context.Background(), batch.Order{Incarnation: former, Run: batch.Run{Number: 1}})
		calls := m.requests()[begin:]
		So(calls, ShouldHaveLength, 1)
		So(calls[0].DeadlineMs, ShouldEqual, 0)
		So(calls[0].Cursor, ShouldEqual, 0)
	})
}
