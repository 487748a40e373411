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
	// pace is the time in which the run has advanced by a percent since it was first reported,
	// with firstPercent at firstAt. It is zero before it has advanced.
	pace         time.Duration
	firstPercent int
	firstAt      time.Time
}

// advance returns the progress after a report of another percentage.
func (r runProgress) advance(percent int, now time.Time) runProgress {
	r.percent, r.at = percent, now
	if percent > r.firstPercent {
		r.pace = now.Sub(r.firstAt) / time.Duration(percent-r.firstPercent)
	}
	return r
}

// stalled reports whether the run has made no progress for longer than it usually takes for a
// percent, and for less than stallReportTime.
func (r runProgress) stalled(now time.Time) bool {
	still := now.Sub(r.at)
	return r.percent < 100 && still >= r.pace && still < stallReportTime
}

// progressWatch tells which reports the owner needs before the usual time.
type progressWatch struct {
	incarnation batch.Incarnation
	runs        map[batch.Run]runProgress
	// sentAt is when the latest report was sent to the owner.
	sentAt time.Time
}

// note records a report and returns whether it has to be sent now: it lists ends, the latest one
// was sent renewWait ago, or a run is stalled.
func (p *progressWatch) note(report batch.Report, now time.Time) bool {
	stalled := p.noteRuns(report, now)
	if !stalled && len(report.Ended) == 0 && !report.MoreEnds && now.Sub(p.sentAt) < renewWait-pollWait/2 {
		return false
	}
	p.sentAt = now
	return true
}

// noteRuns records the progress of all runs and returns whether one of them is stalled.
func (p *progressWatch) noteRuns(report batch.Report, now time.Time) bool {
	if p.incarnation != report.Incarnation {
		*p = progressWatch{incarnation: report.Incarnation}
	}
	runs := make(map[batch.Run]runProgress, len(report.Running))
	stalled := false
	for _, row := range report.Running {
		last, known := p.runs[row.Run]
		switch {
		case !known:
			last = runProgress{percent: row.Percent, at: now, firstPercent: row.Percent, firstAt: now}
		case last.percent == row.Percent:
			stalled = stalled || last.stalled(now)
		default:
			last = last.advance(row.Percent, now)
		}
		runs[row.Run] = last
	}
	p.runs = runs
	return stalled
}
