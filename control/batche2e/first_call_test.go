package batche2e

import (
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// freeze cuts the agent of worker 1 off from the entry, and lets none of its calls arrive.
func (s *cluster) freeze(m *machine) {
	s.net.SetLinkDown("10.0.0.1", "10.0.1.1", true)
	set(m, &m.renew, func(batchapi.RenewRequest) fate { return fate{held: true} })
}

// Guards against a second run of a task whose stop was answered: the process is restarted a moment
// before the start arrives, or while its agent is cut off, so that it has seen no fencing token.
func TestStoppedStartIsNotCarriedOutBeforeFirstCall(t *testing.T) {
	stopped := func(s *cluster) *machine {
		a := s.startEntry("1")
		m := s.startMachine("1")
		s.wait(age)
		set(m, &m.start, firstRunIsLate(6*time.Second))
		s.submit(a, "bulk", job1, "5m", 1)
		s.wait(300 * time.Millisecond)
		m.worker.announce(true)
		s.startWorker("2")
		return m
	}
	t.Run("restarted_a_moment_before", func(t *testing.T) {
		play(t, func(s *cluster) {
			m := stopped(s)
			s.wait(6*time.Second - 300*time.Millisecond - 20*time.Millisecond)
			m.crash()
			s.wait(10 * time.Millisecond)
			m.restart()
			s.expectOneRun(40 * time.Second)
		})
	})
	t.Run("restarted_with_its_agent", func(t *testing.T) {
		play(t, func(s *cluster) {
			m := stopped(s)
			s.wait(6*time.Second - 300*time.Millisecond - time.Second)
			m.worker.stop()
			m.crash()
			s.wait(100 * time.Millisecond)
			m.restart()
			s.startAgentOf(m, "1")
			time.AfterFunc(1400*time.Millisecond, func() { m.worker.announce(false) })
			s.expectOneRun(40 * time.Second)
		})
	})
	t.Run("restarted_while_the_agent_is_frozen", func(t *testing.T) {
		play(t, func(s *cluster) {
			m := stopped(s)
			s.wait(3 * time.Second)
			s.freeze(m)
			s.wait(500 * time.Millisecond)
			m.crash()
			s.wait(100 * time.Millisecond)
			m.restart()
			s.expectOneRun(40 * time.Second)
		})
	})
}

// Guards against a task that runs again after its success: the process is restarted while its agent
// is frozen, and carries the first attempt of the start out.
func TestRepeatedStartAfterSuccessWhileAgentIsFrozen(t *testing.T) {
	t.Run("first_attempt", func(t *testing.T) {
		play(t, func(s *cluster) {
			a := s.startEntry("1")
			m := s.startMachine("1")
			s.wait(age)
			set(m, &m.start, firstAttemptIsLate(6*time.Second))
			s.submit(a, "bulk", job1, "1s", 1)
			s.wait(3 * time.Second)
			s.freeze(m)
			m.crash()
			s.wait(100 * time.Millisecond)
			m.restart()
			s.wait(10 * time.Second)
			if s.lines("starts 1 step 0 task 0") != 1 {
				s.printTranscript()
				t.Error("a task has run again after its success was acknowledged")
			}
		})
	})
}

// Guards against a second run of a task whose start was repeated: the next process carries the first
// attempt out, and then a renewal that its predecessor did not answer, which extends that lease.
func TestLateRenewalExtendsLeaseOfLateStart(t *testing.T) {
	play(t, func(s *cluster) {
		a := s.startEntry("1")
		m := s.startMachine("1")
		s.wait(age)
		set(m, &m.start, firstAttemptIsLate(11900*time.Millisecond))
		sent := time.Now()
		s.submit(a, "bulk", job1, "5m", 1)
		s.wait(time.Second)
		s.startWorker("2")
		s.wait(9 * time.Second)
		m.awaitRenewal(func(r batchapi.RenewRequest) bool { return r.DeadlineMs > 0 }, fate{late: 6 * time.Second})
		s.freeze(m)
		m.crash()
		s.wait(100 * time.Millisecond)
		m.restart()
		s.log.add("restarted %v after the submission", time.Since(sent))
		s.expectOneRun(60 * time.Second)
	})
}

// Guards against a worker that refuses all calls of an agent that was restarted, because that has
// forgotten how high its fencing tokens were.
func TestRestartedAgentIsNotRefused(t *testing.T) {
	play(t, func(s *cluster) {
		a := s.startEntry("1")
		m := s.startMachine("1")
		s.wait(time.Second)
		set(m, &m.renew, func(batchapi.RenewRequest) fate { return fate{held: true} })
		s.wait(20 * time.Second)
		set(m, &m.renew, func(batchapi.RenewRequest) fate { return fate{} })
		s.wait(3 * time.Second)
		m.worker.stop()
		s.startAgentOf(m, "1")
		m.worker.announce(false)
		s.wait(5 * time.Second)
		s.submit(a, "bulk", job1, "1s", 1)
		s.wait(5 * time.Second)
		if s.lines("ends 1 step 0 task 0 run 1 done") != 1 {
			s.printTranscript()
			t.Error("the task has not run")
		}
	})
}
