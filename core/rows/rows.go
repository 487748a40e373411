// Package rows defines the durable rows of the system and the store that
// keeps them: conditional transactions, range reads and a feed of changes.
package rows

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Version orders the changes of the store. Zero means that a row is absent.
type Version uint64

// Row is one record.
type Row struct {
	Key   string
	Value []byte
	// Version is that of the row's last change.
	Version Version
	// Deleted marks the removal of a row in the answer of Watch.
	Deleted bool
}

// Expect is a condition of a transaction: the row has this version.
type Expect struct {
	Key     string
	Version Version
}

// Put writes a row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a conditional transaction. All of it takes effect, or none.
type Txn struct {
	Expect []Expect
	Put    []Put
	Remove []string
}

// MaxEntries is the largest number of entries of a transaction, as the
// platform's store documents it.
const MaxEntries = 100

// Page is the answer to a range read, as of one moment.
type Page struct {
	Rows []Row
	// At is the version of the store as of the read.
	At Version
	// More says that the range holds further rows.
	More bool
}

// Store keeps rows. Errors have the kinds StoreUnavailable (nothing was
// done), Conflict (a condition failed, nothing was done; see Current),
// OutcomeUnknown (the answer was lost) or HistoryLost (Watch only).
type Store interface {
	// Commit applies txn and returns the version of its rows.
	Commit(ctx context.Context, txn Txn) (Version, error)
	// Read returns the rows with from <= key < to.
	Read(ctx context.Context, from, to string) (Page, error)
	// Watch returns the changes after a version, and waits for the first one
	// at most wait.
	Watch(ctx context.Context, after Version, wait time.Duration) (Page, error)
}

// ConflictError reports the rows whose conditions failed.
type ConflictError struct {
	// Current holds the rows of the conditions as they are.
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
