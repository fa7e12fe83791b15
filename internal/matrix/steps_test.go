package matrix

import (
	"bytes"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
)

// Step is a step of a path: the calls that perform it and whether the fault
// begins before or after their effect.
type Step struct {
	Name string
	// From is the instant of the script from which calls count.
	From time.Duration
	// After is true if the fault begins after the effect of the call.
	After bool
	// Is reports whether a call performs the step.
	Is func(c Call) bool
}

// Steps returns the steps of every path.
func Steps() []Step {
	return []Step{
		{Name: "accept", From: atFirstJob - time.Millisecond, Is: op(OpAccept)},
		{Name: "admit", From: atFirstJob, Is: puts("claim/", "")},
		{Name: "record", From: atFirstJob, Is: puts(jobRow, `"state":"pending"`)},
		{Name: "place", From: atFirstJob, Is: op(OpPlace)},
		{Name: "reserve", From: atFirstJob, After: true, Is: op(OpReserve)},
		{Name: "start", From: atFirstJob, Is: op(OpStart)},
		{Name: "run", From: atFirstJob, After: true, Is: op(OpRenew)},
		{Name: "checkpoint", From: atGuaranteed, Is: op(OpCheckpoint)},
		{Name: "answer", From: atFirstJob, After: true, Is: op(OpSend)},
		{Name: "cancel", From: atCancel, Is: puts(jobRow, `"cancelRequested":true`)},
		{Name: "reclaim", From: atGuaranteed, Is: op(OpReclaim)},
		{Name: "domainOut", From: atDomainOut, After: true, Is: puts(record.ConfigKey, "")},
		{Name: "domainIn", From: atDomainIn, After: true, Is: puts(record.ConfigKey, "")},
		{Name: "configApply", From: atConfig, Is: puts(record.ConfigKey, "")},
		{Name: "join", From: atJoin, Is: puts(record.MemberKey("i4"), "")},
		{Name: "takeOver", From: atPlannedStop, Is: leaseRow(false)},
		{Name: "plannedStop", From: atPlannedStop, Is: leaseRow(true)},
	}
}

const jobRow = "job/"

func op(o Op) func(Call) bool { return func(c Call) bool { return c.Op == o } }

// puts matches a commit that writes a row with the key prefix and the text.
func puts(prefix, text string) func(Call) bool {
	return func(c Call) bool { return findPut(c, prefix, text) }
}

func findPut(c Call, prefix, text string) bool {
	for _, p := range c.Txn.Puts {
		if strings.HasPrefix(p.Key, prefix) && hasText(p, text) {
			return true
		}
	}
	return false
}

func hasText(p store.Put, text string) bool { return bytes.Contains(p.Value, []byte(text)) }

// leaseRow matches a commit that releases the lease of the near domain, or
// one that takes it.
func leaseRow(released bool) func(Call) bool {
	return func(c Call) bool {
		for _, p := range c.Txn.Puts {
			if p.Key != record.LeaseKey(nearby) {
				continue
			}
			l, err := record.DecodeLease(p.Value)
			return err == nil && l.Released == released
		}
		return false
	}
}
