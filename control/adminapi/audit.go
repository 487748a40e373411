package adminapi

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

const auditPrefix = "audit/change/"

// maxPendingRecords bounds the audit records kept in memory while the table is
// down. Beyond it the oldest record is dropped.
const maxPendingRecords = 1000

// AuditRecord says who changed what.
type AuditRecord struct {
	ID     string    `json:"id"`
	Time   time.Time `json:"time"`
	By     Actor     `json:"by"`
	Action string    `json:"action"`
	Target string    `json:"target"`
}

// NewAuditRecord returns a record of a change that happens now.
func NewAuditRecord(by Actor, action, target string) AuditRecord {
	return AuditRecord{ID: ident.NewID("aud-"), Time: time.Now().UTC(), By: by, Action: action, Target: target}
}

// Op returns the operation that writes the record inside a transaction.
func (r AuditRecord) Op() (infra.Op, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return infra.Op{}, errkind.Wrap(errkind.Internal, err, "encode audit record")
	}
	key := auditPrefix + r.Time.Format("2006-01-02T15:04:05.000") + "/" + r.ID
	return infra.Op{Kind: infra.OpPut, Key: key, Value: value}, nil
}

// Auditor writes the records of changes other than an apply. Operators must be
// able to make these changes while the table is down; the records are then kept
// in memory and written when the table is available again.
type Auditor struct {
	table infra.Table

	mu      sync.Mutex
	pending []infra.Op
	dropped int
}

// NewAuditor returns an Auditor that writes to the table.
func NewAuditor(table infra.Table) *Auditor { return &Auditor{table: table} }

// Record writes a record together with those that are still pending.
func (a *Auditor) Record(ctx context.Context, r AuditRecord) error {
	op, err := r.Op()
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.pending = append(a.pending, op)
	if len(a.pending) > maxPendingRecords {
		a.pending = a.pending[1:]
		a.dropped++
	}
	a.mu.Unlock()
	return a.Flush(ctx)
}

// Flush writes the pending records. Each record is its own transaction with its
// own id, so that a retry after a lost answer writes nothing twice.
func (a *Auditor) Flush(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.pending) > 0 {
		op := a.pending[0]
		_, err := a.table.Commit(ctx, infra.Txn{ID: op.Key, Ops: []infra.Op{op}})
		// A conflict means that an earlier attempt has written the row.
		if err != nil && !errkind.Is(err, errkind.Conflict) {
			return err
		}
		a.pending = a.pending[1:]
	}
	return nil
}

// Pending returns the number of records that wait to be written and the number
// of those that were dropped.
func (a *Auditor) Pending() (pending, dropped int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending), a.dropped
}
