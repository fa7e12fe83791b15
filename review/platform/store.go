package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store, in the form in which responses carry it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"resource_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	started time.Time
	// parts serializes the transactions on one part.
	parts map[string]*sync.Mutex
	// silentUntil is the end of an outage in which no call is answered. The
	// transactions that arrive in it are carried out lateness after their arrival,
	// if their checks still hold.
	silentUntil time.Time
	lateness    time.Duration
}

const (
	transactionTime = 3 * time.Millisecond
	maxRowBytes     = 65536
	maxEntries      = 100
	maxPage         = 500
)

func newStore() *store {
	return &store{
		rows: make(map[rowKey]row), changed: make(chan struct{}), started: time.Now(), parts: make(map[string]*sync.Mutex),
	}
}

// set writes or, with a nil value, deletes a row. The lock is held.
func (s *store) set(k rowKey, value []byte) {
	r := row{Table: k.table, Part: k.part, Key: k.key, Value: value, Version: s.version, Tombstone: value == nil}
	if value == nil {
		if _, ok := s.rows[k]; !ok {
			return
		}
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

// put writes a row of the operator or of a runner. A nil value deletes it.
func (s *store) put(table, key string, value any) {
	var encoded []byte
	if value != nil {
		encoded, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(rowKey{table, "", key}, encoded)
	s.signal()
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent, lateness := time.Now().Before(s.silentUntil), s.lateness
		s.mu.Unlock()
		if !silent {
			mux.ServeHTTP(w, r)
			return
		}
		if body, err := io.ReadAll(r.Body); err == nil && r.Method == http.MethodPost {
			late := r.Clone(context.Background())
			late.Body = io.NopCloser(bytes.NewReader(body))
			time.AfterFunc(lateness, func() { mux.ServeHTTP(httptest.NewRecorder(), late) })
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
}

// silence begins an outage.
func (s *store) silence(d, lateness time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil, s.lateness = time.Now().Add(d), lateness
}

// reply sends a response with the version and the steady clock of the store.
func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool, version int64) {
	if rows == nil {
		rows = []row{}
	}
	respond(w, status, map[string]any{
		"rows": rows, "has_more": more, "resource_version": version, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = new(sync.Mutex)
	}
	return s.parts[part]
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Across                  bool
		Expect, Writes, Deletes []row
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Writes)+len(t.Deletes) > maxEntries {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	var parts []string
	for _, e := range slices.Concat(t.Expect, t.Writes, t.Deletes) {
		if !slices.Contains(parts, e.Part) {
			parts = append(parts, e.Part)
		}
	}
	for _, e := range slices.Concat(t.Writes, t.Deletes) {
		if e.Table == "op" || e.Table == "servers" {
			respond(w, http.StatusForbidden, struct{}{})
			return
		}
		if len(e.Value) > maxRowBytes {
			respond(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	if len(parts) > 1 && !t.Across {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	slices.Sort(parts)
	for _, p := range parts {
		l := s.partLock(p)
		l.Lock()
		defer l.Unlock()
	}
	time.Sleep(transactionTime * time.Duration(max(len(parts), 1)))
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	var current []row
	for _, e := range t.Expect {
		r, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, r)
		}
		failed = failed || r.Version != e.Version
	}
	if failed {
		s.reply(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	s.version++
	for _, e := range t.Writes {
		s.set(rowKey{e.Table, e.Part, e.Key}, append([]byte{}, e.Value...))
	}
	for _, e := range t.Deletes {
		s.set(rowKey{e.Table, e.Part, e.Key}, nil)
	}
	s.signal()
	s.reply(w, http.StatusOK, nil, false, s.version)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") &&
			(q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, v)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.reply(w, http.StatusOK, rows[:min(limit, len(rows))], more, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for expired := false; ; {
		s.mu.Lock()
		var rows []row
		for i := len(s.history) - 1; i >= 0 && s.history[i].Version > after; i-- {
			if s.history[i].Table == q.Get("table") {
				rows = append(rows, s.history[i])
			}
		}
		slices.Reverse(rows)
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || expired {
			s.reply(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline.C:
			expired = true
		case <-changed:
		}
	}
}
