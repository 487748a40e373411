package runner

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// machine responds as one process after the other, each at its address.
type machine struct {
	batchapi.Tasks

	mu sync.Mutex
	// running holds the processes that respond, by address, and failing the errors of those that
	// exist and do not.
	running map[string]batch.Incarnation
	failing map[string]error
	calls   []batchapi.RenewRequest
	// namesItself reports that refusals of the epoch name the incarnation.
	namesItself bool
}

func newMachine() *machine {
	return &machine{running: make(map[string]batch.Incarnation), failing: make(map[string]error)}
}

func (m *machine) set(address string, startedMs int64) batch.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	incarnation := batch.Incarnation{Upstream: "u", StartedMs: startedMs}
	m.running[address] = incarnation
	return incarnation
}

func (m *machine) fail(address string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing[address] = err
}

// requests returns the calls so far.
func (m *machine) requests() []batchapi.RenewRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.calls)
}

func (m *machine) Renew(_ context.Context, address string, r batchapi.RenewRequest) (batch.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls = append(m.calls, r)
	if err := m.failing[address]; err != nil {
		var report batch.Report
		if m.namesItself {
			report.Incarnation = m.running[address]
		}
		return report, err
	}
	switch running, ok := m.running[address]; {
	case !ok:
		return batch.Report{}, errkind.New(errkind.Unreachable, "connection refused")
	case running != r.Incarnation:
		return batch.Report{}, errkind.New(errkind.StaleIncarnation, "another process responds")
	}
	return batch.Report{Incarnation: r.Incarnation}, nil
}

// processAt returns an announcement of a process at an address.
func processAt(address string, startedMs, sequence int64) batchapi.Announcement {
	a := announcement(startedMs, sequence, false)
	a.Address = address
	return a
}

// eventCounts counts events.
type eventCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (e *eventCounts) add(event string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[event]++
}

func (e *eventCounts) count(event string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[event]
}

// withVerification checks a claim beside a runner that verifies the processes of a machine.
func withVerification(t *testing.T, claim string, fn func(r *Runner, m *machine, events *eventCounts)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(claim, t, func() {
			events := &eventCounts{counts: make(map[string]int)}
			m := newMachine()
			r := newRunner(&rowWriter{}, events.add)
			r.opts.Tasks = m
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { r.Verify(ctx); close(done) }()
			defer func() { cancel(); <-done }()
			fn(r, m, events)
		})
	})
}

// announceAndWait announces a process and waits until it is adopted or ignored.
func announceAndWait(r *Runner, a batchapi.Announcement) int64 {
	r.Announce(a)
	time.Sleep(time.Second)
	return r.currentAnnouncement().Incarnation.StartedMs
}

// Guards against runs that count as ended because a heartbeat that is delayed, or comes from
// another writer, names another process than the one that runs them.
func TestOnlyRespondingProcessReplacesTheCurrentOne(t *testing.T) {
	withVerification(t, "A process that responds is adopted at once", func(r *Runner, m *machine, _ *eventCounts) {
		m.set("a", 5)
		r.Announce(processAt("a", 5, 1))
		synctest.Wait()
		So(r.currentAnnouncement().Incarnation.StartedMs, ShouldEqual, 5)
	})
	for name, other := range map[string]batchapi.Announcement{
		"an unknown process at an address where nothing listens": processAt("nowhere", 9, 1),
		"a later process at the address of the current one":      processAt("a", 9, 1),
		"an earlier process at the address of the current one":   processAt("a", 3, 99),
	} {
		withVerification(t, "The current process stays beside "+name, func(r *Runner, m *machine, events *eventCounts) {
			m.set("a", 5)
			So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
			So(announceAndWait(r, other), ShouldEqual, 5)
			So(events.count("announcement_unverified"), ShouldEqual, 1)
		})
		withVerification(t, "A restarted agent does not start with "+name, func(r *Runner, m *machine, _ *eventCounts) {
			m.set("a", 5)
			So(announceAndWait(r, other), ShouldEqual, 0)
			So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
		})
	}
	withVerification(t, "A process does not replace one that still responds", func(r *Runner, m *machine, events *eventCounts) {
		m.set("a", 5)
		m.set("b", 6)
		So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
		So(announceAndWait(r, processAt("b", 6, 1)), ShouldEqual, 5)
		So(events.count("announcement_overlap"), ShouldEqual, 1)
		m.fail("a", errkind.New(errkind.Unreachable, "connection refused"))
		So(announceAndWait(r, processAt("b", 6, 2)), ShouldEqual, 6)
		So(announceAndWait(r, processAt("a", 5, 2)), ShouldEqual, 6)
	})
	withVerification(t, "A process that fails for a moment is asked again", func(r *Runner, m *machine, _ *eventCounts) {
		m.set("a", 5)
		m.fail("a", errkind.New(errkind.UpstreamFailed, "status 503"))
		r.Announce(processAt("a", 5, 1))
		time.Sleep(2 * renewRetryDelay)
		So(r.currentAnnouncement().Incarnation.StartedMs, ShouldEqual, 0)
		m.fail("a", nil)
		time.Sleep(2 * renewRetryDelay)
		So(r.currentAnnouncement().Incarnation.StartedMs, ShouldEqual, 5)
	})
	refusal := errkind.New(errkind.StaleEpoch, "fence")
	withVerification(t, "A refusal that does not name the incarnation proves nothing", func(r *Runner, m *machine, _ *eventCounts) {
		m.set("a", 5)
		m.fail("a", refusal)
		So(announceAndWait(r, processAt("a", 9, 1)), ShouldEqual, 0)
		So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 0)
		Convey("so that the process is adopted once an owner has brought a newer epoch", func() {
			m.fail("a", nil)
			time.Sleep(2 * renewRetryDelay)
			So(r.currentAnnouncement().Incarnation.StartedMs, ShouldEqual, 5)
		})
	})
	withVerification(t, "An agent that waits for an owner writes its row once", func(r *Runner, m *machine, _ *eventCounts) {
		store := &rowWriter{}
		r.opts.Store = store
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { r.Publish(ctx); close(done) }()
		m.set("a", 5)
		m.fail("a", refusal)
		for sequence := range int64(5) {
			announceAndWait(r, processAt("a", 5, sequence+1))
		}
		cancel()
		<-done
		So(store.written, ShouldHaveLength, 1)
		So(string(store.written[0].Value), ShouldContainSubstring, `"id":"w1"`)
		So(string(store.written[0].Value), ShouldNotContainSubstring, `"u":"u"`)
	})
	withVerification(t, "A refusal that names the incarnation proves that it runs", func(r *Runner, m *machine, _ *eventCounts) {
		m.set("a", 5)
		m.fail("a", refusal)
		m.namesItself = true
		So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
	})
	withVerification(t, "A current process that refuses may run on", func(r *Runner, m *machine, events *eventCounts) {
		m.set("a", 5)
		So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
		m.fail("a", refusal)
		m.set("b", 6)
		So(announceAndWait(r, processAt("b", 6, 1)), ShouldEqual, 5)
		So(events.count("announcement_overlap"), ShouldEqual, 1)
	})
	withVerification(t, "A current process that fails for a moment may run on", func(r *Runner, m *machine, events *eventCounts) {
		m.set("a", 5)
		So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
		m.fail("a", errkind.New(errkind.UpstreamFailed, "status 503"))
		m.set("b", 6)
		r.Announce(processAt("b", 6, 1))
		time.Sleep(renewRetryDelay + renewRetryDelay/2)
		m.fail("a", nil)
		time.Sleep(time.Second)
		So(r.currentAnnouncement().Incarnation.StartedMs, ShouldEqual, 5)
	})
	withVerification(t, "A candidate that has ended while it waited is not adopted", func(r *Runner, m *machine, _ *eventCounts) {
		m.set("a", 5)
		So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
		m.set("a", 7)
		So(announceAndWait(r, processAt("a", 7, 1)), ShouldEqual, 7)
		m.fail("a", errkind.New(errkind.OutcomeUnknown, "deadline"))
		r.mu.Lock()
		r.candidates[batch.Incarnation{Upstream: "u", StartedMs: 6}] = &candidate{announcement: processAt("a", 6, 1), verifying: true}
		r.mu.Unlock()
		r.replaceCurrent(context.Background(), batch.Incarnation{Upstream: "u", StartedMs: 6})
		So(r.currentAnnouncement().Incarnation.StartedMs, ShouldEqual, 7)
	})
	withVerification(t, "What it says while it is being verified counts", func(r *Runner, m *machine, _ *eventCounts) {
		m.set("a", 5)
		m.fail("a", errkind.New(errkind.UpstreamFailed, "status 503"))
		r.Announce(processAt("a", 5, 1))
		synctest.Wait()
		draining := processAt("a", 5, 2)
		draining.Info.Draining = true
		r.Announce(draining)
		m.fail("a", nil)
		time.Sleep(time.Second)
		So(r.currentAnnouncement().Info.Draining, ShouldBeTrue)
	})
	withVerification(t, "Many unknown processes do not keep the real one from being adopted", func(r *Runner, m *machine, events *eventCounts) {
		m.set("a", 5)
		for i := range int64(10 * maxCandidates) {
			r.Announce(processAt("nowhere", 100+i, 1))
		}
		So(events.count("announcement_deferred"), ShouldEqual, 9*maxCandidates)
		time.Sleep(time.Second)
		So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
	})
	withVerification(t, "Verification extends no lease and acknowledges no end", func(r *Runner, m *machine, _ *eventCounts) {
		m.set("a", 5)
		So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
		m.set("a", 6)
		So(announceAndWait(r, processAt("a", 6, 1)), ShouldEqual, 6)
		for _, call := range m.requests() {
			So(call.DeadlineMs, ShouldEqual, 0)
			So(call.Cursor, ShouldEqual, 0)
		}
	})
}

// attachOwner attaches an owner whose messages are queued.
func attachOwner(r *Runner, epoch ident.Epoch) *session {
	s := &session{runner: r, fence: fence{epoch: epoch}, owner: "e1", cancel: func() {}, outbound: make(chan *rpc.FromRunner, 100), wakeup: make(chan struct{}, 1)}
	So(r.attachSession(s), ShouldBeNil)
	return s
}

// toldIncarnations returns the start times of the incarnations that the owner was told of, in
// their order, and removes them from the queue.
func toldIncarnations(s *session) (startedMs []int64) {
	for len(s.outbound) > 0 {
		var info batch.WorkerInfo
		So(json.Unmarshal((<-s.outbound).GetWorker().GetInfo(), &info), ShouldBeNil)
		startedMs = append(startedMs, info.Incarnation.StartedMs)
	}
	return startedMs
}

// Guards against a worker that is ignored for good, because its process was restarted after
// the time of day of the machine had been set back.
func TestProcessMaySeemToStartBeforeItsPredecessor(t *testing.T) {
	for name, end := range map[string]func(m *machine){
		"another process responds at its address":           func(m *machine) { m.set("a", 3) },
		"nothing listens at the address of the predecessor": func(m *machine) { m.fail("a", errkind.New(errkind.Unreachable, "connection refused")) },
		"the predecessor does not respond":                  func(m *machine) { m.fail("a", errkind.New(errkind.OutcomeUnknown, "deadline")) },
	} {
		withVerification(t, "Its announcement counts once the predecessor does not respond: "+name, func(r *Runner, m *machine, events *eventCounts) {
			owner := attachOwner(r, 1)
			m.set("a", 5)
			So(announceAndWait(r, processAt("a", 5, 1)), ShouldEqual, 5)
			m.set("b", 3)
			So(announceAndWait(r, processAt("b", 3, 1)), ShouldEqual, 5)
			end(m)
			So(announceAndWait(r, processAt("b", 3, 2)), ShouldEqual, 3)
			So(events.count("announcement_clock_back"), ShouldEqual, 1)
			So(toldIncarnations(owner), ShouldResemble, []int64{5, 3})
			Convey("and so do those of its successors", func() {
				for _, startedMs := range []int64{2, 1, 4, 6} {
					m.set("b", startedMs)
					So(announceAndWait(r, processAt("b", startedMs, 1)), ShouldEqual, startedMs)
				}
				So(toldIncarnations(owner), ShouldResemble, []int64{2, 1, 4, 6})
				Convey("An owner that attaches is told of the latest", func() {
					next := attachOwner(r, 2)
					So(toldIncarnations(next), ShouldResemble, []int64{6})
				})
			})
		})
	}
}
