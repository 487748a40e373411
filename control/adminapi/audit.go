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

// maxHeld bounds the audit records that wait for the table to return.
const maxHeld = 1000

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

// Auditor writes the records of changes other than an apply. Operators must be able to make these while the table
// is down; the records are then held in memory and written when it returns.
type Auditor struct {
	table infra.Table

	mu   sync.Mutex
	held []infra.Op
	lost int
}

// NewAuditor returns an Auditor that writes to the table.
func NewAuditor(table infra.Table) *Auditor { return &Auditor{table: table} }

// Record writes a record together with those held back before.
func (a *Auditor) Record(ctx context.Context, r AuditRecord) error {
	op, err := r.Op()
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.held = append(a.held, op)
	if len(a.held) > maxHeld {
		a.held = a.held[1:]
		a.lost++
	}
	a.mu.Unlock()
	return a.Flush(ctx)
}

// Flush writes the records that are held. Each record is its own transaction
// with its own id, so that a repeat after a lost answer writes nothing twice.
func (a *Auditor) Flush(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.held) > 0 {
		op := a.held[0]
		_, err := a.table.Commit(ctx, infra.Txn{ID: op.Key, Ops: []infra.Op{op}})
		// A conflict means that an earlier attempt has written the row.
		if err != nil && !errkind.Is(err, errkind.Conflict) {
			return err
		}
		a.held = a.held[1:]
	}
	return nil
}

// Pending returns the number of records that wait to be written and of those
// that were dropped.
func (a *Auditor) Pending() (waiting, lost int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.held), a.lost
}
