package batch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelOwnerChanges draws what happens to the transactions and the starts of owners that are lost
// around starts, while starts are carried out late by the next process with the same id.
type modelOwnerChanges struct {
	// held holds durable commits whose starts are not sent yet.
	held []*Commit
	// restartAt is when the process of the muted worker is restarted, or zero.
	restartAt time.Time
	// renewalAt is when a renewal for its former process is carried out late, or zero;
	// renewalEpoch is the epoch of the owner that granted it, renewalMs the end of the lease.
	renewalAt    time.Time
	renewalEpoch int
	renewalMs    int64
	// takeoverAt is when the owner is replaced next, or zero.
	takeoverAt time.Time
	// changes is how many owners may still be replaced at a drawn time.
	changes int
}

// refuses reports whether the store refuses a commit, which the owner takes back then.
func (m *model) refuses(c *Commit) bool {
	if m.late == nil || len(c.Records) == 0 || rapid.IntRange(0, 5).Draw(m.t, "refused") < 5 {
		return false
	}
	m.scheduler.Abort(c)
	return true
}

// release returns the starts that are sent after a commit. Some are held before.
func (m *model) release(c *Commit) []Order {
	if m.closed != nil {
		return m.releaseBesideClosedZones(c)
	}
	if m.late == nil {
		return m.scheduler.ReleaseStarts(c, m.now, m.now)
	}
	m.late.held = append(m.late.held, c)
	if rapid.IntRange(0, 3).Draw(m.t, "held") == 3 {
		return nil
	}
	var out []Order
	for _, held := range m.late.held {
		out = append(out, m.scheduler.ReleaseStarts(held, m.now, m.now)...)
	}
	m.late.held = nil
	return out
}

// deliverLate delivers an order to a worker that may be cut off from now on: a start without an
// answer is carried out late, maybe beside a repetition that has one.
func (m *model) deliverLate(o Order) {
	w := m.worker(o.Worker)
	if o.Kind == OrderStop && w == m.muted {
		return
	}
	if o.Kind == OrderStop || m.muted != nil && w != m.muted || rapid.IntRange(0, 3).Draw(m.t, "fate") == 0 {
		m.deliverAtOnce(o)
		return
	}
	longest := maxSendAge + MaxCallDelay
	switch rapid.IntRange(0, 2).Draw(m.t, "answer") {
	case 0:
		m.scheduler.Answered(o, AnswerUnknown, 0, m.now)
	case 1:
		longest = MaxCallDelay
		if _, clock := m.apply(o, m.epoch); w != m.muted {
			m.scheduler.Answered(o, AnswerOKRepeated, clock, m.now)
		}
	}
	delay := drawTime(m.t, longest-modelStep, "delay")
	m.delayed = append(m.delayed, delayedOrder{o, m.epoch, m.now.Add(delay)})
	if w != m.muted {
		m.cutOff(w, delay)
	}
}

// modelStep is the longest time that passes at once.
const modelStep = 600 * time.Millisecond

func drawTime(t *rapid.T, longest time.Duration, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, int(longest.Milliseconds())).Draw(t, label)) * time.Millisecond
}

// cutOff cuts a worker and its agent off for good. Its process is restarted within a time.
func (m *model) cutOff(w *modelWorker, within time.Duration) {
	m.t.Logf("%s is cut off", w.id)
	m.muted = w
	m.late.renewalAt = m.now.Add(drawTime(m.t, maxSendAge+MaxCallDelay-modelStep, "late renewal"))
	m.late.renewalEpoch, m.late.renewalMs = m.epoch, w.clockMs(m.now)+testTiming.MaxLease.Milliseconds()
	m.late.restartAt = m.now.Add(drawTime(m.t, within, "restart"))
	m.late.takeoverAt = m.now.Add(drawTime(m.t, 4*time.Second, "takeover"))
	if rapid.Bool().Draw(m.t, "stream closes") {
		m.toggleStream(w)
	}
}

// renewLate carries the late renewal out once it is due.
func (m *model) renewLate() {
	if m.late.renewalAt.IsZero() || m.now.Before(m.late.renewalAt) {
		return
	}
	m.late.renewalAt = time.Time{}
	if w := m.muted; m.late.renewalEpoch >= w.highestEpoch {
		m.t.Logf("late renewal on %s", w.id)
		w.leaseDeadline = max(w.leaseDeadline, min(m.late.renewalMs, w.clockMs(m.now)+testTiming.MaxLease.Milliseconds()))
	}
}

// playOwnerChanges lets time pass with cycles of the owners, and restarts what is due.
func (m *model) playOwnerChanges(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.elapse(50*time.Millisecond + drawTime(m.t, modelStep-50*time.Millisecond, "step")) {
		if !m.late.restartAt.IsZero() && !m.now.Before(m.late.restartAt) {
			m.late.restartAt = time.Time{}
			m.startProcess(m.muted, "u0", 0)
		}
		m.renewLate()
		if m.late.changes > 0 && !m.late.takeoverAt.IsZero() && !m.now.Before(m.late.takeoverAt) {
			m.late.changes--
			m.late.takeoverAt = m.now.Add(drawTime(m.t, 15*time.Second, "next takeover"))
			m.takeover()
		}
		for _, w := range m.workers {
			if w != m.muted && !w.attached {
				m.toggleStream(w)
			}
			m.report(w)
		}
		m.runCycle()
	}
}

// Guards against a second run of a task whose start a lost owner had sent, or was about to send:
// a process that was restarted under its id, and is cut off, carries it out late. No process is
// restarted here without a call of its agent after another owner has called its predecessor: see
// TestDeposedOwnersStartIsNotCarriedOutByNextProcess.
func TestStartsOfLostOwnersRunOnce(t *testing.T) {
	for i := range 5 {
		t.Run(fmt.Sprint("series_", i), func(t *testing.T) { rapid.Check(t, checkOwnerChanges) })
	}
}

func checkOwnerChanges(t *rapid.T) {
	site := modelSite{rack: "r1", labels: []string{"r1"}, allowed: true}
	m := newModel(t, []modelSite{site, site, site})
	m.calm, m.crashProne = true, true
	for _, w := range m.workers {
		w.startedAt = m.now.Add(-time.Minute) // Its times are far in the future of its successors.
	}
	m.late = &modelOwnerChanges{changes: rapid.IntRange(0, 3).Draw(t, "changes")}
	for _, id := range []string{"j0", "j1"} {
		j := testJob(id, 0, Step{Tasks: 1, PerTask: Resources{Accelerators: 8}, LongRunning: true})
		m.jobs[j.ID] = j
		m.scheduler.Load(j, Record{}, false, m.now)
	}
	m.playOwnerChanges(25 * time.Second)
	m.crashProne, m.late.changes = false, 0
	m.playOwnerChanges(lateLeaseExpiry + 5*time.Second)
	for id := range m.jobs {
		if !m.runsOnConnectedWorker(TaskID{Job: id}) {
			t.Fatalf("the task of %s does not run on a worker that its owner reaches", id)
		}
	}
}

func (m *model) runsOnConnectedWorker(task TaskID) bool {
	for _, w := range m.workers {
		for run := range w.running {
			if w != m.muted && run.Task == task {
				return true
			}
		}
	}
	return false
}
