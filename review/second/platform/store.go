package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// rowKey identifies a row of the store.
	rowKey struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
	}

	// row is a row as the store sends it.
	row struct {
		rowKey
		Value     []byte `json:"value,omitempty"`
		Version   int64  `json:"resource_version"`
		Tombstone bool   `json:"tombstone,omitempty"`
	}

	// transaction is the body of a rows-tx call.
	transaction struct {
		Across bool `json:"across"`
		Expect []struct {
			rowKey
			Version int64 `json:"resource_version"`
		} `json:"expect"`
		Writes []struct {
			rowKey
			Value []byte `json:"value"`
		} `json:"writes"`
		Deletes []rowKey `json:"deletes"`
	}

	// rowsAnswer is the answer to all calls of the store.
	rowsAnswer struct {
		Rows    []row `json:"rows"`
		More    bool  `json:"has_more"`
		Version int64 `json:"resource_version"`
		NowMS   int64 `json:"now_ms"`
	}

	// store is a stand-in for the platform's store with rows in tables. It loses
	// nothing, keeps its whole history and applies transactions one after another.
	store struct {
		begun time.Time

		// down is set while the store refuses all calls with 503.
		down atomic.Bool

		mu      sync.Mutex
		version int64
		rows    map[rowKey]row
		history []row
		// changed is closed and replaced at each transaction.
		changed chan struct{}
	}
)

const (
	transactionTime = 3 * time.Millisecond
	maxPageRows     = 500
	maxEntries      = 100
	maxRowBytes     = 65536
)

func newStore() *store {
	return &store{begun: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// handler serves the calls of the store that the program makes.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /v1/rows-get", s.serveGet)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool, version int64) {
	if rows == nil {
		rows = []row{}
	}
	writeJSON(w, status, rowsAnswer{rows, more, version, time.Since(s.begun).Milliseconds()})
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || !t.valid() {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "malformed transaction"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	time.Sleep(transactionTime)
	var current []row
	conflict := false
	for _, e := range t.Expect {
		found, ok := s.rows[e.rowKey]
		if ok {
			current = append(current, found)
		}
		conflict = conflict || found.Version != e.Version
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	s.version++
	for _, e := range t.Writes {
		s.apply(row{rowKey: e.rowKey, Value: e.Value, Version: s.version})
	}
	for _, k := range t.Deletes {
		if _, ok := s.rows[k]; ok {
			s.apply(row{rowKey: k, Version: s.version, Tombstone: true})
		}
	}
	s.signal()
	s.answer(w, http.StatusOK, nil, false, s.version)
}

// valid reports whether a transaction keeps to the limits of the store.
func (t *transaction) valid() bool {
	parts := make(map[string]bool)
	for _, e := range t.Expect {
		parts[e.Part] = true
	}
	for _, e := range t.Writes {
		parts[e.Part] = true
		if len(e.Value) > maxRowBytes || e.Table == "op" || e.Table == "servers" {
			return false
		}
	}
	for _, k := range t.Deletes {
		parts[k.Part] = true
	}
	return len(t.Expect)+len(t.Writes)+len(t.Deletes) <= maxEntries && (t.Across || len(parts) <= 1)
}

// apply stores a change. The caller holds mu.
func (s *store) apply(r row) {
	if r.Tombstone {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.history = append(s.history, r)
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row on behalf of the operator or of a runner.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{rowKey: rowKey{Table: table, Key: key}, Value: b, Version: s.version})
	s.signal()
}

// remove deletes a row on behalf of the operator or of the platform.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := rowKey{Table: table, Key: key}
	if _, ok := s.rows[k]; !ok {
		return
	}
	s.version++
	s.apply(row{rowKey: k, Version: s.version, Tombstone: true})
	s.signal()
}

// get returns the value of a row, nil if it is absent.
func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for k, r := range s.rows {
		before := q.Get("target") == "" || k.Key < q.Get("target")
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && before {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > limit
	s.answer(w, http.StatusOK, found[:min(len(found), limit)], more, s.version)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for expired := waitMS == 0; ; {
		s.mu.Lock()
		var changes []row
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, v int64) int { return int(r.Version - v) })
		for _, change := range s.history[first:] {
			if change.Table == q.Get("table") {
				changes = append(changes, change)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(changes) > 0 || expired {
			s.answer(w, http.StatusOK, changes, false, version)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			expired = true
		case <-changed:
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer may have closed the connection.
	_, _ = w.Write(b)
}
