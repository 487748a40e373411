package rpc

import (
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// IncarnationMessage returns the message form of an incarnation.
func IncarnationMessage(i batch.Incarnation) *Life {
	return &Life{Upstream: string(i.Upstream), BornMs: i.StartedMs}
}

// IncarnationOf returns the incarnation in a message.
func IncarnationOf(m *Life) batch.Incarnation {
	return batch.Incarnation{Upstream: ident.Upstream(m.GetUpstream()), StartedMs: m.GetBornMs()}
}

// RunMessage returns the message form of a run.
func RunMessage(r batch.Run) *TaskRun {
	return &TaskRun{
		Job: string(r.Task.Job), Occurrence: int32(r.Task.Occurrence), Step: int32(r.Task.Step),
		Index: int32(r.Task.Index), Run: int32(r.Number),
	}
}

// RunOf returns the run in a message.
func RunOf(m *TaskRun) batch.Run {
	return batch.Run{
		Task: batch.TaskID{
			Job: ident.Job(m.GetJob()), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep()), Index: int(m.GetIndex()),
		},
		Number: int(m.GetRun()),
	}
}

// OrderMessage returns the message form of an order.
func OrderMessage(sequence uint64, o batch.Order) *FromOwner {
	return &FromOwner{Kind: &FromOwner_Order{Order: &TaskOrder{
		Sequence: sequence, Stop: o.Kind == batch.OrderStop, Life: IncarnationMessage(o.Incarnation), Run: RunMessage(o.Run),
		Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket, DeadlineMs: o.DeadlineMs, StartByMs: o.StartByMs,
	}}}
}

// OrderOf returns the order in a message.
func OrderOf(m *TaskOrder) batch.Order {
	kind := batch.OrderStart
	if m.GetStop() {
		kind = batch.OrderStop
	}
	return batch.Order{
		Kind: kind, Incarnation: IncarnationOf(m.GetLife()), Run: RunOf(m.GetRun()),
		Payload: m.GetPayload(), Checkpoint: m.GetCheckpoint(), Ticket: m.GetTicket(), DeadlineMs: m.GetDeadlineMs(),
		StartByMs: m.GetStartByMs(),
	}
}

// RenewalMessage returns the message form of a lease renewal.
func RenewalMessage(r batch.LeaseRenewal) *FromOwner {
	return &FromOwner{Kind: &FromOwner_Hold{Hold: &HoldOrder{
		Life: IncarnationMessage(r.Incarnation), DeadlineMs: r.DeadlineMs, Cursor: r.Cursor, SendByMs: r.SendByMs,
	}}}
}

// RenewalOf returns the lease renewal in a message.
func RenewalOf(m *HoldOrder) batch.LeaseRenewal {
	return batch.LeaseRenewal{Incarnation: IncarnationOf(m.GetLife()), DeadlineMs: m.GetDeadlineMs(), Cursor: m.GetCursor(), SendByMs: m.GetSendByMs()}
}

// ReportMessage returns the message form of a report.
func ReportMessage(r batch.Report) *FromRunner {
	out := &WorkerReport{Life: IncarnationMessage(r.Incarnation), ClockMs: r.ClockMs, MoreEnds: r.MoreEnds}
	for _, t := range r.Running {
		out.Running = append(out.Running, &RunningTask{
			Run: RunMessage(t.Run), Checkpoint: t.Checkpoint, Percent: int32(t.Percent), Load: int32(t.Load),
		})
	}
	for _, t := range r.Ended {
		out.Ended = append(out.Ended, &EndedTask{
			Number: t.Number, Run: RunMessage(t.Run), How: string(t.Kind), Checkpoint: t.Checkpoint,
		})
	}
	return &FromRunner{Kind: &FromRunner_Report{Report: out}}
}

// ReportOf returns the report in a message.
func ReportOf(m *WorkerReport) batch.Report {
	out := batch.Report{Incarnation: IncarnationOf(m.GetLife()), ClockMs: m.GetClockMs(), MoreEnds: m.GetMoreEnds()}
	for _, t := range m.GetRunning() {
		out.Running = append(out.Running, batch.RunningTask{
			Run: RunOf(t.GetRun()), Checkpoint: t.GetCheckpoint(), Percent: int(t.GetPercent()), Load: int(t.GetLoad()),
		})
	}
	for _, t := range m.GetEnded() {
		out.Ended = append(out.Ended, batch.EndedTask{
			Number: t.GetNumber(), Run: RunOf(t.GetRun()), Kind: batch.EndKind(t.GetHow()), Checkpoint: t.GetCheckpoint(),
		})
	}
	return out
}
