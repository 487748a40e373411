package batchowner

import (
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

// handleRefused handles a transaction that the store will never apply. Its records are written
// again in smaller ones. A record that is refused alone has its job set aside: this entry
// releases the ownership and takes it without the job.
func (l *ownerLoop) handleRefused(c *batch.Commit, err error) {
	l.candidate.opts.Count("commit_refused")
	l.candidate.opts.Logger.Error().Uint64("epoch", uint64(l.epoch)).Err(err).Int("records", len(c.Records)).
		Msg("owner transaction was refused")
	l.scheduler.Abort(c)
	if len(c.Records) > 1 {
		l.limits.shrink(len(c.Records))
		return
	}
	for id := range c.Records {
		l.candidate.setJobAside(id, l.epoch, "record refused by the store")
	}
	l.candidate.opts.Replica.Unwatch()
	l.releaseUnchanged()
	l.ownershipLost = true
}
