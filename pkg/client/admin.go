package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/baobabquay/baobabquay/pkg/wire"
)

// Config returns the configuration in force at the instance that serves the
// call.
func (c *Client) Config(ctx context.Context) (wire.Config, error) {
	config, err := get[wire.Config](ctx, c, wire.PathAdmin+"/config", c.settings.TryTimeout)
	return config, wrap("read configuration", err)
}

// ApplyConfig replaces configuration version change.Base with a new one. It is
// not retried after an unknown result: if the first attempt was committed, a
// second one would find the new version and report a conflict.
func (c *Client) ApplyConfig(ctx context.Context, change wire.ConfigChange) (wire.Accepted, error) {
	accepted, err := put[wire.Accepted](ctx, c, "/config", change, false)
	return accepted, wrap("apply configuration", err)
}

// SetDomain takes a failure domain out of service or brings it back.
func (c *Client) SetDomain(ctx context.Context, name string, inService bool) (wire.Accepted, error) {
	accepted, err := put[wire.Accepted](ctx, c, "/domains/"+url.PathEscape(name), wire.DomainChange{InService: inService}, true)
	return accepted, wrap("change failure domain "+name, err)
}

// Status returns the state of the site as known to the instance that serves the
// call.
func (c *Client) Status(ctx context.Context) (wire.Status, error) {
	status, err := get[wire.Status](ctx, c, wire.PathAdmin+"/status", c.settings.TryTimeout)
	return status, wrap("read status", err)
}

// JobsOf returns the jobs of any workspace. It requires the key of an operator.
func (c *Client) JobsOf(ctx context.Context, workspace string) (wire.JobList, error) {
	list, err := get[wire.JobList](ctx, c, wire.PathAdmin+"/jobs/"+url.PathEscape(workspace), c.settings.TryTimeout)
	return list, wrap("list jobs of "+workspace, err)
}

// Explain returns why a job is waiting. It requires the key of an operator.
func (c *Client) Explain(ctx context.Context, workspace, id string) (wire.Explanation, error) {
	path := wire.PathAdmin + "/explain/" + url.PathEscape(workspace) + "/" + url.PathEscape(id)
	explanation, err := get[wire.Explanation](ctx, c, path, c.settings.TryTimeout)
	return explanation, wrap("explain job "+id, err)
}

// put makes an operator call that changes the configuration. retryUnknown
// allows another attempt after an unknown result.
func put[T any](ctx context.Context, c *Client, path string, body any, retryUnknown bool) (T, error) {
	b, err := json.Marshal(body)
	if err != nil {
		var zero T
		return zero, fmt.Errorf("encode change: %w", err)
	}
	return decode[T](c.do(ctx, callSpec{
		method: http.MethodPut, path: wire.PathAdmin + path, body: b, retryUnknown: retryUnknown, timeout: c.settings.WriteTimeout,
	}))
}
