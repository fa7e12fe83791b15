package node

import (
	"context"
	"io"
	"net/http"

	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// progressTransport reports to the functions in the context of a request that a
	// part of its response has been read; see store.WithProgress.
	progressTransport struct {
		base http.RoundTripper
	}

	progressBody struct {
		io.ReadCloser
		ctx context.Context
	}
)

// RoundTrip sends a request.
func (t progressTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = progressBody{resp.Body, r.Context()}
	return resp, nil
}

// Read reads from the response and reports progress.
func (b progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		store.ReportProgress(b.ctx)
	}
	return n, err
}
