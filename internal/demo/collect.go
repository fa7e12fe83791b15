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
	pathLog = "/control/log"
	// logLimit bounds the reading of one log.
	logLimit = 10 * time.Second
	// faultsEvery is the period at which the list of faults is read.
	faultsEvery = 100 * time.Millisecond

	fileServing = "serving"
	fileFaults  = "faults"
)

var errLines = errors.New("no lines")

// readLines decodes JSON lines. It ignores unknown names: logs have more than
// what is compared.
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

// readLogs reads the logs of all stand-ins at the addresses.
func readLogs[T any](ctx context.Context, addresses ...netip.AddrPort) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, logLimit)
	defer cancel()
	var all []T
	for _, a := range addresses {
		r, err := send(ctx, http.DefaultClient, a, message{method: http.MethodGet, path: pathLog})
		if err != nil {
			return nil, fmt.Errorf("read log of %v: %w", a, err)
		}
		lines, err := readLines[T](bytes.NewReader(r.body))
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
	if s.Tasks, err = readLogs[Task](ctx, p.Workers...); err != nil {
		return err
	}
	if s.Executions, err = readLogs[Execution](ctx, p.Endpoints...); err != nil {
		return err
	}
	return nil
}

// readStop reads the last line of an instance's log.
func readStop(in PlanInstance) (Stop, error) {
	s := Stop{Instance: in.Name, CutOff: -1}
	text, err := os.ReadFile(in.Log)
	if err != nil {
		return s, fmt.Errorf("read log of %s: %w", in.Name, err)
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	var last struct {
		Event  int  `json:"event"`
		CutOff *int `json:"cutOff"`
	}
	if err := json.Unmarshal(lines[len(lines)-1], &last); err != nil {
		return s, fmt.Errorf("decode last line of the log of %s: %w", in.Name, err)
	}
	s.Event = last.Event
	if last.CutOff != nil {
		s.CutOff = *last.CutOff
	}
	return s, nil
}

// awaitFaults returns the list of faults when the script has ended it.
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
		if !pause(ctx, faultsEvery) {
			return nil, fmt.Errorf("wait for the end of the faults: %w: %w", errLines, ctx.Err())
		}
	}
}
