package batche2e

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// storeLatency is the duration of each call to the store.
const storeLatency = 8 * time.Millisecond

// memoryStore is an in-memory implementation of the platform's table store.
type memoryStore struct {
	mu      sync.Mutex
	rows    map[string]rows.Row
	version rows.Version
	history []rows.Row
	changed chan struct{}
	// evacuated holds the zones that the operator evacuates.
	evacuated map[ident.Zone]bool
	// startedAt is when the store's clock showed zero.
	startedAt time.Time
}

func newMemoryStore() *memoryStore {
	return &memoryStore{startedAt: time.Now().Add(-time.Hour), rows: make(map[string]rows.Row), evacuated: make(map[ident.Zone]bool), changed: make(chan struct{})}
}

// storeClient is one process's access to the store. It can inject failures.
type storeClient struct {
	*memoryStore
	mu sync.Mutex
	// down makes every call fail. loseNextAnswer applies the next commit but
	// returns an unknown outcome.
	down, loseNextAnswer bool
	// refusesEvacuations makes reads of the evacuated zones fail.
	refusesEvacuations bool
	// evacuationDelay is how much longer they take than other calls.
	evacuationDelay time.Duration
}

func (c *storeClient) set(change func(*storeClient)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

func (c *storeClient) checkAvailable() error {
	time.Sleep(storeLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return errkind.New(errkind.StoreUnavailable, "the store is unavailable")
	}
	return nil
}

func (c *storeClient) Commit(_ context.Context, txn rows.Txn) (rows.Applied, error) {
	if err := c.checkAvailable(); err != nil {
		return rows.Applied{}, err
	}
	applied, err := c.apply(txn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loseNextAnswer {
		c.loseNextAnswer = false
		return rows.Applied{}, errkind.New(errkind.OutcomeUnknown, "the answer was lost")
	}
	return applied, err
}

func (s *memoryStore) apply(txn rows.Txn) (rows.Applied, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []rows.Row
	failed := false
	for _, e := range txn.Expect {
		current = append(current, s.rows[e.Key])
		failed = failed || s.rows[e.Key].Version != e.Version
	}
	if failed {
		return rows.Applied{}, rows.NewConflict(current)
	}
	s.version++
	for _, p := range txn.Put {
		s.putRow(rows.Row{Key: p.Key, Value: p.Value, Version: s.version})
	}
	for _, key := range txn.Remove {
		s.putRow(rows.Row{Key: key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return rows.Applied{Version: s.version, ClockMs: time.Since(s.startedAt).Milliseconds()}, nil
}

func (s *memoryStore) putRow(r rows.Row) {
	s.history = append(s.history, r)
	s.rows[r.Key] = r
	if r.Deleted {
		delete(s.rows, r.Key)
	}
}

func (c *storeClient) Read(_ context.Context, from, to string) (rows.Page, error) {
	if err := c.checkAvailable(); err != nil {
		return rows.Page{}, err
	}
	s := c.memoryStore
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

func (c *storeClient) Watch(ctx context.Context, after rows.Version, wait time.Duration) (rows.Page, error) {
	if err := c.checkAvailable(); err != nil {
		return rows.Page{}, err
	}
	deadline := time.After(wait)
	for {
		page, changed := c.since(after)
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
	for _, r := range s.history {
		if r.Version > after {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, s.changed
}
