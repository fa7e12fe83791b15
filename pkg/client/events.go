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

// maxEventLine is the maximum length of an event line in bytes.
const maxEventLine = 64 << 10

// ErrEvents is wrapped by the error of Events if the events of an instance
// could not be read.
var ErrEvents = errors.New("events not available")

// Events reads the logged decisions about a job that the instances at the given
// metrics addresses still hold, and returns them ordered by time. The order of
// decisions of different instances is approximate, since their clocks differ by
// milliseconds. If an instance cannot be read, the error wraps ErrEvents and
// the events of the other instances are returned with it.
func Events(ctx context.Context, addresses []netip.AddrPort, id string) (wire.Events, error) {
	all := wire.Events{Events: []wire.Event{}}
	var failure error
	for _, a := range addresses {
		events, err := fetchEvents(ctx, a, id)
		if err != nil {
			failure = errors.Wrap(fmt.Errorf("read events of %v: %w: %w", a, ErrEvents, err), "event list is incomplete")
		}
		all.Events = append(all.Events, events...)
	}
	slices.SortStableFunc(all.Events, func(a, b wire.Event) int { return a.At.Compare(b.At) })
	return all, failure
}

func fetchEvents(ctx context.Context, address netip.AddrPort, id string) ([]wire.Event, error) {
	u := url.URL{Scheme: "http", Host: address.String(), Path: "/events", RawQuery: url.Values{"id": {id}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %w", resp.StatusCode, ErrEvents)
	}
	var events []wire.Event
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventLine)
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

// decodeEvent decodes one line of the log.
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
