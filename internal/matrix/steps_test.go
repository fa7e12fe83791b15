package matrix

import (
	"bytes"
	"strings"
	"time"

	"github.com/baobabquay/baobabquay/internal/record"
	"github.com/baobabquay/baobabquay/internal/store"
)

// Step is a step in the processing of a job, a request, the configuration or
// the membership: the calls that perform it, and whether the fault begins
// before or after their effect.
type Step struct {
	Name string
	// NotBefore is the time of the script before which calls are ignored.
	NotBefore time.Duration
	// AfterEffect is true if the fault begins after the effect of the call.
	AfterEffect bool
	// Matches reports whether a call performs the step.
	Matches func(c Call) bool
}

// Steps returns all steps.
func Steps() []Step {
	return []Step{
		{Name: "accept", NotBefore: atFirstJob - time.Millisecond, Matches: isOp(OpAccept)},
		{Name: "admit", NotBefore: atFirstJob, Matches: writesRow("claim/", "")},
		{Name: "record", NotBefore: atFirstJob, Matches: writesRow(jobRowPrefix, `"state":"pending"`)},
		{Name: "place", NotBefore: atFirstJob, Matches: isOp(OpPlace)},
		{Name: "reserve", NotBefore: atFirstJob, AfterEffect: true, Matches: isOp(OpReserve)},
		{Name: "start", NotBefore: atFirstJob, Matches: isOp(OpStart)},
		{Name: "run", NotBefore: atFirstJob, AfterEffect: true, Matches: isOp(OpRenew)},
		{Name: "checkpoint", NotBefore: atGuaranteed, Matches: isOp(OpCheckpoint)},
		{Name: "answer", NotBefore: atFirstJob, AfterEffect: true, Matches: isOp(OpSend)},
		{Name: "cancel", NotBefore: atCancel, Matches: writesRow(jobRowPrefix, `"cancelRequested":true`)},
		{Name: "reclaim", NotBefore: atGuaranteed, Matches: isOp(OpReclaim)},
		{Name: "domainOut", NotBefore: atDomainOut, AfterEffect: true, Matches: writesRow(record.ConfigKey, "")},
		{Name: "domainIn", NotBefore: atDomainIn, AfterEffect: true, Matches: writesRow(record.ConfigKey, "")},
		{Name: "configApply", NotBefore: atConfig, Matches: writesRow(record.ConfigKey, "")},
		{Name: "join", NotBefore: atJoin, Matches: writesRow(record.MemberKey("i4"), "")},
		{Name: "takeOver", NotBefore: atPlannedStop, Matches: writesLease(false)},
		{Name: "plannedStop", NotBefore: atPlannedStop, Matches: writesLease(true)},
	}
}

const jobRowPrefix = "job/"

func isOp(o Op) func(Call) bool { return func(c Call) bool { return c.Op == o } }

// writesRow matches a commit that writes a row whose key has the prefix and
// whose value contains the text.
func writesRow(prefix, text string) func(Call) bool {
	return func(c Call) bool { return hasPut(c, prefix, text) }
}

func hasPut(c Call, prefix, text string) bool {
	for _, p := range c.Txn.Puts {
		if strings.HasPrefix(p.Key, prefix) && valueContains(p, text) {
			return true
		}
	}
	return false
}

func valueContains(p store.Put, text string) bool { return bytes.Contains(p.Value, []byte(text)) }

// writesLease matches a commit that releases the lease of the near domain if
// released is true, and one that takes it otherwise.
func writesLease(released bool) func(Call) bool {
	return func(c Call) bool {
		for _, p := range c.Txn.Puts {
			if p.Key != record.LeaseKey(nearDomain) {
				continue
			}
			l, err := record.DecodeLease(p.Value)
			return err == nil && l.Released == released
		}
		return false
	}
}
