package tableclient

import (
	"context"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/infra"
)

const (
	// settlePause is the first wait between two read-backs; it doubles.
	settlePause = 50 * time.Millisecond
	// markerPrefix starts the keys of the marker rows.
	markerPrefix = "writer/"
)

// verdict says what the rows tell about a transaction.
type verdict uint8

const (
	// verdictApplied means that a row carries the transaction's id.
	verdictApplied verdict = iota
	// verdictUnchanged means that a row still has the expected version, and
	// that no row rules out that the transaction takes effect later.
	verdictUnchanged
	// verdictLost means that one row has the expected version although
	// another writer has changed a second one.
	verdictLost
	// verdictUndecided means that other writers have changed every row.
	verdictUndecided
)

// commitTxn sends txn and settles an ambiguous result.
func (c *Client) commitTxn(ctx context.Context, class Class, txn infra.Txn) (infra.CommitResult, error) {
	result, err := c.send(ctx, class, txn)
	if err == nil || definite(err) {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, classRules[class].settle)
	defer cancel()
	return c.settle(ctx, class, txn)
}

func (c *Client) send(ctx context.Context, class Class, txn infra.Txn) (infra.CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	result, err := c.table.Commit(ctx, txn)
	c.record(class, answered(err))
	return result, err
}

// definite reports whether err proves that nothing was written.
func definite(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.Conflict || kind == errkind.StoreUnavailable || kind == errkind.InvalidArgument
}

// settle finds out whether txn took effect. When a row still has its old
// version, the request may be on its way to the table, so "nothing was
// written" would be a guess. The same transaction is sent again: its
// conditions let only one of the two take effect. A conflict of the second
// one is not a verdict, because the first may have taken effect in between;
// the next read-back shows it.
func (c *Client) settle(ctx context.Context, class Class, txn infra.Txn) (infra.CommitResult, error) {
	for pause := settlePause; ctx.Err() == nil; pause *= 2 {
		result, err := c.settleOnce(ctx, class, txn)
		if err == nil || errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.OutcomeUnknown) {
			return result, err
		}
		sleep(ctx, time.Duration((0.5+c.opts.Jitter())*float64(pause)))
	}
	c.opts.Count(EventResolveTimeout, class)
	return infra.CommitResult{}, errkind.New(errkind.OutcomeUnknown, "transaction %s was not settled in time", txn.ID)
}

// settleOnce reads back once. An error of kind StoreUnavailable asks for
// another round.
func (c *Client) settleOnce(ctx context.Context, class Class, txn infra.Txn) (infra.CommitResult, error) {
	c.opts.Count(EventResolveRead, class)
	found, versions, err := c.readBack(ctx, class, txn)
	if err != nil {
		return infra.CommitResult{}, err
	}
	switch found {
	case verdictApplied:
		c.opts.Count(EventResolveApplied, class)
		return infra.CommitResult{Versions: versions}, nil
	case verdictLost:
		c.opts.Count(EventResolveConflict, class)
		return infra.CommitResult{}, errkind.New(errkind.Conflict, "transaction %s lost to another writer", txn.ID)
	case verdictUndecided:
		c.opts.Count(EventResolveUndetermined, class)
		return infra.CommitResult{}, errkind.New(errkind.OutcomeUnknown, "the rows of transaction %s have changed since", txn.ID)
	}
	c.opts.Count(EventResolveResend, class)
	result, err := c.send(ctx, class, txn)
	if err == nil {
		return result, nil
	}
	return result, errkind.Wrap(errkind.StoreUnavailable, err, "send again")
}

// readBack compares the write ids and versions of the rows that txn writes.
func (c *Client) readBack(ctx context.Context, class Class, txn infra.Txn) (verdict, []infra.RowVersion, error) {
	versions := make([]infra.RowVersion, len(txn.Ops))
	var unchanged, foreign []infra.Op
	applied := false
	for i, op := range txn.Ops {
		versions[i] = versionAfter(op)
		if op.Kind == infra.OpCheck {
			continue
		}
		row, err := c.getOrAbsent(ctx, class, op.Key)
		switch {
		case err != nil:
			return verdictUndecided, nil, err
		case wrote(txn, op, row):
			applied = true
			versions[i] = row.Version
		case row.Version == op.IfVersion:
			unchanged = append(unchanged, op)
		default:
			foreign = append(foreign, op)
		}
	}
	if applied {
		return verdictApplied, versions, nil
	}
	found, err := c.judge(ctx, class, txn, unchanged, foreign)
	return found, versions, err
}

// judge decides when no row carried the transaction's id. The rows are read
// one after the other, so an unchanged row counts against the transaction
// only when it is read after the row that another writer has changed.
func (c *Client) judge(ctx context.Context, class Class, txn infra.Txn, unchanged, foreign []infra.Op) (verdict, error) {
	switch {
	case len(foreign) == 0:
		return verdictUnchanged, nil
	case len(unchanged) == 0:
		return verdictUndecided, nil
	}
	op := unchanged[0]
	row, err := c.getOrAbsent(ctx, class, op.Key)
	switch {
	case err != nil:
		return verdictUndecided, err
	case wrote(txn, op, row):
		return verdictUnchanged, nil
	case row.Version == op.IfVersion:
		return verdictLost, nil
	default:
		return verdictUndecided, nil
	}
}

// getOrAbsent returns an empty row for a missing one.
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

// versionAfter is the version of a row after op, where the row no longer
// shows it. For a row that was changed again it is one that the row does not
// have now, so that the next conditional change by the caller fails.
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

// addMarker adds the write of the lane's marker row where the rows alone may
// not decide an ambiguous result: for deletions, after which no id is left,
// and where the caller asks for it. Only this client writes the marker.
func (c *Client) addMarker(ctx context.Context, l *lane, group []*request, txn *infra.Txn) error {
	if !needsMarker(group, txn.Ops) {
		return nil
	}
	key := c.markerKey(l.class)
	if !l.markerKnown {
		row, err := c.Get(ctx, l.class, key)
		if err != nil && !errkind.Is(err, errkind.NotFound) {
			return err
		}
		l.marker, l.markerKnown = row.Version, true
	}
	txn.Ops = append(txn.Ops, infra.Op{Kind: infra.OpPut, Key: key, IfVersion: l.marker, Value: []byte(txn.ID)})
	return nil
}

func (c *Client) markerKey(class Class) string { return markerPrefix + c.id + "/" + class.String() }

func needsMarker(group []*request, ops []infra.Op) bool {
	for _, r := range group {
		if r.marked {
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

// noteMarker follows the version of the marker row.
func (l *lane) noteMarker(txn infra.Txn, result infra.CommitResult, err error) {
	last := len(txn.Ops) - 1
	if !strings.HasPrefix(txn.Ops[last].Key, markerPrefix) {
		return
	}
	l.markerKnown = err == nil
	if err == nil {
		l.marker = result.Versions[last]
	}
}
