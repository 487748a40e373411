package batch

import "slices"

// modelMaxEnds is how many ends a report lists at the most.
const modelMaxEnds = 2

// sentReport is a report in flight, with the latest announcement before it.
type sentReport struct {
	report Report
	info   WorkerInfo
}

// report delivers the report of a worker whose stream is open, under the owner's
// epoch, and the lease renewal that follows unless it is lost.
func (m *model) report(w *modelWorker) {
	if !w.up || !w.attached || w.unreachable || w == m.muted {
		return
	}
	w.highestEpoch = max(w.highestEpoch, m.epoch)
	m.t.Logf("report of %s at %d: running %v, ended %v", w.id, w.clockMs(m.now), sortedRuns(w.running), w.ended)
	r := Report{
		Incarnation: w.incarnation, ClockMs: w.clockMs(m.now),
		Ended: slices.Clone(w.ended[:min(len(w.ended), modelMaxEnds)]), MoreEnds: len(w.ended) >= modelMaxEnds,
	}
	for _, run := range sortedRuns(w.running) {
		r.Running = append(r.Running, RunningTask{Run: run, Percent: int(m.now.UnixMilli() % 97)})
	}
	w.sent = append(w.sent, sentReport{r, w.info()})
	if !m.chance(2, "report delayed") {
		m.deliverReports(w)
	}
}

// announce delivers what the agent says of a worker after the reports that it has sent before.
func (m *model) announce(w *modelWorker) {
	if m.scarce {
		m.deliverReports(w)
	}
	m.scheduler.Announced(w.info(), m.now)
}

// deliverReports lets the owner handle the reports in flight, and delivers the lease
// renewal that follows unless it is lost.
func (m *model) deliverReports(w *modelWorker) {
	for _, sent := range w.sent {
		// The agent announces an incarnation before it delivers its report.
		m.scheduler.Announced(sent.info, m.now)
		m.scheduler.Reported(w.id, sent.report, m.now)
		m.renew(w)
	}
	w.sent = nil
}

func (m *model) renew(w *modelWorker) {
	renewal, ok := m.scheduler.RenewalFor(w.id)
	lost := m.chance(5, "renewal lost")
	if !ok || lost || !w.up || w.unreachable || renewal.Incarnation != w.incarnation {
		return
	}
	w.leaseDeadline = max(w.leaseDeadline, min(renewal.DeadlineMs, w.clockMs(m.now)+testTiming.MaxLease.Milliseconds()))
	for _, end := range w.ended {
		if end.Number <= renewal.Cursor {
			m.checkAcknowledged(w, end)
		}
	}
	w.ended = slices.DeleteFunc(w.ended, func(end EndedTask) bool { return end.Number <= renewal.Cursor })
}

// checkAcknowledged fails the test if a success was acknowledged and is not in the store,
// although the lease has not expired since.
func (m *model) checkAcknowledged(w *modelWorker, end EndedTask) {
	job := end.Run.Task.Job
	record := m.records[job]
	recorded := record.State.Final() || len(record.Tasks) > 0 && record.Tasks[end.Run.Task.Index].Phase == TaskSucceeded
	if end.Kind == EndSucceeded && !recorded && !w.expiredAt.After(w.endedAt[end.Number]) {
		m.t.Fatalf("the success of %v on %s is acknowledged but not recorded", end.Run, w.id)
	}
}
