package batchowner

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

const (
	// maxExpiredTombstones bounds the tombstones removed per transaction: each one has a condition
	// and a removal.
	maxExpiredTombstones = 45
	// tombstoneInterval is the minimum time between two such transactions.
	tombstoneInterval = time.Second
	// tombstoneTimeout bounds the removal, which is tried again later.
	tombstoneTimeout = 5 * time.Second
)

// removeExpiredTombstones removes tombstones that are older than the retention time of ended jobs,
// in transactions of their own: another entry may renew a tombstone at any time, which must not
// make a transaction of the owner's chain fail.
func (l *ownerLoop) removeExpiredTombstones(now time.Time) {
	if l.removingTombstones || now.Sub(l.tombstonesRemovedAt) < tombstoneInterval || !l.writer.valid() {
		return
	}
	l.tombstonesRemovedAt = now
	expired := l.candidate.opts.Replica.ExpiredTombstones(now, l.candidate.opts.Timing.Retention, maxExpiredTombstones)
	if len(expired) == 0 {
		return
	}
	l.removingTombstones = true
	l.group.Go(func() {
		var err error
		if panicked := l.candidate.guard.Run("expired tombstones", func() { err = l.removeTombstones(expired) }); panicked != nil {
			err = panicked
		}
		l.post(func() { l.handleTombstonesRemoved(len(expired), err) })
	})
}

func (l *ownerLoop) removeTombstones(expired []rows.Expect) error {
	ctx, cancel := context.WithTimeout(l.ctx, tombstoneTimeout)
	defer cancel()
	txn := rows.Txn{Expect: expired}
	for _, e := range expired {
		txn.Remove = append(txn.Remove, e.Key)
	}
	applied, err := l.candidate.opts.Store.Commit(ctx, txn)
	if errkind.Is(err, errkind.Conflict) {
		return l.refreshTombstones(ctx, expired)
	}
	if err == nil {
		for _, key := range txn.Remove {
			l.forgetTombstone(key, applied.Version)
		}
	}
	return err
}

func (l *ownerLoop) forgetTombstone(key string, version rows.Version) {
	l.candidate.opts.Replica.Apply([]rows.Row{{Key: key, Version: version, Deleted: true}})
}

// refreshTombstones reads tombstones of which one has changed. Those that did not are removed later.
func (l *ownerLoop) refreshTombstones(ctx context.Context, expired []rows.Expect) error {
	for _, e := range expired {
		row, found, err := jobstore.ReadRow(ctx, l.candidate.opts.Store, e.Key)
		switch {
		case err != nil:
			return err
		case found:
			l.candidate.opts.Replica.Apply([]rows.Row{row})
		default:
			l.forgetTombstone(e.Key, e.Version+1)
		}
	}
	return errkind.New(errkind.Conflict, "a tombstone has changed")
}

func (l *ownerLoop) handleTombstonesRemoved(n int, err error) {
	l.removingTombstones = false
	if err != nil {
		l.candidate.opts.Count("tombstones_not_removed")
		l.candidate.opts.Logger.Warn().Uint64("epoch", uint64(l.epoch)).Int("tombstones", n).Err(err).
			Msg("expired cancellations of unknown jobs could not be removed; retrying")
		return
	}
	for range n {
		l.candidate.opts.Count("tombstone_expired")
	}
}
