package runner

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// stallReportTime is how long the owner is told at once of a run without progress. It decides
// within that time; later the usual reports are enough, and tasks that run for hours advance by
// a percent less often.
const stallReportTime = 5 * time.Second

// runProgress is the progress of a run as of the report in which it last changed.
type runProgress struct {
	percent int
	at      time.Time
}

// progressWatch tells which reports the owner needs before the usual time.
type progressWatch struct {
	incarnation batch.Incarnation
	runs        map[batch.Run]runProgress
	// sentAt is when the latest report was sent to the owner.
	sentAt time.Time
}

// note records a report and returns whether it has to be sent now: it lists ends, the latest one
// was sent renewWait ago, or a run has made no progress since the report before.
func (p *progressWatch) note(report batch.Report, now time.Time) bool {
	stalled := p.noteRuns(report, now)
	if !stalled && len(report.Ended) == 0 && !report.MoreEnds && now.Sub(p.sentAt) < renewWait-pollWait/2 {
		return false
	}
	p.sentAt = now
	return true
}

// noteRuns records the progress of all runs and returns whether one of them has made none since
// the report before, and for less than stallReportTime.
func (p *progressWatch) noteRuns(report batch.Report, now time.Time) bool {
	if p.incarnation != report.Incarnation {
		*p = progressWatch{incarnation: report.Incarnation}
	}
	runs := make(map[batch.Run]runProgress, len(report.Running))
	stalled := false
	for _, row := range report.Running {
		last, known := p.runs[row.Run]
		if known && last.percent == row.Percent {
			runs[row.Run] = last
			stalled = stalled || row.Percent < 100 && now.Sub(last.at) < stallReportTime
			continue
		}
		runs[row.Run] = runProgress{row.Percent, now}
	}
	p.runs = runs
	return stalled
}
