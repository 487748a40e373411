package batch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// storeClockMs is the store's clock.
func (m *model) storeClockMs() int64 { return m.now.Sub(testStart).Milliseconds() + 5000 }

// readClock lets the owner read the store's clock from a response that may be slow, or does not
// state it.
func (m *model) readClock() {
	if rapid.IntRange(0, 5).Draw(m.t, "response without a clock") == 5 {
		return
	}
	late := func(label string) time.Duration {
		return time.Duration(rapid.IntRange(0, 900).Draw(m.t, label)) * time.Millisecond
	}
	request, response := late("slow request"), late("slow response")
	m.scheduler.ReadClock(ClockReading{
		AtMs: m.storeClockMs() - response.Milliseconds(), Sent: m.now.Add(-request - response), Received: m.now,
	})
}

// reportDuringCommit lets a worker report while a transaction is in flight.
func (m *model) reportDuringCommit() {
	if rapid.IntRange(0, 2).Draw(m.t, "report during commit") == 2 {
		m.report(rapid.SampledFrom(m.workers).Draw(m.t, "reporting worker"))
	}
}

// Guards against tasks that run twice because an owner takes over what an earlier one knew of
// the leases of a silent worker, which has reported again in between.
func TestInheritedLeaseEndsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := modelSite{rack: "r1", labels: []string{"r1"}, allowed: true}
		m := newModel(t, []modelSite{site, site})
		j := testJob("j0", 0, Step{Tasks: 1, PerTask: Resources{Accelerators: 8}, LongRunning: true})
		m.jobs[j.ID] = j
		m.calm, m.crashProne = true, true
		m.scheduler.Load(j, Record{}, false, m.now)
		for range 3 {
			if holder := m.waitForHolder(); holder != nil {
				m.silenceAndReturn(holder)
			}
		}
	})
}

// waitForHolder returns a worker with a run that the owner has heard of, or nil if there is none
// after a while.
func (m *model) waitForHolder() *modelWorker {
	m.muted = nil
	for range 40 {
		m.reportAll()
		m.runCycle()
		for _, w := range m.workers {
			if len(w.running) > 0 && rapid.Bool().Draw(m.t, "enough") {
				return w
			}
		}
		m.elapse(300 * time.Millisecond)
	}
	return nil
}

func (m *model) reportAll() {
	for _, w := range m.workers {
		if !w.attached {
			m.toggleStream(w)
		}
		m.report(w)
	}
}

// silenceAndReturn lets a worker be silent, report a few times, and be silent again for longer
// than a lease, while owners change.
func (m *model) silenceAndReturn(w *modelWorker) {
	m.muted = w
	m.cycleFor(time.Duration(rapid.IntRange(0, 6000).Draw(m.t, "first silence")) * time.Millisecond)
	for range rapid.IntRange(0, 3).Draw(m.t, "reports") {
		m.muted = nil
		if !w.attached {
			m.toggleStream(w)
		}
		if rapid.Bool().Draw(m.t, "report before commit") {
			m.report(w)
		}
		if rapid.Bool().Draw(m.t, "commit") {
			m.runCycle()
		}
		m.muted = w
		m.elapse(time.Duration(rapid.IntRange(0, 1500).Draw(m.t, "pass")) * time.Millisecond)
	}
	if rapid.Bool().Draw(m.t, "owner changes") {
		m.takeover()
	}
	m.cycleFor(9 * time.Second)
}

// cycleFor lets time pass with cycles of the owner.
func (m *model) cycleFor(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.elapse(time.Duration(rapid.IntRange(50, 600).Draw(m.t, "step")) * time.Millisecond) {
		m.reportAll()
		m.runCycle()
		if rapid.IntRange(0, 20).Draw(m.t, "owner changes") == 20 {
			m.takeover()
		}
	}
}
