package ledger

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/internal/graph"
	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// Ended is the value of the row of a job that has ended.
	Ended struct {
		Phase  graph.Phase `json:"phase"`
		Reason string      `json:"reason,omitempty"`
		Queue  string      `json:"queue"`
		At     time.Time   `json:"at"`
		// NeverAccepted reports whether the job was cancelled before a submission of
		// it was stored. There is no such job, and the row keeps a submission that
		// the store carries out late from taking effect.
		NeverAccepted bool `json:"neverAccepted,omitempty"`
	}

	// Worker is the value of the row of a worker that may run tasks. From the row
	// a new leader learns of the worker even if the platform lists it no more.
	Worker struct {
		Address netip.AddrPort `json:"address"`
		Service string         `json:"service"`
		Domain  string         `json:"domain"`
		Rack    string         `json:"rack"`
	}

	// Lease is the value of the lease row.
	Lease struct {
		// Instance is the name of the instance that holds the lease. Holder
		// identifies its incarnation.
		Instance string         `json:"node"`
		Holder   string         `json:"holder"`
		Peer     netip.AddrPort `json:"peer"`
		Epoch    int64          `json:"epoch"`
		// Renewal is the number of renewals in the term.
		Renewal int64 `json:"renewal"`
		// Released reports whether the holder has given up the lease.
		Released bool `json:"released,omitempty"`
		// Former are the addresses of former leaders that may have progress that
		// is not stored, the oldest first. Rows written by earlier versions of the
		// program do not have the field.
		Former []netip.AddrPort `json:"former,omitempty"`
	}
)

// Tables and fixed keys.
const (
	JobTable      = "jobs"
	ProgressTable = "progress"
	EndedTable    = "ended"
	WorkerTable   = "workers"
	// LeaseTable has the lease alone. The platform keeps it apart from the other
	// tables, so that renewals do not queue behind submissions.
	LeaseTable = "term"

	// LeaseKey is the key of the lease, and SequenceKey that of the row that
	// orders the leader's transactions.
	LeaseKey    = LeaseTable + "/lease"
	SequenceKey = "commits/sequence"
	// FormerLeaseKey is the key of the lease of earlier versions of the program,
	// whose instances renew it there. An acquisition writes it too.
	FormerLeaseKey = "lead/lease"
)

const (
	// MaxValue is the largest size of a value in bytes that the platform accepts.
	MaxValue = 65536
	// compressAbove is the size in bytes above which a value is compressed. A
	// placed task takes 68 bytes, or 10 compressed; the values of most jobs stay
	// below the limit and are readable JSON.
	compressAbove = MaxValue / 4
)

// gzipMagic is the start of a compressed value. No JSON value starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// JobKey returns the key of the row of an accepted job.
func JobKey(id graph.ID) string { return JobTable + "/" + string(id) }

// ProgressKey returns the key of the row of a job's progress.
func ProgressKey(id graph.ID) string { return ProgressTable + "/" + string(id) }

// EndedKey returns the key of the row of a job that has ended.
func EndedKey(id graph.ID) string { return EndedTable + "/" + string(id) }

// WorkerKey returns the key of the row of a worker.
func WorkerKey(id string) string { return WorkerTable + "/" + id }

// Encode returns v as the value of a row: JSON, compressed with gzip if it is
// large.
func Encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode row: %w", err)
	}
	if len(b) <= compressAbove {
		return b, nil
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(b); err != nil {
		return nil, fmt.Errorf("compress row: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress row: %w", err)
	}
	return compressed.Bytes(), nil
}

// Decode stores the value of a row in v.
func Decode(row store.Row, v any) error {
	value := row.Value
	if bytes.HasPrefix(value, gzipMagic) {
		r, err := gzip.NewReader(bytes.NewReader(value))
		if err != nil {
			return fmt.Errorf("decompress row %s: %w", row.Key, err)
		}
		if value, err = io.ReadAll(r); err != nil {
			return fmt.Errorf("decompress row %s: %w", row.Key, err)
		}
	}
	if err := json.Unmarshal(value, v); err != nil {
		return fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return nil
}
