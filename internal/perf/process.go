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
	// clockTick is the unit of processor times in /proc on all Linux platforms.
	clockTick = 10 * time.Millisecond
	// userField and systemField are the indices of utime and stime among the
	// fields of /proc/PID/stat that follow the process name.
	userField, systemField = 11, 12
)

var errMalformedStat = errors.New("malformed /proc/PID/stat")

// processorTime returns the processor time used by a process so far.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return parseStat(text)
}

// parseStat returns the sum of user and system time in the text of
// /proc/PID/stat. It looks for the last closing parenthesis, because the
// process name, which is in parentheses, can contain spaces and parentheses.
func parseStat(text []byte) (time.Duration, error) {
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= systemField {
		return 0, fmt.Errorf("%d fields after the process name: %w", len(fields), errMalformedStat)
	}
	var ticks time.Duration
	for _, f := range []int{userField, systemField} {
		n, err := strconv.ParseInt(string(fields[f]), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("field %d: %w: %w", f, errMalformedStat, err)
		}
		ticks += time.Duration(n)
	}
	return ticks * clockTick, nil
}
