package batche2e

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// answerDelay is the stand-in's time for each call.
const answerDelay = 8 * time.Millisecond

// memoryStore stands in for the platform's table store.
type memoryStore struct {
	mu      sync.Mutex
	rows    map[string]rows.Row
	version rows.Version
	log     []rows.Row
	changed chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: make(map[string]rows.Row), changed: make(chan struct{})}
}

// access is one process's way to the store, which can fail.
type access struct {
	*memoryStore
	mu sync.Mutex
	// down refuses every call, loseNext does the next commit and loses its answer.
	down, loseNext bool
}

func (a *access) set(change func(*access)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a)
}

func (a *access) refused() error {
	time.Sleep(answerDelay)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return errkind.New(errkind.StoreUnavailable, "the store refuses this machine")
	}
	return nil
}

func (a *access) Commit(_ context.Context, txn rows.Txn) (rows.Version, error) {
	if err := a.refused(); err != nil {
		return 0, err
	}
	version, err := a.apply(txn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loseNext {
		a.loseNext = false
		return 0, errkind.New(errkind.OutcomeUnknown, "the answer was lost")
	}
	return version, err
}

func (s *memoryStore) apply(txn rows.Txn) (rows.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []rows.Row
	failed := false
	for _, e := range txn.Expect {
		current = append(current, s.rows[e.Key])
		failed = failed || s.rows[e.Key].Version != e.Version
	}
	if failed {
		return 0, rows.NewConflict(current)
	}
	s.version++
	for _, p := range txn.Put {
		s.change(rows.Row{Key: p.Key, Value: p.Value, Version: s.version})
	}
	for _, key := range txn.Remove {
		s.change(rows.Row{Key: key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

func (s *memoryStore) change(r rows.Row) {
	s.log = append(s.log, r)
	s.rows[r.Key] = r
	if r.Deleted {
		delete(s.rows, r.Key)
	}
}

func (a *access) Read(_ context.Context, from, to string) (rows.Page, error) {
	if err := a.refused(); err != nil {
		return rows.Page{}, err
	}
	s := a.memoryStore
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rows.Page{At: s.version}
	for key, r := range s.rows {
		if key >= from && (to == "" || key < to) {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(x, y rows.Row) int { return strings.Compare(x.Key, y.Key) })
	return page, nil
}

func (a *access) Watch(ctx context.Context, after rows.Version, wait time.Duration) (rows.Page, error) {
	if err := a.refused(); err != nil {
		return rows.Page{}, err
	}
	deadline := time.After(wait)
	for {
		page, changed := a.since(after)
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return page, nil
		case <-ctx.Done():
			return rows.Page{}, errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "feed")
		}
	}
}

func (s *memoryStore) since(after rows.Version) (rows.Page, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rows.Page{At: s.version}
	for _, r := range s.log {
		if r.Version > after {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, s.changed
}
