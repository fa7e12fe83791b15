package node

import (
	"net/http"

	"github.com/baobabquay/baobabquay/internal/event"
)

// serveEvents answers GET /events?id=ID with the last log lines that name the
// identifier.
func serveEvents(recent *event.Recent) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		id := req.URL.Query().Get("id")
		if id == "" {
			http.Error(w, "the parameter id is missing", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/jsonl")
		for _, line := range recent.Find(id) {
			if _, err := w.Write(line); err != nil {
				// The operator has left; there is nobody else to tell.
				return
			}
		}
	}
}
