package tableclient

import (
	"context"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/infra"
)

const (
	// resolveMinBackoff is the first delay between two read-backs, before jitter;
	// it doubles.
	resolveMinBackoff = 50 * time.Millisecond
	// markerPrefix starts the keys of the marker rows.
	markerPrefix = "writer/"
)

// commitOutcome is what a read-back shows about a transaction.
type commitOutcome uint8

const (
	// outcomeApplied means that a row carries the transaction's id.
	outcomeApplied commitOutcome = iota
	// outcomeNotYetApplied means that a row still has the expected version and
	// that the transaction may still take effect later.
	outcomeNotYetApplied
	// outcomeConflict means that one row still has the expected version after
	// another writer has changed a second one, so the transaction can't apply.
	outcomeConflict
	// outcomeUndetermined means that the rows can't show the outcome, because
	// other writers have changed every one of them.
	outcomeUndetermined
)

// commitTxn sends txn and resolves an ambiguous result.
func (c *Client) commitTxn(ctx context.Context, class Class, txn infra.Txn) (infra.CommitResult, error) {
	result, err := c.send(ctx, class, txn)
	if err == nil || definite(err) {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, classRules[class].resolveTimeout)
	defer cancel()
	return c.resolve(ctx, class, txn)
}

func (c *Client) send(ctx context.Context, class Class, txn infra.Txn) (infra.CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	result, err := c.table.Commit(ctx, txn)
	c.record(class, responded(err))
	return result, err
}

// definite reports whether err proves that nothing was written.
func definite(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.Conflict || kind == errkind.StoreUnavailable || kind == errkind.InvalidArgument
}

// resolve finds out whether txn took effect. When a row still has its old
// version, the request may still be in flight, so it can't be reported as not
// written. The same transaction is sent again: its conditions let only one of
// the two take effect. A conflict of the second one proves nothing, because the
// first may have taken effect in between; the next read-back shows it.
func (c *Client) resolve(ctx context.Context, class Class, txn infra.Txn) (infra.CommitResult, error) {
	for backoff := resolveMinBackoff; ctx.Err() == nil; backoff *= 2 {
		result, err := c.resolveOnce(ctx, class, txn)
		if err == nil || errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.OutcomeUnknown) {
			return result, err
		}
		sleep(ctx, time.Duration((0.5+c.opts.Jitter())*float64(backoff)))
	}
	c.opts.Count(EventResolveTimeout, class)
	return infra.CommitResult{}, errkind.New(errkind.OutcomeUnknown, "the outcome of transaction %s was not resolved in time", txn.ID)
}

// resolveOnce reads the rows back once. After an error of kind StoreUnavailable
// the caller has to try again.
func (c *Client) resolveOnce(ctx context.Context, class Class, txn infra.Txn) (infra.CommitResult, error) {
	c.opts.Count(EventResolveRead, class)
	outcome, versions, err := c.readBack(ctx, class, txn)
	if err != nil {
		return infra.CommitResult{}, err
	}
	switch outcome {
	case outcomeApplied:
		c.opts.Count(EventResolveApplied, class)
		return infra.CommitResult{Versions: versions}, nil
	case outcomeConflict:
		c.opts.Count(EventResolveConflict, class)
		return infra.CommitResult{}, errkind.New(errkind.Conflict, "transaction %s lost to another writer", txn.ID)
	case outcomeUndetermined:
		c.opts.Count(EventResolveUndetermined, class)
		return infra.CommitResult{}, errkind.New(errkind.OutcomeUnknown, "other writers have changed all rows of transaction %s", txn.ID)
	}
	c.opts.Count(EventResolveResend, class)
	result, err := c.send(ctx, class, txn)
	if err == nil {
		return result, nil
	}
	return result, errkind.Wrap(errkind.StoreUnavailable, err, "resend the transaction")
}

// readBack compares the write ids and versions of the rows that txn writes.
func (c *Client) readBack(ctx context.Context, class Class, txn infra.Txn) (commitOutcome, []infra.RowVersion, error) {
	versions := make([]infra.RowVersion, len(txn.Ops))
	var unchanged, overwritten []infra.Op
	applied := false
	for i, op := range txn.Ops {
		versions[i] = versionAfter(op)
		if op.Kind == infra.OpCheck {
			continue
		}
		row, err := c.getOrAbsent(ctx, class, op.Key)
		switch {
		case err != nil:
			return outcomeUndetermined, nil, err
		case wrote(txn, op, row):
			applied = true
			versions[i] = row.Version
		case row.Version == op.IfVersion:
			unchanged = append(unchanged, op)
		default:
			overwritten = append(overwritten, op)
		}
	}
	if applied {
		return outcomeApplied, versions, nil
	}
	outcome, err := c.decideUnapplied(ctx, class, txn, unchanged, overwritten)
	return outcome, versions, err
}

// decideUnapplied decides the outcome when no row carries the transaction's id.
// The rows are read one after the other, so an unchanged row proves that the
// transaction can't apply only if it is read after the row that another writer
// has changed.
func (c *Client) decideUnapplied(ctx context.Context, class Class, txn infra.Txn, unchanged, overwritten []infra.Op) (commitOutcome, error) {
	switch {
	case len(overwritten) == 0:
		return outcomeNotYetApplied, nil
	case len(unchanged) == 0:
		return outcomeUndetermined, nil
	}
	op := unchanged[0]
	row, err := c.getOrAbsent(ctx, class, op.Key)
	switch {
	case err != nil:
		return outcomeUndetermined, err
	case wrote(txn, op, row):
		// The transaction was applied between the two reads. It is sent again and
		// fails; the next read-back then returns the versions.
		return outcomeNotYetApplied, nil
	case row.Version == op.IfVersion:
		return outcomeConflict, nil
	default:
		return outcomeUndetermined, nil
	}
}

// getOrAbsent reads a row and returns an empty one if it doesn't exist.
func (c *Client) getOrAbsent(ctx context.Context, class Class, key string) (infra.Row, error) {
	row, err := c.Get(ctx, class, key)
	if errkind.Is(err, errkind.NotFound) {
		return infra.Row{}, nil
	}
	return row, err
}

func wrote(txn infra.Txn, op infra.Op, row infra.Row) bool {
	return op.Kind == infra.OpPut && row.Version != 0 && row.WriteID == txn.ID
}

// versionAfter returns the version that op gives its row, for an applied
// transaction whose id the row doesn't carry: op deleted or only checked the row,
// or another writer has changed it since. In the last case the row has another
// version now, so the caller's next conditional change fails.
func versionAfter(op infra.Op) infra.RowVersion {
	switch op.Kind {
	case infra.OpPut:
		return op.IfVersion + 1
	case infra.OpDelete:
		return 0
	default:
		return op.IfVersion
	}
}

// addMarker adds a write of the queue's marker row where the other rows may not
// be enough to resolve an ambiguous result: for deletions, which leave no
// transaction id behind, and where the caller asks for it. Only this client
// writes the marker row.
func (c *Client) addMarker(ctx context.Context, q *classQueue, group []*request, txn *infra.Txn) error {
	if !needsMarker(group, txn.Ops) {
		return nil
	}
	key := c.markerKey(q.class)
	if !q.markerKnown {
		row, err := c.Get(ctx, q.class, key)
		if err != nil && !errkind.Is(err, errkind.NotFound) {
			return err
		}
		q.markerVersion, q.markerKnown = row.Version, true
	}
	txn.Ops = append(txn.Ops, infra.Op{Kind: infra.OpPut, Key: key, IfVersion: q.markerVersion, Value: []byte(txn.ID)})
	return nil
}

func (c *Client) markerKey(class Class) string { return markerPrefix + c.id + "/" + class.String() }

func needsMarker(group []*request, ops []infra.Op) bool {
	for _, r := range group {
		if r.withMarker {
			return true
		}
	}
	deletes := false
	for _, op := range ops {
		if op.Kind == infra.OpPut {
			return false
		}
		deletes = deletes || op.Kind == infra.OpDelete
	}
	return deletes
}

// updateMarkerVersion records the version of the marker row after a commit.
func (q *classQueue) updateMarkerVersion(txn infra.Txn, result infra.CommitResult, err error) {
	last := len(txn.Ops) - 1
	if !strings.HasPrefix(txn.Ops[last].Key, markerPrefix) {
		return
	}
	q.markerKnown = err == nil
	if err == nil {
		q.markerVersion = result.Versions[last]
	}
}
