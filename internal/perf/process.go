package perf

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// tick is the unit of processor times in /proc on all Linux platforms.
	tick = 10 * time.Millisecond
	// userField and systemField count the fields after the process's name.
	userField, systemField = 11, 12
)

var errStat = errors.New("malformed process state")

// processorTime returns the processor time that a process has used so far.
func processorTime(process int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	if err != nil {
		return 0, fmt.Errorf("read process state: %w", err)
	}
	return parseStat(text)
}

// parseStat returns the sum of user and system time. The name of the process,
// in parentheses, can hold spaces and parentheses itself.
func parseStat(text []byte) (time.Duration, error) {
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= systemField {
		return 0, fmt.Errorf("%d fields: %w", len(fields), errStat)
	}
	var ticks time.Duration
	for _, f := range []int{userField, systemField} {
		n, err := strconv.ParseInt(string(fields[f]), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("field %d: %w: %w", f, errStat, err)
		}
		ticks += time.Duration(n)
	}
	return ticks * tick, nil
}
