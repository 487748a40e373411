package batche2e

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/runner"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// fate says what happens to a call.
type fate struct {
	// late is the time after which the call is carried out without an answer, by whichever process
	// has the id then, or zero.
	late time.Duration
	// held makes the caller wait in vain; nothing is carried out.
	held bool
	// answerLost makes the caller wait in vain although the call is carried out at once.
	answerLost bool
	// slowAnswer is how long the answer is under way, also if the process ends meanwhile.
	slowAnswer time.Duration
}

// machine runs one process after the other under the same id. It tells them apart as the platform
// does: in reports only.
type machine struct {
	worker *worker
	lease  time.Duration

	mu      sync.Mutex
	current *upstream
	// crashed is closed when the current process ends.
	crashed chan struct{}
	// start and renew decide about calls. They are called with the lock held.
	start func(batch.Order) fate
	renew func(batchapi.RenewRequest) fate
}

// process returns the current process, or nil.
func (m *machine) process() (*upstream, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current, m.crashed
}

// decide calls what decides about calls of a kind.
func decide[T any](m *machine, about *func(T) fate, call T) fate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return (*about)(call)
}

// set replaces what decides about calls of a kind.
func set[T any](m *machine, about *func(T) fate, to func(T) fate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*about = to
}

// crash ends the process and all its runs.
func (m *machine) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.mu.Lock()
	m.current.log.add("%s crashes", m.current.id)
	clear(m.current.running)
	m.current.mu.Unlock()
	m.current = nil
	close(m.crashed)
}

// restart starts the next process under the same id.
func (m *machine) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	former := m.worker.upstream
	m.current, m.crashed = newUpstream(former.id, former.log), make(chan struct{})
	m.worker.upstream, m.worker.sequence = m.current, 0
	former.log.add("%s restarts", former.id)
}

// limit shortens a deadline to the longest lease.
func (m *machine) limit(u *upstream, deadlineMs int64) int64 {
	return min(deadlineMs, u.clockMs()+m.lease.Milliseconds())
}

func (m *machine) carryOutStart(token ident.FencingToken, o batch.Order) batchapi.OrderResult {
	u, _ := m.process()
	if u == nil {
		return batchapi.OrderResult{Kind: batch.AnswerRejected, Reason: "not sent"}
	}
	o.DeadlineMs = m.limit(u, o.DeadlineMs)
	u.expireLease()
	return u.start(token, o)
}

func (m *machine) Start(ctx context.Context, _ string, token ident.FencingToken, o batch.Order) batchapi.OrderResult {
	f := decide(m, &m.start, o)
	if f == (fate{}) {
		return m.carryOutStart(token, o)
	}
	if f.late > 0 {
		time.AfterFunc(f.late, func() { m.carryOutStart(token, o) })
	}
	<-ctx.Done()
	return batchapi.OrderResult{Kind: batch.AnswerUnknown, Reason: "no answer"}
}

func (m *machine) Stop(ctx context.Context, address string, token ident.FencingToken, o batch.Order) batchapi.OrderResult {
	u, _ := m.process()
	if u == nil {
		return batchapi.OrderResult{Kind: batch.AnswerRejected, Reason: "not sent"}
	}
	return u.Stop(ctx, address, token, o)
}

func (m *machine) Renew(ctx context.Context, address string, r batchapi.RenewRequest) (batch.Report, error) {
	u, crashed := m.process()
	if u == nil {
		return batch.Report{}, errkind.New(errkind.Unreachable, "connection refused")
	}
	f := decide(m, &m.renew, r)
	if f.late > 0 {
		time.AfterFunc(f.late, func() { m.carryOutRenewal(address, r) })
	}
	if f.late > 0 || f.held {
		<-ctx.Done()
		return batch.Report{}, errkind.New(errkind.OutcomeUnknown, "no answer")
	}
	report, err := m.untilCrash(ctx, crashed, func(ctx context.Context) (batch.Report, error) {
		r.DeadlineMs = m.limit(u, r.DeadlineMs)
		return u.Renew(ctx, address, r)
	})
	if f.answerLost {
		<-ctx.Done()
		return batch.Report{}, errkind.New(errkind.OutcomeUnknown, "no answer")
	}
	time.Sleep(f.slowAnswer)
	if err == nil && report.Incarnation != r.Incarnation {
		return batch.Report{}, errkind.New(errkind.StaleIncarnation, "restarted under the same id")
	}
	return report, err
}

// untilCrash lets a call end with its process.
func (m *machine) untilCrash(ctx context.Context, crashed chan struct{}, call func(context.Context) (batch.Report, error)) (batch.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		defer cancel()
		select {
		case <-crashed:
		case <-ended:
		}
	}()
	report, err := call(ctx)
	if err != nil && ctx.Err() != nil {
		return report, errkind.Wrap(errkind.OutcomeUnknown, err, "connection reset")
	}
	return report, err
}

// carryOutRenewal carries a renewal out by the process that has the id now.
func (m *machine) carryOutRenewal(address string, r batchapi.RenewRequest) {
	u, _ := m.process()
	if u == nil {
		return
	}
	u.log.add("%s gets the renewal of born %d with cursor %d", u.id, r.Incarnation.StartedMs%1_000_000, r.Cursor)
	r.DeadlineMs, r.Wait = m.limit(u, r.DeadlineMs), 0
	_, _ = u.Renew(context.Background(), address, r)
}

// startMachine starts a worker whose process can be restarted.
func (s *cluster) startMachine(id string) *machine {
	w := &worker{upstream: newUpstream("up"+id, s.log), store: &storeClient{memoryStore: s.store}}
	m := &machine{worker: w, lease: s.lease, current: w.upstream, crashed: make(chan struct{})}
	m.start = func(batch.Order) fate { return fate{} }
	m.renew = func(batchapi.RenewRequest) fate { return fate{} }
	w.host = s.net.Host("10.0.1." + id)
	s.workers[id] = w
	s.startAgentOf(m, id)
	w.announce(false)
	return m
}

// startAgentOf starts the agent of a machine, to which the process has not announced itself.
func (s *cluster) startAgentOf(m *machine, id string) {
	w, address := m.worker, "10.0.1."+id+":7000"
	r := runner.New(runner.Options{
		ID: ident.Worker("w" + id), Address: address, Tasks: m, Store: w.store, Logger: discardLogger(), Count: ignoreEvent,
		Clock: func() time.Duration { return time.Since(s.log.start) + time.Hour },
	})
	listener, err := w.host.Listen(address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := transport.NewGRPCServer()
	rpc.RegisterTaskRunnerServer(server, r)
	ctx, cancel := context.WithCancel(context.Background())
	w.runner, w.server, w.stop = r, server, func() { cancel(); server.Stop() }
	go func() { _ = server.Serve(listener) }()
	go r.Publish(ctx)
	go r.Verify(ctx)
	go r.WatchDepartures(ctx)
}

// lines returns how many lines of the transcript contain a text.
func (s *cluster) lines(text string) int {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	n := 0
	for _, line := range s.log.lines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

func (s *cluster) printTranscript() {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.t.Log("\n" + strings.Join(s.log.lines, "\n"))
}

// runsAtOnce returns the largest number of runs of a task that are in progress at this moment.
func (s *cluster) runsAtOnce() int {
	count := make(map[batch.TaskID]int)
	most := 0
	for _, w := range s.workers {
		w.upstream.expireLease()
		w.upstream.mu.Lock()
		for run := range w.upstream.running {
			count[run.Task]++
			most = max(most, count[run.Task])
		}
		w.upstream.mu.Unlock()
	}
	return most
}

// expectNoSecondRun lets time pass and fails if two runs of a task are in progress at once.
func (s *cluster) expectNoSecondRun(d time.Duration) {
	s.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); s.wait(20 * time.Millisecond) {
		if s.runsAtOnce() > 1 {
			s.printTranscript()
			s.t.Fatalf("after %v two runs of a task are in progress at once", time.Since(s.log.start))
		}
	}
}

// expectOneRun does the same, and fails if no run is in progress in the end.
func (s *cluster) expectOneRun(d time.Duration) {
	s.t.Helper()
	s.expectNoSecondRun(d)
	if s.runsAtOnce() != 1 {
		s.printTranscript()
		s.t.Error("the task does not run any more")
	}
}

// play runs a play under virtual time.
func play(t *testing.T, fn func(s *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t)
		defer s.close()
		fn(s)
	})
}

// firstRunIsLate makes all attempts to start the first run of tasks late.
func firstRunIsLate(late time.Duration) func(batch.Order) fate {
	return func(o batch.Order) fate {
		if o.Run.Number > 1 {
			return fate{}
		}
		return fate{late: late}
	}
}

// firstAttemptIsLate makes the first attempt to start a run late.
func firstAttemptIsLate(late time.Duration) func(batch.Order) fate {
	attempts := 0
	return func(batch.Order) fate {
		if attempts++; attempts > 1 {
			return fate{}
		}
		return fate{late: late}
	}
}

// age is how old the processes are that are restarted: a time on their clock is far in the future
// for the next one.
const age = time.Minute

// startAgain restarts a process after a moment. It announces itself a while later.
func (s *cluster) startAgain(m *machine, announced time.Duration) {
	m.crash()
	s.wait(100 * time.Millisecond)
	m.restart()
	s.wait(announced)
	m.worker.announce(false)
}

// Guards against a second run of a task whose start was answered by a stop: the process that was
// told to reject it is restarted under its id, and the next one carries it out.
func TestStoppedStartIsNotCarriedOutByNextProcess(t *testing.T) {
	play(t, func(s *cluster) {
		a := s.startEntry("1")
		m := s.startMachine("1")
		s.wait(age)
		set(m, &m.start, firstRunIsLate(6*time.Second))
		s.submit(a, "bulk", job1, "5m", 1)
		s.wait(300 * time.Millisecond)
		m.worker.announce(true)
		s.startWorker("2")
		s.wait(3 * time.Second)
		s.startAgain(m, 300*time.Millisecond)
		s.expectOneRun(40 * time.Second)
	})
}

// Guards against a task that runs again after its success was acknowledged: an earlier attempt of
// its start, which was repeated, is carried out by the next process with the id.
func TestRepeatedStartIsNotCarriedOutAfterSuccess(t *testing.T) {
	play(t, func(s *cluster) {
		a := s.startEntry("1")
		m := s.startMachine("1")
		s.wait(age)
		set(m, &m.start, firstAttemptIsLate(6*time.Second))
		s.submit(a, "bulk", job1, "1s", 1)
		s.wait(2 * time.Second)
		s.startAgain(m, 300*time.Millisecond)
		s.wait(10 * time.Second)
		if s.lines("starts 1 step 0 task 0") != 1 {
			s.printTranscript()
			t.Error("a task has run again after its success was acknowledged")
		}
	})
}

// Guards against a second run of a task whose start by a deposed owner is carried out by a process
// that has not seen a newer epoch yet.
func TestDeposedOwnersStartIsNotCarriedOutByNextProcess(t *testing.T) {
	t.Run("before_the_first_call_of_its_agent", func(t *testing.T) {
		const late = 8 * time.Second
		play(t, func(s *cluster) {
			a := s.startEntry("1")
			m := s.startMachine("1")
			s.wait(age)
			b := s.startEntry("2")
			s.wait(time.Second)
			set(m, &m.start, firstRunIsLate(late))
			s.submit(b, "bulk", job1, "5m", 1)
			sent := time.Now()
			s.wait(250 * time.Millisecond)
			s.crash(a)
			m.worker.announce(true)
			s.startWorker("2")
			s.wait(late - time.Since(sent))
			m.crash()
			s.wait(5 * time.Millisecond)
			m.restart()
			s.expectOneRun(40 * time.Second)
		})
	})
}

// Guards against a second run of a task that the next owner gives up with the lease, counted from
// its takeover, while a process that was restarted since carries out the former owner's start.
func TestNextOwnerWaitsForLateStartsOfFormerOwner(t *testing.T) {
	t.Run("late_by_8_s", func(t *testing.T) {
		play(t, func(s *cluster) {
			a := s.startEntry("1")
			m := s.startMachine("1")
			s.wait(age)
			b := s.startEntry("2")
			s.wait(time.Second)
			set(m, &m.start, firstRunIsLate(8*time.Second))
			s.submit(b, "bulk", job1, "5m", 1)
			s.wait(300 * time.Millisecond)
			s.setLinks("1", true)
			s.crash(a)
			s.startWorker("2")
			s.wait(700 * time.Millisecond)
			m.crash()
			s.wait(100 * time.Millisecond)
			m.restart()
			s.expectOneRun(40 * time.Second)
		})
	})
}

// awaitRenewal waits for the next renewal that is chosen, gives it a fate, and returns when it came.
func (m *machine) awaitRenewal(chosen func(batchapi.RenewRequest) bool, f fate) time.Time {
	called := make(chan time.Time, 1)
	done := false
	set(m, &m.renew, func(r batchapi.RenewRequest) fate {
		if done || !chosen(r) {
			return fate{}
		}
		done = true
		called <- time.Now()
		return f
	})
	return <-called
}

// Guards against a second run of a task on a process that was restarted a moment ago, and to which
// a late renewal of its predecessor gives a longer lease than its owner counts.
func TestLateRenewalDoesNotOutlastLeaseOfNextProcess(t *testing.T) {
	const delay = 8 * time.Second
	play(t, func(s *cluster) {
		a := s.startEntry("1")
		m := s.startMachine("1")
		s.wait(age)
		late := m.awaitRenewal(func(r batchapi.RenewRequest) bool { return r.DeadlineMs > 0 }, fate{late: delay}).Add(delay)
		s.startAgain(m, 300*time.Millisecond)
		s.wait(3 * time.Second)
		s.submit(a, "bulk", job1, "5m", 1)
		s.wait(500 * time.Millisecond)
		s.startWorker("2")
		s.wait(time.Until(late) - 2*time.Second)
		// The agent is frozen.
		s.net.SetLinkDown("10.0.0.1", "10.0.1.1", true)
		set(m, &m.renew, func(batchapi.RenewRequest) fate { return fate{held: true} })
		s.expectOneRun(40 * time.Second)
	})
}

// Guards against an end that is lost, and a task that runs again after its success: a late renewal
// of the former process acknowledges an end of the next one that nobody has read.
func TestLateCursorDoesNotAcknowledgeEndsOfNextProcess(t *testing.T) {
	const delay = 8 * time.Second
	play(t, func(s *cluster) {
		a := s.startEntry("1")
		m := s.startMachine("1")
		s.wait(age)
		s.submit(a, "bulk", job1, "1s", 1)
		s.wait(3 * time.Second)
		late := m.awaitRenewal(func(r batchapi.RenewRequest) bool { return r.Cursor > 0 }, fate{late: delay}).Add(delay)
		s.startAgain(m, 300*time.Millisecond)
		// The task ends shortly before the late call, and the answer that lists the end is lost.
		set(m, &m.renew, func(batchapi.RenewRequest) fate {
			left := time.Until(late)
			return fate{answerLost: left > 0 && left < 1600*time.Millisecond}
		})
		s.wait(time.Until(late) - 3600*time.Millisecond)
		s.submit(a, "bulk", job2, "3350ms", 1)
		s.wait(20 * time.Second)
		if s.lines("starts 2 step 0 task 0") != 1 || s.lines("ends 2 step 0 task 0 run 1 done") != 1 {
			s.printTranscript()
			t.Error("a task has run again after its success")
		}
	})
}

// Guards against a second run of a task that has begun on the next process, because a report that
// the former one made before it ended arrives after the answer to the start, and does not list it.
func TestLateReportOfFormerProcessProvesNoEnd(t *testing.T) {
	play(t, func(s *cluster) {
		a := s.startEntry("1")
		m := s.startMachine("1")
		s.wait(age)
		s.startWorker("2")
		s.wait(time.Second)
		s.workers["2"].announce(true)
		s.wait(time.Second)
		var wait time.Duration
		called := m.awaitRenewal(func(r batchapi.RenewRequest) bool { wait = r.Wait; return wait > 0 }, fate{slowAnswer: 380 * time.Millisecond})
		s.wait(time.Until(called.Add(wait)) + time.Millisecond)
		m.crash()
		s.wait(time.Millisecond)
		m.restart()
		s.submit(a, "bulk", job1, "5m", 1)
		s.wait(100 * time.Millisecond)
		s.workers["2"].announce(false)
		s.wait(900 * time.Millisecond)
		s.expectNoSecondRun(time.Second)
		m.worker.announce(false)
		s.expectOneRun(40 * time.Second)
	})
}
