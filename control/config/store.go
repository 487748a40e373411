// Package config stores the configuration sheet, applies changes to it and
// propagates the newest version to every process.
package config

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/internal/timing"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

const (
	currentKey  = "config/current"
	bodyPrefix  = "config/"
	auditPrefix = "audit/config/"

	// maxRowDeltaBytes leaves space for the other fields in a row of 4 KiB.
	maxRowDeltaBytes = 3 << 10

	// Attempts and delay to resolve a write whose outcome is unknown.
	resolveAttempts = 6
	resolveDelay    = 200 * time.Millisecond
)

// Record describes one accepted version. It is the value of the row
// config/current and of the audit row of the version.
type Record struct {
	Version ident.ConfigVersion `json:"version"`
	// Digest is the SHA-256 of the body.
	Digest string `json:"digest"`
	// Parent is the digest of the previous version, or empty.
	Parent   string    `json:"parent,omitempty"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// Changes counts the rows of the sheet that differ from the parent.
	Changes int `json:"changes"`
	// Delta changes the previous version into this one. It is stored only in the
	// audit row, and only when it fits in a row.
	Delta string `json:"delta,omitempty"`
}

// Store stores the configuration in the platform's table and object store.
type Store struct {
	table   infra.Table
	objects infra.ObjectStore
}

// NewStore returns a Store that uses the given table and object store.
func NewStore(table infra.Table, objects infra.ObjectStore) *Store {
	return &Store{table: table, objects: objects}
}

// Current returns the record in force, or a zero record before the first apply.
func (s *Store) Current(ctx context.Context) (Record, error) {
	record, _, err := s.current(ctx)
	return record, err
}

func (s *Store) current(ctx context.Context) (Record, infra.Row, error) {
	row, err := s.table.Get(ctx, currentKey)
	if errkind.Is(err, errkind.NotFound) {
		return Record{}, infra.Row{}, nil
	}
	if err != nil {
		return Record{}, infra.Row{}, err
	}
	record, err := decodeRecord(row)
	return record, row, err
}

func decodeRecord(row infra.Row) (Record, error) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, errkind.Wrap(errkind.Corrupt, err, "decode row "+row.Key)
	}
	return record, nil
}

// Body returns the body with the given digest and verifies it.
func (s *Store) Body(ctx context.Context, digest string) ([]byte, error) {
	if digest == "" {
		return nil, nil
	}
	body, err := s.objects.Get(ctx, bodyPrefix+digest)
	if err != nil {
		return nil, err
	}
	if exchange.Digest(body) != digest {
		return nil, errkind.New(errkind.Corrupt, "configuration body %s does not match its digest", digest)
	}
	return body, nil
}

// Sheet returns the sheet with the given digest. The empty digest stands for the
// empty sheet.
func (s *Store) Sheet(ctx context.Context, digest string) (*sheet.Sheet, error) {
	if digest == "" {
		return &sheet.Sheet{}, nil
	}
	body, err := s.Body(ctx, digest)
	if err != nil {
		return nil, err
	}
	return sheet.Parse(body)
}

// History returns up to limit records, the newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Record, error) {
	current, err := s.Current(ctx)
	if err != nil {
		return nil, err
	}
	var out []Record
	for v := current.Version; v > 0 && len(out) < limit; v-- {
		record, err := s.Version(ctx, v)
		if errkind.Is(err, errkind.NotFound) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		out = append(out, record)
	}
	return out, nil
}

// Version returns the record of one accepted version.
func (s *Store) Version(ctx context.Context, v ident.ConfigVersion) (Record, error) {
	row, err := s.table.Get(ctx, auditKey(v))
	if err != nil {
		return Record{}, err
	}
	return decodeRecord(row)
}

func auditKey(v ident.ConfigVersion) string { return fmt.Sprintf("%s%020d", auditPrefix, v) }

// ApplyRequest is a request to create a new version.
type ApplyRequest struct {
	// Seen is the version that the operator's change is based on.
	Seen  ident.ConfigVersion
	Sheet *sheet.Sheet
	// Parent is the sheet of version Seen, if the caller has it. The object store
	// is then not read, and a lost body cannot block a change.
	Parent   *sheet.Sheet
	Operator string
	Now      time.Time
}

// Apply makes a sheet the next version if Seen is still in force. Otherwise
// it returns an error of kind Conflict that names the version in force.
func (s *Store) Apply(ctx context.Context, req ApplyRequest) (Record, error) {
	current, row, err := s.current(ctx)
	if err != nil {
		return Record{}, err
	}
	if current.Version != req.Seen {
		return Record{}, conflict(current, req.Seen)
	}
	parent, err := s.parent(ctx, current, req.Parent)
	if err != nil {
		return Record{}, err
	}
	body := req.Sheet.Encode()
	next := Record{
		Version:  current.Version + 1,
		Digest:   exchange.Digest(body),
		Parent:   current.Digest,
		Operator: req.Operator,
		Time:     req.Now.UTC(),
		Changes:  len(sheet.Diff(parent, req.Sheet)),
	}
	delta := sheet.Delta(parent, req.Sheet)
	if err := s.putBody(ctx, next.Digest, body); err != nil {
		return Record{}, err
	}
	return s.commit(ctx, next, delta, row.Version)
}

// parent returns the sheet in force: the given one when its digest matches, or
// the one in the object store.
func (s *Store) parent(ctx context.Context, current Record, given *sheet.Sheet) (*sheet.Sheet, error) {
	if given != nil && exchange.Digest(given.Encode()) == current.Digest {
		return given, nil
	}
	return s.Sheet(ctx, current.Digest)
}

// CheckSeen returns an error of kind Conflict when another version is in force.
func (s *Store) CheckSeen(ctx context.Context, seen ident.ConfigVersion) error {
	current, err := s.Current(ctx)
	if err != nil || current.Version == seen {
		return err
	}
	return conflict(current, seen)
}

func conflict(current Record, seen ident.ConfigVersion) error {
	return errkind.New(errkind.Conflict, "version %d, applied by %s, is in force, the change is based on version %d",
		current.Version, current.Operator, seen)
}

// putBody stores a body under its digest. A retry after an unknown outcome writes
// the same bytes, so the write is idempotent.
func (s *Store) putBody(ctx context.Context, digest string, body []byte) error {
	var err error
	for range resolveAttempts {
		err = s.objects.Put(ctx, bodyPrefix+digest, body)
		if !errkind.Is(err, errkind.OutcomeUnknown) {
			break
		}
		if !timing.Sleep(ctx, resolveDelay) {
			break
		}
	}
	if errkind.Is(err, errkind.OutcomeUnknown) {
		// Nothing refers to the body yet, so the change has not been applied.
		return errkind.Wrap(errkind.StoreUnavailable, err, "store configuration body")
	}
	return err
}

func (s *Store) commit(ctx context.Context, next Record, delta []byte, have infra.RowVersion) (Record, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Record{}, errkind.Wrap(errkind.Internal, err, "encode configuration record")
	}
	audit := next
	if len(delta) <= maxRowDeltaBytes {
		audit.Delta = string(delta)
	}
	auditValue, err := json.Marshal(audit)
	if err != nil {
		return Record{}, errkind.Wrap(errkind.Internal, err, "encode audit record")
	}
	txn := infra.Txn{ID: ident.NewID("cfg-"), Ops: []infra.Op{
		{Kind: infra.OpPut, Key: currentKey, IfVersion: have, Value: value},
		{Kind: infra.OpPut, Key: auditKey(next.Version), Value: auditValue},
	}}
	err = s.commitAndResolve(ctx, txn, next.Version)
	if err == nil {
		return next, nil
	}
	if !errkind.Is(err, errkind.Conflict) {
		return Record{}, err
	}
	current, readErr := s.Current(ctx)
	if readErr != nil {
		return Record{}, err
	}
	return Record{}, conflict(current, next.Version-1)
}

// commitAndResolve commits a transaction and resolves an unknown outcome. The
// audit row of the version holds the id of the transaction that created it, even
// when a later version has replaced config/current. When the row is absent, the
// same transaction is sent again, because the first may still be in flight.
func (s *Store) commitAndResolve(ctx context.Context, txn infra.Txn, v ident.ConfigVersion) error {
	_, err := s.table.Commit(ctx, txn)
	unknown := errkind.Is(err, errkind.OutcomeUnknown)
	if !unknown {
		return err
	}
	for range resolveAttempts {
		row, readErr := s.table.Get(ctx, auditKey(v))
		switch {
		case readErr == nil && row.WriteID == txn.ID:
			return nil
		case readErr == nil:
			return errkind.New(errkind.Conflict, "version %d was written by another transaction", v)
		case errkind.Is(readErr, errkind.NotFound):
			if _, err = s.table.Commit(ctx, txn); err == nil {
				return nil
			}
		}
		if !timing.Sleep(ctx, resolveDelay) {
			break
		}
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "apply configuration; check the history before retrying")
}
