package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/baobabquay/baobabquay/internal/jobs"
	"github.com/baobabquay/baobabquay/internal/shape"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// fuzzTime is the current time for decoding fuzzed headers.
var fuzzTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// FuzzSubmission guards against a body that makes the decoder panic, and
// against an accepted one that decodes to something else after it has been
// encoded again.
func FuzzSubmission(f *testing.F) {
	for _, seed := range []string{
		`{"shape":{"members":4,"accelerators":8,"adjacency":"rack"},"class":"urgent","runTime":"1h30m","payload":"AA=="}`,
		`{"requestId":"a","guaranteed":true,"shape":{"members":-1,"memory":9223372036854775807}}`,
		`null`, `{} {}`, `{"shape":{"Members":1}}`, `{"runTime":1}`, `{"payload":null}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var first wire.Submission
		if decodeStrict(body, &first) != nil {
			return
		}
		spec, err := parseSpec(first)
		if err != nil {
			return
		}
		b, err := json.Marshal(first)
		if err != nil {
			t.Fatalf("encode %+v: %v", first, err)
		}
		var second wire.Submission
		if err := decodeStrict(b, &second); err != nil {
			t.Fatalf("decode %s again: %v", b, err)
		}
		again, err := parseSpec(second)
		if err != nil || !spec.Equal(again) || first.RequestID != second.RequestID {
			t.Fatalf("after encoding as %s the specification changed from %+v to %+v: %v", b, spec, again, err)
		}
		if total := spec.Shape.Total(); spec.Shape.Check() == nil && !(shape.Resources{}).Fits(total) {
			t.Fatalf("accepted shape %+v overflows to %+v", spec.Shape, total)
		}
	})
}

// FuzzHeaders guards against a header that makes the decoder panic, and
// against an invalid one that is silently replaced by the default.
func FuzzHeaders(f *testing.F) {
	f.Add("a", "true", "10s", "urgent")
	f.Add("", "", "", "")
	f.Add("a/b", "1", "-1s", "normal")
	f.Add("a", "TRUE ", "2562047h47m16.854775807s", "background")
	f.Fuzz(func(t *testing.T, id, nonIdempotent, deadline, class string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/services/proof/requests", nil)
		r.Header = http.Header{
			wire.HeaderRequestID: {id}, wire.HeaderNonIdempotent: {nonIdempotent},
			wire.HeaderDeadline: {deadline}, wire.HeaderClass: {class},
		}
		req, err := parseRequest(r, fuzzTime)
		if err != nil {
			return
		}
		if req.ID == "" || id != "" && string(req.ID) != id {
			t.Errorf("identifier %q decoded to %q", id, req.ID)
		}
		if isTrue := nonIdempotent != "" && strings.ContainsAny(nonIdempotent, "1tT"); req.NonIdempotent != isTrue {
			t.Errorf("non-idempotent %q decoded to %v", nonIdempotent, req.NonIdempotent)
		}
		if deadline == "" != req.Deadline.IsZero() || deadline != "" && !req.Deadline.After(fuzzTime) {
			t.Errorf("deadline %q decoded to %v", deadline, req.Deadline)
		}
		if req.Class != jobs.Normal && req.Class.String() != class {
			t.Errorf("class %q decoded to %v", class, req.Class)
		}
	})
}
