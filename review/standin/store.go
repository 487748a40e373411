package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as PROTOCOL.md and the settings state them.
const (
	maxTxEntries = 100
	// maxTxBytes is counted in the decoded rows, the most lenient reading of "at most 1 MB".
	maxTxBytes  = 1 << 20
	maxRowBytes = 65536
	maxPageRows = 500
	// txTime is tx_ms, partInterval follows from part_writes_per_s.
	txTime       = 8 * time.Millisecond
	partInterval = time.Second / 150
	answerTime   = 4 * time.Millisecond
	retention    = 20 * time.Second
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type tx struct{ Expected, Puts, Remove []row }

type page struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"now_ms"`
}

// store is a stand-in for the platform's store: it keeps rows in memory, applies
// transactions one after another and serves a feed of changes.
type store struct {
	log   *record
	start time.Time

	mu          sync.Mutex
	rows        map[string]row
	history     []row
	compactedTo uint64
	ver         uint64
	changed     chan struct{}
	down        bool
	nextFree    time.Time
	largestTx   int
	refusedSize int
}

func newStore(log *record) *store {
	return &store{log: log, start: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(wire.Commit, s.serveTx)
	mux.HandleFunc(wire.Read, s.serveGet)
	mux.HandleFunc(wire.Feed, s.serveFeed)
	return mux
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// refuses answers 503 while the store is down; nothing is done then.
func (s *store) refuses(w http.ResponseWriter) bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return down
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	if s.refuses(w) {
		return
	}
	raw, err := readAll(r)
	var t tx
	if err != nil || decode(raw, map[string]any{wire.Expected: &t.Expected, "puts": &t.Puts, "remove": &t.Remove}) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.withinLimits(len(raw), t) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.waitForTurn(w) {
		return
	}
	if s.refuses(w) {
		return
	}
	status, p := s.apply(t)
	s.write(w, status, p)
}

// withinLimits checks the limits of a call.
func (s *store) withinLimits(size int, t tx) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largestTx = max(s.largestTx, size)
	content := 0
	for _, p := range t.Puts {
		content += len(p.Value)
	}
	ok := content <= maxTxBytes && len(t.Expected)+len(t.Puts)+len(t.Remove) <= maxTxEntries
	for _, p := range t.Puts {
		ok = ok && len(p.Value) <= maxRowBytes
	}
	if !ok {
		s.refusedSize++
		if s.refusedSize <= 5 || s.refusedSize%50 == 0 {
			s.log.line("store: transaction refused with 400 (number %d): %d bytes, of them %d of rows; %d entries", s.refusedSize, size, content,
				len(t.Expected)+len(t.Puts)+len(t.Remove))
		}
	}
	return ok
}

// waitForTurn waits until the part has handled the transactions before this one.
func (s *store) waitForTurn(w http.ResponseWriter) bool {
	s.mu.Lock()
	now := time.Now()
	turn := s.nextFree
	if turn.Before(now) {
		turn = now
	}
	if turn.Sub(now) > time.Second {
		s.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	s.nextFree = turn.Add(partInterval)
	s.mu.Unlock()
	time.Sleep(time.Until(turn) + txTime)
	return true
}

func (s *store) apply(t tx) (int, page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []row
	for _, e := range t.Expected {
		r, ok := s.rows[e.id()]
		conflict = conflict || r.Ver != e.Ver
		if ok {
			current = append(current, r)
		}
	}
	if conflict {
		return http.StatusPreconditionFailed, page{Rows: current, Ver: s.ver}
	}
	s.ver++
	now := time.Now()
	for _, p := range t.Puts {
		p.Ver, p.at = s.ver, now
		s.rows[p.id()] = p
		s.history = append(s.history, p)
	}
	for _, d := range t.Remove {
		delete(s.rows, d.id())
		s.history = append(s.history, row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.ver, Deleted: true, at: now})
	}
	s.trimHistory(now)
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, page{Ver: s.ver}
}

func (s *store) trimHistory(now time.Time) {
	n := 0
	for n < len(s.history) && now.Sub(s.history[n].at) > retention {
		s.compactedTo = s.history[n].Ver
		n++
	}
	if n > 1000 {
		s.history = append([]row(nil), s.history[n:]...)
	}
}

func (s *store) write(w http.ResponseWriter, status int, p page) {
	if p.Rows == nil {
		p.Rows = []row{}
	}
	p.NowMs = time.Since(s.start).Milliseconds()
	writeJSON(w, status, p)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	if s.refuses(w) {
		return
	}
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	p := page{Ver: s.ver}
	for _, row := range s.rows {
		inRange := row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to"))
		if row.Table == q.Get("table") && row.Part == q.Get("part") && inRange {
			p.Rows = append(p.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Rows, func(i, j int) bool { return strings.Compare(p.Rows[i].Key, p.Rows[j].Key) < 0 })
	size := 0
	for i := range p.Rows {
		size += len(p.Rows[i].Value)*4/3 + 200
		if i >= limit || i > 0 && size > maxTxBytes {
			p.Rows, p.HasMore = p.Rows[:i], true
			break
		}
	}
	s.write(w, http.StatusOK, p)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	if s.refuses(w) {
		return
	}
	time.Sleep(answerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		p := page{Ver: s.ver}
		gone, changed, down := after < s.compactedTo, s.changed, s.down
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, row := range s.history[first:] {
			if row.Table == q.Get("table") {
				p.Rows = append(p.Rows, row)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(p.Rows) > 0:
			s.write(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.write(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// put writes a row for the operator.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(tx{Puts: []row{{Table: table, Key: key, Value: raw}}})
}
