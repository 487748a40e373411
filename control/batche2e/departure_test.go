package batche2e

import (
	"strings"
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// agentOutlivesProcess is how long the agent of a worker that is taken away runs on after the
// process.
const agentOutlivesProcess = time.Second

// leave lets the process of a machine drain and end as planned. Its agent is stopped later.
func (s *cluster) leave(m *machine, drain time.Duration) {
	m.worker.announce(true)
	s.wait(drain)
	s.end(m)
}

// end ends a process that has drained.
func (s *cluster) end(m *machine) {
	m.worker.runner.Leave(ident.Upstream(m.worker.upstream.id))
	m.crash()
	time.AfterFunc(agentOutlivesProcess, m.worker.stop)
}

// firstAttemptsAreLate makes the first attempt to start each task late.
func firstAttemptsAreLate(late time.Duration) func(batch.Order) fate {
	seen := make(map[batch.Run]bool)
	return func(o batch.Order) fate {
		if seen[o.Run] {
			return fate{}
		}
		seen[o.Run] = true
		return fate{late: late}
	}
}

// expectRunsOn lets time pass and fails unless the given number of tasks then run on a process,
// and no task has run twice at once until then.
func (s *cluster) expectRunsOn(w *worker, tasks int, within time.Duration) {
	s.t.Helper()
	s.expectNoSecondRun(within)
	w.upstream.mu.Lock()
	running := len(w.upstream.running)
	w.upstream.mu.Unlock()
	if running != tasks {
		s.printTranscript()
		s.t.Fatalf("%d of %d tasks run on %s within %v", running, tasks, w.upstream.id, within)
	}
}

// Guards against tasks that stand still after their worker has left as announced, because attempts
// to start them had no answer.
func TestTasksOfLeftWorkerRunElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		step  batch.Step
		start func(time.Duration) func(batch.Order) fate
	}{
		"one_task":                 {batch.Step{Tasks: 1}, firstAttemptsAreLate},
		"many_tasks":               {batch.Step{Tasks: 6}, firstAttemptsAreLate},
		"gang_with_one_late_start": {batch.Step{Tasks: 3, Gang: true}, firstAttemptIsLate},
		"gang_with_late_starts":    {batch.Step{Tasks: 3, Gang: true}, firstAttemptsAreLate},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(s *cluster) {
				a := s.startEntry("1")
				m := s.startMachine("1")
				s.wait(age)
				set(m, &m.start, c.start(8*time.Second))
				s.submitStep(a, "bulk", job1, "5m", c.step)
				s.wait(300 * time.Millisecond)
				other := s.startWorker("2")
				s.leave(m, 4*time.Second)
				s.expectRunsOn(other, c.step.Tasks, 2*time.Second)
				s.expectNoSecondRun(20 * time.Second)
			})
		})
	}
}

// Guards against tasks that stand still because the owner is lost while their worker leaves, and
// the agent, which could tell the next owner, has ended before that takes over.
func TestNextOwnerLearnsOfDepartures(t *testing.T) {
	play(t, func(s *cluster) {
		a := s.startEntry("1")
		m := s.startMachine("1")
		s.wait(age)
		s.startEntry("2")
		s.wait(time.Second)
		set(m, &m.start, firstAttemptsAreLate(8*time.Second))
		s.submit(a, "bulk", job1, "5m", 4)
		s.wait(300 * time.Millisecond)
		other := s.startWorker("2")
		m.worker.announce(true)
		s.wait(4 * time.Second)
		s.setLinks("1", true)
		s.crash(a)
		s.end(m)
		s.expectRunsOn(other, 4, 5*time.Second)
	})
}

// Guards against a second run of a task whose process crashes while it drains: it is restarted under
// its id, and carries out a start that had no answer.
func TestTasksWaitForProcessThatCrashedWhileItDrained(t *testing.T) {
	play(t, func(s *cluster) {
		a := s.startEntry("1")
		m := s.startMachine("1")
		s.wait(age)
		set(m, &m.start, firstRunIsLate(8*time.Second))
		s.submit(a, "bulk", job1, "5m", 1)
		s.wait(300 * time.Millisecond)
		other := s.startWorker("2")
		m.worker.announce(true)
		s.wait(500 * time.Millisecond)
		m.crash()
		s.wait(700 * time.Millisecond) // The agent finds it out of reach.
		s.net.SetLinkDown("10.0.0.1", "10.0.1.1", true)
		m.restart()
		s.expectNoSecondRun(30 * time.Second)
		s.expectRunsOn(other, 1, time.Second)
		if s.lines("starts "+strings.TrimLeft(job1, "0")) < 2 {
			t.Error("the late start was not carried out")
		}
	})
}
