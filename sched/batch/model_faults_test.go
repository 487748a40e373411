package batch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against work that runs twice, after its success or cancellation, or
// beyond the capacity of a worker, under takeovers, lost and delayed orders, lost
// streams and restarted workers.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := modelSite{rack: "r1", labels: []string{"r1"}, allowed: true}
		m := newModel(t, []modelSite{site, site, site})
		for range 120 {
			m.act()
		}
		m.converge()
	})
}

// act does one random action.
func (m *model) act() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if m.scarce && m.chance(9, "row arrives") {
		m.deliverRow(w)
	}
	switch rapid.IntRange(0, 41).Draw(m.t, "action") {
	case 0, 1, 2, 3, 4:
		m.submit()
	case 5:
		m.cancel()
	case 6:
		if rapid.Bool().Draw(m.t, "crash first") {
			m.crash(w)
		} else {
			m.restart(w)
		}
	case 7:
		m.takeover()
	case 8:
		m.toggleStream(w)
	case 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20:
		m.advance()
	case 21, 22, 23, 24, 25, 26, 27, 28, 29:
		if !w.attached {
			m.toggleStream(w)
		}
		m.report(w)
	case 30, 31, 32:
		m.deliverReports(w)
	case 33:
		m.toggleReach(w)
	default:
		m.runCycle()
	}
}

// chance reports whether a fault with a probability of one in n+1 occurs.
func (m *model) chance(n int, label string) bool {
	return !m.calm && rapid.IntRange(0, n).Draw(m.t, label) == 0
}

// crashes reports whether the owner crashes now.
func (m *model) crashes(label string) bool {
	return m.chance(60, label) || m.crashProne && rapid.IntRange(0, 12).Draw(m.t, label) == 12
}

func (m *model) drawEnd(run Run) EndKind {
	id := run.Task.Job
	failures := 0
	if tasks := m.records[id].Tasks; len(tasks) > 0 {
		failures = tasks[run.Task.Index].Failures
	}
	switch {
	case m.calm && m.failing[id] && failures+1 < m.jobs[id].MaxAttempts:
		return EndFailed
	case m.calm:
		return EndSucceeded
	}
	return rapid.SampledFrom([]EndKind{EndSucceeded, EndSucceeded, EndFailed}).Draw(m.t, "how")
}

// drawClockStep returns by how many restarts the time of day of a worker is set back.
func (m *model) drawClockStep() int {
	if m.calm || !m.scarce {
		return 0
	}
	return rapid.SampledFrom([]int{0, 0, 0, 1, 4}).Draw(m.t, "clock set back")
}

// startProcess starts the next incarnation of a worker. Its time of day may have been set
// back, so that the incarnation seems to be older than former ones.
func (m *model) startProcess(w *modelWorker, upstream string, back int) {
	m.incarnations++
	next := Incarnation{
		Upstream:  ident.Upstream(string(w.id) + upstream),
		StartedMs: (1000+m.incarnations-int64(back))*1000 + m.incarnations,
	}
	m.t.Logf("process start of %s, incarnation %d", w.id, next.StartedMs)
	fence := 0
	if m.late != nil {
		fence = w.highestEpoch
	}
	*w = modelWorker{
		highestEpoch: fence,
		modelSite:    w.modelSite, id: w.id, up: true, startedAt: m.now, attached: w.attached, incarnation: next,
		running: make(map[Run]time.Time), finished: make(map[TaskID]int), endedAt: make(map[int64]time.Time),
		rows: append(w.rows, w.rowOf(next)), sent: m.inFlight(w),
	}
}

// inFlight returns the reports that a restart of the process does not lose.
func (m *model) inFlight(w *modelWorker) []sentReport {
	if !m.scarce {
		return nil
	}
	return w.sent
}

// deliverRow lets the owner read any row that the agent of a worker has written: its write may
// have been late.
func (m *model) deliverRow(w *modelWorker) {
	m.scheduler.Registered(rapid.SampledFrom(w.rows).Draw(m.t, "row"))
}

// drop loses an order, and with it any answer.
func (m *model) drop(o Order) {
	if !m.scarce {
		m.deliverAtOnce(o)
		return
	}
	m.t.Logf("order %d %v is dropped", o.Kind, o.Run)
}

// submit submits a job of one step.
func (m *model) submit() {
	id := ident.Job(fmt.Sprintf("j%d", len(m.jobs)))
	step := Step{
		Tasks: rapid.IntRange(1, 4).Draw(m.t, "tasks"), EstimateMs: 1000,
		PerTask:     Resources{Accelerators: rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(m.t, "accelerators")},
		Gang:        rapid.Bool().Draw(m.t, "gang"),
		Checkpoints: rapid.Bool().Draw(m.t, "checkpoints"),
	}
	j := testJob(string(id), rapid.IntRange(0, 2).Draw(m.t, "priority"), step)
	j.AcceptedMs = m.now.UnixMilli()
	j.MaxAttempts = 3
	if m.scarce {
		m.drawNeeds(j)
	}
	m.jobs[id] = j
	m.t.Logf("submit %s p%d, %d attempts, advice %v, %+v", id, j.Priority, j.MaxAttempts, j.NeedsAdvice, j.Steps[0])
	m.scheduler.Load(j, Record{}, false, m.now)
}

// toggleReach cuts the agent of a worker off from the process beside it, or connects it again.
func (m *model) toggleReach(w *modelWorker) {
	w.unreachable = !w.unreachable && w.up
	m.t.Logf("%s is out of reach: %v", w.id, w.unreachable)
	if w.attached {
		m.announce(w)
	}
}
