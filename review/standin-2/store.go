package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type txn struct {
	Expected, Puts, Remove []row
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *txn) UnmarshalJSON(raw []byte) error {
	var object map[string]json.RawMessage
	return errors.Join(json.Unmarshal(raw, &object), field(object, names.Conditions, &t.Expected),
		field(object, "puts", &t.Puts), field(object, "remove", &t.Remove))
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's metadata store.
type store struct {
	log  *record
	addr string

	mu      sync.Mutex
	rows    map[rowID]row
	changes []row
	ver     uint64
	changed chan struct{}
	began   time.Time
	// loses says of a transaction of the system whether its answer is lost, and how late it is
	// performed. It may be nil.
	loses func(t *txn) (late time.Duration, lost bool)
	// writes counts the transactions, lost those without an answer.
	writes, lost int
}

// Times of a call, as the pages state them.
const (
	txTime   = 8 * time.Millisecond
	readTime = 4 * time.Millisecond
)

func newStore(log *record) (*store, error) {
	s := &store{log: log, rows: map[rowID]row{}, changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.Transaction, s.serveTx)
	mux.HandleFunc("GET "+names.Read, s.serveGet)
	mux.HandleFunc("GET "+names.Watch, s.serveFeed)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	raw, _ := json.Marshal(value)
	s.apply(&txn{Puts: []row{{Table: table, Key: key, Value: raw}}})
	s.log.line("operator writes %s/%s: %s", table, key, raw)
}

// apply carries out a transaction. It returns false if a condition does not hold.
func (s *store) apply(t *txn) (bool, []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	ok := true
	for _, e := range t.Expected {
		id := rowID{e.Table, e.Part, e.Key}
		now, found := s.rows[id]
		if found {
			current = append(current, now)
		}
		ok = ok && now.Ver == e.Ver
	}
	if !ok {
		return false, current
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver = s.ver
		s.rows[rowID{p.Table, p.Part, p.Key}] = p
		s.changes = append(s.changes, p)
	}
	for _, p := range t.Remove {
		delete(s.rows, rowID{p.Table, p.Part, p.Key})
		s.changes = append(s.changes, row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true, nil
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	s.mu.Lock()
	if _, ok := body["ver"]; !ok {
		body["ver"] = s.ver
	}
	body["now_ms"] = time.Since(s.began).Milliseconds() + 1
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row{}, t.Puts...), t.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	s.writes++
	loses := s.loses
	s.mu.Unlock()
	if loses != nil {
		if late, lost := loses(&t); lost {
			s.mu.Lock()
			s.lost++
			s.mu.Unlock()
			s.log.line("store: a write of %s gets no answer", keysOf(&t))
			time.AfterFunc(max(late, txTime), func() {
				ok, _ := s.apply(&t)
				s.log.line("store: the write of %s without an answer is performed, if its condition holds: %v", keysOf(&t), ok)
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	time.Sleep(txTime)
	ok, current := s.apply(&t)
	if !ok {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.reply(w, http.StatusOK, map[string]any{})
}

func keysOf(t *txn) string {
	var keys []string
	for _, p := range t.Puts {
		keys = append(keys, p.Key)
	}
	return strings.Join(keys, " ")
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	out := []row{}
	s.mu.Lock()
	for id, v := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			out = append(out, v)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": out, "has_more": more, "ver": ver})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(readTime)
	for {
		out := []row{}
		s.mu.Lock()
		for _, c := range s.changes {
			if c.Table == q.Get("table") && c.Ver > after {
				out = append(out, c)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-timer:
			s.reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}
