package batchowner

import (
	"slices"
	"strconv"
	"time"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// commitLimits bounds the job records of a transaction. What exceeds them is written by the
// next transactions.
type commitLimits struct {
	records int
	// bytes bounds the size of the encoded records, of which the first may exceed it.
	bytes int
}

const (
	// maxCommitRecords leaves room for the owner's row and its version condition.
	maxCommitRecords = rows.MaxEntries - 10
	// maxCommitBytes leaves room for the transport encoding of the values, which adds a third,
	// and for the keys.
	maxCommitBytes = rows.MaxBytes * 6 / 10
)

func newCommitLimits() commitLimits { return commitLimits{maxCommitRecords, maxCommitBytes} }

// shrink halves the limits after a transaction of the given number of records was refused.
func (c *commitLimits) shrink(records int) {
	c.records, c.bytes = max(records/2, 1), max(c.bytes/2, 1)
}

// grow doubles the limits after a success, up to the largest ones.
func (c *commitLimits) grow() {
	c.records, c.bytes = min(2*c.records, maxCommitRecords), min(2*c.bytes, maxCommitBytes)
}

// encodeRecord encodes a job's record and removes the checkpoints for which a row has no room.
// It logs only the first time for each job.
func (l *ownerLoop) encodeRecord(id ident.Job, record batch.Record) ([]byte, error) {
	limit := l.candidate.opts.RowBytes
	if l.candidate.withoutCheckpoints[id] {
		limit = 0
	}
	value, omitted, err := jobstore.EncodeRecord(record, limit)
	if omitted == 0 {
		return value, err
	}
	l.candidate.opts.Count("checkpoints_omitted")
	if !l.shortened[id] {
		l.shortened[id] = true
		l.candidate.opts.Logger.Warn().Str("job", string(id)).Uint64("epoch", uint64(l.epoch)).Int("checkpoints", omitted).
			Int("tasks", len(record.Tasks)).Int("bytes", len(value)).Msg("job record has no room for all checkpoints")
	}
	return value, err
}

// handleRefused handles a transaction that the store will never apply. Its records are written
// again in smaller ones. A record that is refused alone is written without checkpoints; if it
// has none, its job is set aside: this entry releases the ownership and takes it without the job.
func (l *ownerLoop) handleRefused(c *batch.Commit, err error) {
	l.candidate.opts.Count("commit_refused")
	l.candidate.opts.Logger.Error().Uint64("epoch", uint64(l.epoch)).Err(err).Int("records", len(c.Records)).
		Msg("owner transaction was refused")
	l.scheduler.Abort(c)
	if len(c.Records) > 1 {
		l.limits.shrink(len(c.Records))
		return
	}
	for id, record := range c.Records {
		if hasCheckpoint(record) && !l.candidate.withoutCheckpoints[id] {
			l.candidate.withoutCheckpoints[id] = true
			return
		}
		l.candidate.setJobAside(id, l.epoch, "record refused by the store")
	}
	l.candidate.opts.Replica.Unwatch()
	l.releaseUnchanged()
	l.ownershipLost = true
}

func hasCheckpoint(r batch.Record) bool {
	return slices.ContainsFunc(r.Tasks, func(t batch.TaskRecord) bool { return t.Checkpoint != "" })
}

// recordLeaseEnds lets the next transaction, which makes the commit durable, state when the
// leases of silent workers end.
func (l *ownerLoop) recordLeaseEnds(c *batch.Commit, now time.Time) {
	ends, omitted := l.scheduler.RecordLeaseEnds(c, now)
	l.writer.owner.LeaseEnds = ends
	l.noteOmitted(&l.leaseEndsOmitted, len(ends), omitted, "lease_ends_omitted", "owner's row has no room for the lease ends of all silent workers")
}

// recordOpenStarts lets the next transaction state which workers have open starts.
func (l *ownerLoop) recordOpenStarts(now time.Time) {
	open, omitted := l.scheduler.RecordOpenStarts(now)
	l.writer.owner.OpenStarts = open
	l.noteOmitted(&l.openStartsOmitted, len(open.Workers), omitted, "open_starts_omitted", "owner's row has no room for the workers with open starts")
}

const (
	// openStartsInterval is how long after the start of a transaction the next one may be written
	// only because some of the starts that it lists are not open any more, while others are. It
	// bounds the transactions that answers cause.
	openStartsInterval = tickInterval
	// maxAnswersCommit is how long the latest transaction may have taken if one is written only
	// because of answers: the next starts wait for as long.
	maxAnswersCommit = renewInterval / 4
)

// commitIsDue reports whether a transaction is to be written now.
func (l *ownerLoop) commitIsDue(c *batch.Commit, now time.Time) bool {
	return !c.Empty() || l.needsVersion() || l.scheduler.AwaitsLease() ||
		now.Sub(l.lastCommitStart) >= renewInterval || l.listsEndedStarts(now)
}

// listsEndedStarts reports whether a transaction is to be written because the owner's row lists
// starts that are not open any more. If the owner is lost before that, the next one keeps the runs
// on their workers for 16 s longer than it has to.
func (l *ownerLoop) listsEndedStarts(now time.Time) bool {
	open, ended := l.scheduler.ListedStarts(now)
	return ended > 0 && l.lastCommitTook < maxAnswersCommit && (open == 0 || now.Sub(l.lastCommitStart) >= openStartsInterval)
}

// noteOmitted counts transactions for which the owner's row has no room for some workers, and logs
// the first one in a row.
func (l *ownerLoop) noteOmitted(before *bool, recorded, omitted int, event, message string) {
	if omitted > 0 {
		l.candidate.opts.Count(event)
	}
	if omitted > 0 && !*before {
		l.candidate.opts.Logger.Warn().Uint64("epoch", uint64(l.epoch)).Int("recorded", recorded).Int("omitted", omitted).Msg(message)
	}
	*before = omitted > 0
}

// describeOpenStarts returns on how many workers an earlier owner had open starts, or "unknown".
func describeOpenStarts(open *batch.OpenStarts) string {
	if open == nil || open.More {
		return "unknown"
	}
	return strconv.Itoa(len(open.Workers))
}
