package standin

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/infra"
)

// Usage holds the numbers of operations that a store has served.
type Usage struct {
	// Reads is the number of Get and List calls.
	Reads int
	// Writes is the number of Commit, Put and Delete calls that reached the store.
	Writes int
	// RowsWritten is the number of rows changed by transactions.
	RowsWritten int
}

// Store is an in-memory table and object store, with separate faults for each.
type Store struct {
	tableFaults  faultSet
	objectFaults faultSet

	mu      sync.Mutex
	rows    map[string]infra.Row
	objects map[string][]byte
	// results holds the result of each applied transaction by its id, so that a
	// transaction that is sent again returns it and isn't applied twice.
	results map[string]infra.CommitResult
	// nextVersion is shared by all rows, so that a row that is deleted and created
	// again never gets an earlier version.
	nextVersion infra.RowVersion
	usage       Usage
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows:    make(map[string]infra.Row),
		objects: make(map[string][]byte),
		results: make(map[string]infra.CommitResult),
	}
}

// SetTableFaults sets the faults of the table for a client, or for AnyClient.
func (s *Store) SetTableFaults(client string, f Faults) { s.tableFaults.set(client, f) }

// SetObjectFaults sets the faults of the object store for a client, or for
// AnyClient.
func (s *Store) SetObjectFaults(client string, f Faults) { s.objectFaults.set(client, f) }

// Usage returns the numbers of operations since the store was created.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

// Table returns the table as seen by the named client, with its faults.
func (s *Store) Table(client string) infra.Table { return &tableView{store: s, client: client} }

// Objects returns the object store as seen by the named client, with its faults.
func (s *Store) Objects(client string) infra.ObjectStore {
	return &objectView{store: s, client: client}
}

type tableView struct {
	store  *Store
	client string
}

// Get implements infra.Table.
func (v *tableView) Get(ctx context.Context, key string) (infra.Row, error) {
	if err := v.store.tableFaults.beforeCall(ctx, v.client); err != nil {
		return infra.Row{}, err
	}
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Reads++
	row, ok := s.rows[key]
	if !ok {
		return infra.Row{}, errkind.New(errkind.NotFound, "row %q does not exist", key)
	}
	return cloneRow(row), nil
}

// List implements infra.Table.
func (v *tableView) List(ctx context.Context, prefix string) ([]infra.Row, error) {
	if err := v.store.tableFaults.beforeCall(ctx, v.client); err != nil {
		return nil, err
	}
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Reads++
	var found []infra.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, cloneRow(row))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// Commit implements infra.Table.
func (v *tableView) Commit(ctx context.Context, txn infra.Txn) (infra.CommitResult, error) {
	if err := v.store.tableFaults.beforeCall(ctx, v.client); err != nil {
		return infra.CommitResult{}, err
	}
	result, err := v.store.commit(txn)
	if err != nil {
		return infra.CommitResult{}, err
	}
	if err := v.store.tableFaults.afterWrite(v.client); err != nil {
		return infra.CommitResult{}, err
	}
	return result, nil
}

func (s *Store) commit(txn infra.Txn) (infra.CommitResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Writes++
	if result, ok := s.results[txn.ID]; ok {
		return result, nil
	}
	for _, op := range txn.Ops {
		if have := s.rows[op.Key].Version; have != op.IfVersion {
			return infra.CommitResult{}, errkind.New(errkind.Conflict,
				"row %q has version %d, not %d", op.Key, have, op.IfVersion)
		}
	}
	result := infra.CommitResult{Versions: make([]infra.RowVersion, len(txn.Ops))}
	for i, op := range txn.Ops {
		result.Versions[i] = s.apply(txn.ID, op)
	}
	s.results[txn.ID] = result
	return result, nil
}

func (s *Store) apply(txnID string, op infra.Op) infra.RowVersion {
	switch op.Kind {
	case infra.OpDelete:
		delete(s.rows, op.Key)
		s.usage.RowsWritten++
		return 0
	case infra.OpPut:
		s.nextVersion++
		s.usage.RowsWritten++
		value := append([]byte(nil), op.Value...)
		s.rows[op.Key] = infra.Row{Key: op.Key, Version: s.nextVersion, WriteID: txnID, Value: value}
		return s.nextVersion
	default:
		return op.IfVersion
	}
}

func cloneRow(row infra.Row) infra.Row {
	row.Value = append([]byte(nil), row.Value...)
	return row
}

type objectView struct {
	store  *Store
	client string
}

// Put implements infra.ObjectStore.
func (v *objectView) Put(ctx context.Context, key string, body []byte) error {
	if err := v.store.objectFaults.beforeCall(ctx, v.client); err != nil {
		return err
	}
	s := v.store
	s.mu.Lock()
	s.usage.Writes++
	s.objects[key] = append([]byte(nil), body...)
	s.mu.Unlock()
	return s.objectFaults.afterWrite(v.client)
}

// Get implements infra.ObjectStore.
func (v *objectView) Get(ctx context.Context, key string) ([]byte, error) {
	if err := v.store.objectFaults.beforeCall(ctx, v.client); err != nil {
		return nil, err
	}
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Reads++
	body, ok := s.objects[key]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "object %q does not exist", key)
	}
	return append([]byte(nil), body...), nil
}

// List implements infra.ObjectStore.
func (v *objectView) List(ctx context.Context, prefix string) ([]string, error) {
	if err := v.store.objectFaults.beforeCall(ctx, v.client); err != nil {
		return nil, err
	}
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Reads++
	var keys []string
	for key := range s.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys, nil
}

// Delete implements infra.ObjectStore.
func (v *objectView) Delete(ctx context.Context, key string) error {
	if err := v.store.objectFaults.beforeCall(ctx, v.client); err != nil {
		return err
	}
	s := v.store
	s.mu.Lock()
	s.usage.Writes++
	delete(s.objects, key)
	s.mu.Unlock()
	return s.objectFaults.afterWrite(v.client)
}
