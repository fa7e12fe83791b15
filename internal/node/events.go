package node

import (
	"net/http"

	"github.com/baobabquay/baobabquay/internal/event"
)

// serveEvents returns the handler of GET /events?id=ID, which returns the recent
// log lines that contain the identifier.
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
				// The client has disconnected, so the error cannot be reported.
				return
			}
		}
	}
}
