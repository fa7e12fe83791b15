package ledger

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// Ended is the row of a job that has ended.
	Ended struct {
		Phase  graph.Phase `json:"phase"`
		Reason string      `json:"reason,omitempty"`
		Queue  string      `json:"queue"`
		At     time.Time   `json:"at"`
	}

	// Worker is the row of a worker that may run tasks. A new leader reads the
	// worker even if it has left the platform's list.
	Worker struct {
		Address netip.AddrPort `json:"address"`
		Service string         `json:"service"`
		Domain  string         `json:"domain"`
		Rack    string         `json:"rack"`
	}

	// Lease is the row of the leader.
	Lease struct {
		// Node is the name of the instance; Holder also tells its lives apart.
		Node   string         `json:"node"`
		Holder string         `json:"holder"`
		Peer   netip.AddrPort `json:"peer"`
		Epoch  int64          `json:"epoch"`
		// Renewal counts the renewals of the term.
		Renewal int64 `json:"renewal"`
		// Released reports that the holder has given the lease up.
		Released bool `json:"released,omitempty"`
	}
)

// The tables.
const (
	JobTable      = "jobs"
	ProgressTable = "progress"
	EndedTable    = "ended"
	WorkerTable   = "workers"
	LeadTable     = "lead"

	// LeaseKey is the row of the leader, SequenceKey that of its transactions.
	LeaseKey    = LeadTable + "/lease"
	SequenceKey = "commits/sequence"
)

// JobKey returns the key of an accepted job.
func JobKey(id graph.ID) string { return JobTable + "/" + string(id) }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id graph.ID) string { return ProgressTable + "/" + string(id) }

// EndedKey returns the key of a job that has ended.
func EndedKey(id graph.ID) string { return EndedTable + "/" + string(id) }

// WorkerKey returns the key of a worker.
func WorkerKey(id string) string { return WorkerTable + "/" + id }

// Encode returns the value of a row.
func Encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode row: %w", err)
	}
	return b, nil
}

// Decode reads the value of a row into v.
func Decode(row store.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return nil
}
