package batchowner

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// unsentStarts are starts whose records are durable. They are sent once the owner knows well
// enough which zones are evacuated, and once the owner's view of
// the jobs includes every cancellation that was acknowledged before their transaction: that
// may have waited for the store far longer than a cancellation through another entry.
type unsentStarts struct {
	commit *batch.Commit
	// version is the version of the store that the view must include. It is zero if no
	// response has told it yet, and is then taken from a later transaction.
	version rows.Version
	// versionAt is when the transaction was sent whose response told the version.
	versionAt time.Duration
	// heldForZones reports that the view of the evacuated zones has held them back.
	heldForZones bool
	// heldSince is when the records were known to be durable.
	heldSince time.Time
}

const (
	// maxStartViewAge is the age of the view from which on starts need a newer one. It leaves
	// them time to reach the worker before they are batch.MaxStartAge old.
	maxStartViewAge = 1200 * time.Millisecond
	// maxStartHold is how long starts are held. Then they are given up, and their tasks are
	// planned again.
	maxStartHold = 2 * time.Second
)

// holdStarts keeps the starts of an applied transaction until their view is complete.
func (l *ownerLoop) holdStarts(c *batch.Commit, now time.Time) {
	version, versionAt := l.writer.answeredVersion, time.Duration(l.writer.lastRenewalNs.Load())
	if c.Starts() > 0 {
		l.unsent = append(l.unsent, &unsentStarts{commit: c, heldSince: now})
	}
	for _, u := range l.unsent {
		if u.version == 0 {
			u.version, u.versionAt = version, versionAt
		}
	}
}

// viewAdvanced returns a channel that receives a value when held starts may be due.
func (l *ownerLoop) viewAdvanced() <-chan struct{} {
	if len(l.unsent) == 0 {
		return nil
	}
	return l.candidate.opts.Replica.Advanced()
}

// sendHeldStarts sends the starts whose view is complete, and gives up those that were held
// for too long.
func (l *ownerLoop) sendHeldStarts() {
	if len(l.unsent) == 0 {
		return
	}
	complete := l.candidate.opts.Replica.NewsCompleteTo()
	l.drainEvents() // The changes up to that version are among them.
	if l.ownershipLost {
		return // The next owner finds out that they were not sent.
	}
	now := time.Now()
	held := l.unsent
	l.unsent = nil
	for _, u := range held {
		viewAge := l.writer.clock() - u.versionAt
		if viewAge >= maxStartViewAge {
			u.version = 0
		}
		inView := u.version > 0 && u.version <= complete && l.overflowing.Load() == 0
		switch {
		case inView && l.zonesCurrent() || !l.writer.valid():
			l.noteZonesCurrent()
			l.sendStarts(l.scheduler.ReleaseStarts(u.commit, l.limitToZoneView(now.Add(-viewAge), now), now), now)
		case now.Sub(u.heldSince) >= maxStartHold:
			l.giveUpStarts(u, now)
		default:
			if inView {
				l.noteHeldForZones(u)
			}
			l.unsent = append(l.unsent, u)
		}
	}
}

// needsVersion reports whether starts wait for another transaction to tell a version.
func (l *ownerLoop) needsVersion() bool {
	for _, u := range l.unsent {
		if u.version == 0 {
			return true
		}
	}
	return false
}

// giveUpStarts returns the tasks of held starts to the waiting ones.
func (l *ownerLoop) giveUpStarts(u *unsentStarts, now time.Time) {
	orders := l.scheduler.ReleaseStarts(u.commit, now, now)
	if !u.heldForZones { // Otherwise the outage has been logged.
		l.candidate.opts.Logger.Warn().Uint64("epoch", uint64(l.epoch)).Int("starts", len(orders)).Uint64("version", uint64(u.version)).
			Int64("held_ms", now.Sub(u.heldSince).Milliseconds()).Msg("starts are given up unsent: their view of the jobs is not current")
	}
	for _, order := range orders {
		l.candidate.opts.Count("start_given_up")
		l.scheduler.Answered(order, batch.AnswerRejectedNoCapacity, 0, now)
	}
}

// giveUpHeldStarts gives up all starts that have not been sent.
func (l *ownerLoop) giveUpHeldStarts(now time.Time) {
	for _, u := range l.unsent {
		l.giveUpStarts(u, now)
	}
	l.unsent = nil
}
