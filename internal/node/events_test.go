package node

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/baobabquay/baobabquay/internal/event"
	"gotest.tools/v3/assert"
)

// TestServeEvents guards against a response with the log lines of other jobs, or
// of all jobs if the identifier is missing.
func TestServeEvents(t *testing.T) {
	var out bytes.Buffer
	sink := event.NewSink(&out)
	log := event.New(sink.Logger())
	log.Write(event.JobAccepted, "job", "a1")
	log.Write(event.JobAccepted, "job", "b1")
	for query, want := range map[string]struct{ code, lines int }{
		"?id=a1": {http.StatusOK, 1}, "?id=c1": {http.StatusOK, 0}, "": {http.StatusBadRequest, 1},
	} {
		w := httptest.NewRecorder()
		serveEvents(sink.Recent)(w, httptest.NewRequest(http.MethodGet, "/events"+query, nil))
		assert.Equal(t, w.Code, want.code)
		assert.Equal(t, bytes.Count(w.Body.Bytes(), []byte("\n")), want.lines)
	}
	sink.Close()
}
