package client

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabquay/baobabquay/pkg/wire"
)

// eventLine is the longest line of a log that is read.
const eventLine = 64 << 10

// ErrEvents is wrapped by errors of instances that do not tell their events.
var ErrEvents = errors.New("no events")

// Events asks instances, at the addresses of their metrics, for the decisions
// about a job that they still know, and returns them in the order of their
// times. Clocks of instances differ by milliseconds. The error wraps ErrEvents
// if an instance did not answer; the events of the others are returned with it.
func Events(ctx context.Context, from []netip.AddrPort, id string) (wire.Events, error) {
	all := wire.Events{Events: []wire.Event{}}
	var failure error
	for _, a := range from {
		events, err := eventsOf(ctx, a, id)
		if err != nil {
			failure = errors.Wrap(fmt.Errorf("ask %v: %w: %w", a, ErrEvents, err), "some events are missing")
		}
		all.Events = append(all.Events, events...)
	}
	slices.SortStableFunc(all.Events, func(a, b wire.Event) int { return a.At.Compare(b.At) })
	return all, failure
}

func eventsOf(ctx context.Context, from netip.AddrPort, id string) ([]wire.Event, error) {
	u := url.URL{Scheme: "http", Host: from.String(), Path: "/events", RawQuery: url.Values{"id": {id}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("prepare request: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %w", res.StatusCode, ErrEvents)
	}
	var events []wire.Event
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, eventLine)
	for lines.Scan() {
		e, err := decodeEvent(lines.Bytes())
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return events, fmt.Errorf("read events: %w", err)
	}
	return events, nil
}

// decodeEvent reads a line of the log.
func decodeEvent(line []byte) (wire.Event, error) {
	var head struct {
		Time     time.Time `json:"time"`
		Msg      string    `json:"msg"`
		Instance string    `json:"instance"`
		Event    int       `json:"event"`
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(line, &head); err != nil {
		return wire.Event{}, fmt.Errorf("decode event: %w", err)
	}
	if err := json.Unmarshal(line, &fields); err != nil {
		return wire.Event{}, fmt.Errorf("decode fields of event: %w", err)
	}
	for _, k := range []string{"time", "msg", "instance", "event"} {
		delete(fields, k)
	}
	return wire.Event{At: head.Time, Instance: head.Instance, Name: head.Msg, Number: head.Event, Fields: fields}, nil
}
