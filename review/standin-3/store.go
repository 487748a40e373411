package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// txTime is how long a transaction takes.
const txTime = 8 * time.Millisecond

// row is a row of the store as it is on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	began time.Time
	// down lets all calls be refused with status 503.
	down atomic.Bool

	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	ver     uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
}

// handler serves the store's interface.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.Transaction, s.transact)
	mux.HandleFunc("GET "+names.Read, s.read)
	mux.HandleFunc("GET "+names.Watch, s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) stateLocked() map[string]any {
	return map[string]any{"ver": s.ver, "now_ms": time.Since(s.began).Milliseconds()}
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked([]row{{Table: table, Key: key, Value: raw}}, nil)
	return nil
}

func (s *store) applyLocked(puts, remove []row) {
	s.ver++
	for _, p := range puts {
		p.Ver, p.Deleted = s.ver, false
		s.rows[rowID{p.Table, p.Part, p.Key}] = p
		s.history = append(s.history, p)
	}
	for _, p := range remove {
		id := rowID{p.Table, p.Part, p.Key}
		if _, ok := s.rows[id]; ok {
			delete(s.rows, id)
			s.history = append(s.history, row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in transaction
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	met := true
	for _, e := range in.Expected {
		found, ok := s.rows[rowID{e.Table, e.Part, e.Key}]
		met = met && found.Ver == e.Ver
		if ok {
			current = append(current, found)
		}
	}
	out := s.stateLocked()
	if !met {
		out["rows"] = current
		reply(w, http.StatusPreconditionFailed, out)
		return
	}
	s.applyLocked(in.Puts, in.Remove)
	reply(w, http.StatusOK, s.stateLocked())
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for id, v := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			found = append(found, v)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	out := s.stateLocked()
	out["has_more"] = len(found) > limit
	out["rows"] = found[:min(limit, len(found))]
	reply(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		found, changed, state := []row{}, s.changed, s.stateLocked()
		for _, v := range s.history {
			if v.Ver > after && v.Table == q.Get("table") {
				found = append(found, v)
			}
		}
		s.mu.Unlock()
		if len(found) > 0 || !waiting {
			state["rows"] = found
			reply(w, http.StatusOK, state)
			return
		}
		select {
		case <-changed:
		case <-expired:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// reply writes a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller may have left.
}
