package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/baobabquay/baobabquay/pkg/wire"
)

// Config returns the configuration in force at the instance that answers.
func (c *Client) Config(ctx context.Context) (wire.Config, error) {
	config, err := get[wire.Config](ctx, c, wire.PathAdmin+"/config", c.settings.TryTimeout)
	return config, wrap("read configuration", err)
}

// ApplyConfig puts a configuration in place of the version that it is based
// on. An unknown result is not tried again, because the second try would meet
// the version of the first and report a conflict.
func (c *Client) ApplyConfig(ctx context.Context, change wire.ConfigChange) (wire.Accepted, error) {
	accepted, err := put[wire.Accepted](ctx, c, "/config", change, false)
	return accepted, wrap("apply configuration", err)
}

// SetDomain takes a failure domain out of service or brings it back.
func (c *Client) SetDomain(ctx context.Context, name string, inService bool) (wire.Accepted, error) {
	accepted, err := put[wire.Accepted](ctx, c, "/domains/"+url.PathEscape(name), wire.DomainChange{InService: inService}, true)
	return accepted, wrap("change failure domain "+name, err)
}

// Status returns the state of the site as the instance that answers knows it.
func (c *Client) Status(ctx context.Context) (wire.Status, error) {
	status, err := get[wire.Status](ctx, c, wire.PathAdmin+"/status", c.settings.TryTimeout)
	return status, wrap("read status", err)
}

// JobsOf returns the jobs of any workspace to an operator.
func (c *Client) JobsOf(ctx context.Context, workspace string) (wire.JobList, error) {
	list, err := get[wire.JobList](ctx, c, wire.PathAdmin+"/jobs/"+url.PathEscape(workspace), c.settings.TryTimeout)
	return list, wrap("list jobs of "+workspace, err)
}

// Explain tells an operator why a job waits.
func (c *Client) Explain(ctx context.Context, workspace, id string) (wire.Explanation, error) {
	path := wire.PathAdmin + "/explain/" + url.PathEscape(workspace) + "/" + url.PathEscape(id)
	explanation, err := get[wire.Explanation](ctx, c, path, c.settings.TryTimeout)
	return explanation, wrap("explain job "+id, err)
}

// put makes a call of an operator that changes the configuration.
func put[T any](ctx context.Context, c *Client, path string, body any, repeat bool) (T, error) {
	b, err := json.Marshal(body)
	if err != nil {
		var none T
		return none, fmt.Errorf("encode change: %w", err)
	}
	return decode[T](c.do(ctx, call{
		method: http.MethodPut, path: wire.PathAdmin + path, body: b, repeat: repeat, timeout: c.settings.WriteTimeout,
	}))
}
