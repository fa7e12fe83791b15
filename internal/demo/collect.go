package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	// pathLog is the path of the control call that returns a stand-in's log.
	pathLog = "/control/log"
	// logTimeout bounds the reading of the logs of all stand-ins of one kind
	// at a site.
	logTimeout = 10 * time.Second
	// faultsPollInterval is the period at which the file of faults is read.
	faultsPollInterval = 100 * time.Millisecond

	// fileServing and fileFaults are the files through which the program and
	// the script communicate.
	fileServing = "serving"
	fileFaults  = "faults"
)

var errFaultsIncomplete = errors.New("the list of faults has no end")

// readLines decodes JSON lines. Unknown fields are ignored, since the logs hold
// more than the checks compare.
func readLines[T any](r io.Reader) ([]T, error) {
	var all []T
	d := json.NewDecoder(r)
	for {
		var v T
		err := d.Decode(&v)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, fmt.Errorf("decode line %d: %w", len(all)+1, err)
		}
		all = append(all, v)
	}
}

// readLogs reads the logs of the stand-ins whose control calls are served at
// the addresses.
func readLogs[T any](ctx context.Context, addresses ...netip.AddrPort) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	var all []T
	for _, a := range addresses {
		resp, err := send(ctx, http.DefaultClient, a, callSpec{method: http.MethodGet, path: pathLog})
		if err != nil {
			return nil, fmt.Errorf("read log of %v: %w", a, err)
		}
		lines, err := readLines[T](bytes.NewReader(resp.body))
		if err != nil {
			return nil, fmt.Errorf("read log of %v: %w", a, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// collect reads the logs of the stand-ins of one site.
func collect(ctx context.Context, p PlanSite, s *Site) error {
	var err error
	if s.Commits, err = readLogs[Commit](ctx, p.Platform); err != nil {
		return err
	}
	if s.TaskEvents, err = readLogs[TaskEvent](ctx, p.Workers...); err != nil {
		return err
	}
	if s.EndpointEvents, err = readLogs[EndpointEvent](ctx, p.Endpoints...); err != nil {
		return err
	}
	return nil
}

// readLogEnd reads the last line of an instance's log.
func readLogEnd(in PlanInstance) (LogEnd, error) {
	e := LogEnd{Instance: in.Name, CutOff: -1}
	text, err := os.ReadFile(in.Log)
	if err != nil {
		return e, fmt.Errorf("read log of %s: %w", in.Name, err)
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	var last struct {
		Event  int  `json:"event"`
		CutOff *int `json:"cutOff"`
	}
	if err := json.Unmarshal(lines[len(lines)-1], &last); err != nil {
		return e, fmt.Errorf("decode last line of the log of %s: %w", in.Name, err)
	}
	e.Event = last.Event
	if last.CutOff != nil {
		e.CutOff = *last.CutOff
	}
	return e, nil
}

// awaitFaults waits until the script has ended the list of faults and returns
// the list. A line that is only partly written does not decode; the file is
// then read again.
func awaitFaults(ctx context.Context, dir string) ([]Fault, error) {
	for {
		text, err := os.ReadFile(filepath.Join(dir, fileFaults))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, fmt.Errorf("read faults: %w", err)
		}
		all, err := readLines[Fault](bytes.NewReader(text))
		if n := len(all); err == nil && n > 0 && all[n-1].Kind == AllDone {
			return all[:n-1], nil
		}
		if !pause(ctx, faultsPollInterval) {
			return nil, fmt.Errorf("wait for the end of the faults: %w: %w", errFaultsIncomplete, ctx.Err())
		}
	}
}
