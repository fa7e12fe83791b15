package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// row is a row of the store as it is on the wire.
	row struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"resource_version"`
		Deleted bool   `json:"tombstone,omitempty"`
	}

	rowName struct{ table, part, key string }

	// store is a stand-in for the platform's store of rows.
	store struct {
		mu      sync.Mutex
		rows    map[rowName]row
		history []row
		version int64
		changed chan struct{}
		// down is set while the store resets all connections.
		down    bool
		started time.Time
	}
)

const maxPage = 500

func newStore() *store {
	return &store{rows: make(map[rowName]row), changed: make(chan struct{}), started: time.Now()}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		// The connection is reset.
		panic(http.ErrAbortHandler)
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/rows-tx":
		s.serveTransaction(w, r)
	case "GET /v1/rows-get":
		s.serveRead(w, r)
	case "GET /v1/rows-feed":
		s.serveFeed(w, r)
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.signal()
}

// signal wakes the calls that wait for changes. The lock is held.
func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expect, Writes, Deletes []row
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil || len(txn.Expect)+len(txn.Writes)+len(txn.Deletes) > 100 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, x := range append(slices.Clone(txn.Writes), txn.Deletes...) {
		if x.Table == "op" || x.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if len(x.Value) > 65536 || x.Key == "" {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	// A transaction takes 3 ms.
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []row{}, false
	for _, x := range txn.Expect {
		have, ok := s.rows[x.name()]
		if ok {
			current = append(current, have)
		}
		conflict = conflict || have.Version != x.Version
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "resource_version": s.version, "now_ms": s.nowMS()})
		return
	}
	s.apply(txn.Writes, txn.Deletes)
	reply(w, http.StatusOK, map[string]any{"resource_version": s.version, "now_ms": s.nowMS()})
}

func (r *row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// apply performs a transaction. The lock is held.
func (s *store) apply(writes, deletes []row) {
	s.version++
	for _, x := range writes {
		x.Version, x.Deleted = s.version, false
		s.rows[x.name()] = x
		s.history = append(s.history, x)
	}
	for _, x := range deletes {
		delete(s.rows, x.name())
		x.Value, x.Version, x.Deleted = nil, s.version, true
		s.history = append(s.history, x)
	}
	s.signal()
}

// put writes a row as the operator and the runners do. It reports whether the store is up.
func (s *store) put(table, key string, v any) bool {
	b, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.apply([]row{{Table: table, Key: key, Value: b}}, nil)
	}
	return !s.down
}

func (s *store) drop(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.apply(nil, []row{{Table: table, Key: key}})
	}
	return !s.down
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for n, x := range s.rows {
		if n.table == q.Get("table") && n.part == q.Get("part") && n.key >= q.Get("from") && (q.Get("target") == "" || n.key < q.Get("target")) {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	rows = rows[:min(len(rows), limit)]
	reply(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "resource_version": s.version, "now_ms": s.nowMS()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 30_000))*time.Millisecond)
	defer cancel()
	for expired := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		rows := []row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Version > after; i-- {
			if s.history[i].Table == q.Get("table") {
				rows = append(rows, s.history[i])
			}
		}
		slices.Reverse(rows)
		version, changed, now := s.version, s.changed, s.nowMS()
		s.mu.Unlock()
		if len(rows) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "resource_version": version, "now_ms": now})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			expired = true
		}
	}
}
