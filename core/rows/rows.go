// Package rows defines the durable rows of the system and the interface of the
// store that keeps them: conditional transactions, range reads and a watch.
package rows

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Version orders the changes of the store. Zero stands for an absent row.
type Version uint64

// Row is one record.
type Row struct {
	Key   string
	Value []byte
	// Version is the version of the row's last change.
	Version Version
	// Deleted is set in the result of Watch if the row was removed.
	Deleted bool
}

// Expect is a condition of a transaction: the row must have this version.
type Expect struct {
	Key     string
	Version Version
}

// Put writes a row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a conditional transaction. It is applied atomically.
type Txn struct {
	Expect []Expect
	Put    []Put
	Remove []string
}

// Applied is the result of a transaction that was applied.
type Applied struct {
	// Version is the version of its rows.
	Version Version
	// ClockMs is the store's steady clock between the request and the response, or zero if
	// the response does not state it.
	ClockMs int64
}

// MaxEntries is the largest number of entries of a transaction, as the
// platform's store documents it.
const MaxEntries = 100

// MaxBytes is the largest size of a transaction in bytes, as the platform's store documents it.
const MaxBytes = 1_000_000

// DefaultRowBytes is the largest value of a row, in bytes, if a deployment states none.
const DefaultRowBytes = 64 << 10

// Page is the result of a range read or a watch, consistent at one version.
type Page struct {
	Rows []Row
	// At is the version of the store as of the read.
	At Version
	// More is set if the range holds further rows.
	More bool
}

// Store keeps rows. Errors have the kinds StoreUnavailable (nothing was
// changed), Conflict (a condition failed, nothing was changed; see
// ConflictError), OutcomeUnknown (the response was lost) or HistoryLost (Watch
// only).
type Store interface {
	// Commit applies txn.
	Commit(ctx context.Context, txn Txn) (Applied, error)
	// Read returns the rows with from <= key < to.
	Read(ctx context.Context, from, to string) (Page, error)
	// Watch returns the changes after a version. If there are none it waits for
	// the first one, at most for the given time.
	Watch(ctx context.Context, after Version, wait time.Duration) (Page, error)
}

// Latest is the newest value of one row.
type Latest struct {
	// Value is nil if the row does not exist or has not changed.
	Value []byte
	// At is the version of the store at which Value was the newest one.
	At Version
	// Superseded is the number of older values that came with it.
	Superseded int
}

// ConflictError reports that a condition of a transaction failed.
type ConflictError struct {
	// Current holds the current rows with the keys of the conditions.
	Current []Row
	cause   error
}

// NewConflict returns an error of kind Conflict that carries the current rows.
func NewConflict(current []Row) error {
	return &ConflictError{Current: current, cause: errkind.New(errkind.Conflict, "a condition of the transaction failed")}
}

// Error returns the message.
func (e *ConflictError) Error() string { return e.cause.Error() }

// Unwrap returns the error that carries the kind.
func (e *ConflictError) Unwrap() error { return e.cause }

// Row returns the current row with the given key, or false if it is absent.
func (e *ConflictError) Row(key string) (Row, bool) {
	for _, r := range e.Current {
		if r.Key == key && r.Version != 0 && !r.Deleted {
			return r, true
		}
	}
	return Row{}, false
}
