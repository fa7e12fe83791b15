package tree

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"github.com/baobabquay/baobabquay/internal/store"
)

type (
	// Packer compresses the values of rows, once for each version of a row. It is safe
	// for concurrent use.
	Packer struct {
		mu sync.Mutex
		// latest has the compressed value of the latest version, by key.
		latest map[string]packedRow
	}

	packedRow struct {
		version int64
		// value compresses the value at its first call.
		value func() []byte
	}
)

// minPacked is the size in bytes from which on a value is compressed.
const minPacked = 4 << 10

// NewPacker returns a Packer.
func NewPacker() *Packer { return &Packer{latest: make(map[string]packedRow)} }

// Pack returns the value of a row, compressed if it is large, and whether it is.
func (p *Packer) Pack(row store.Row) ([]byte, bool) {
	if len(row.Value) < minPacked {
		return row.Value, false
	}
	p.mu.Lock()
	packed, ok := p.latest[row.Key]
	if !ok || packed.version != row.Version {
		packed = packedRow{row.Version, sync.OnceValue(func() []byte { return compress(row.Value) })}
		p.latest[row.Key] = packed
	}
	p.mu.Unlock()
	return packed.value(), true
}

func compress(value []byte) []byte {
	var b bytes.Buffer
	// The level is valid, and writes to a buffer do not fail.
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	_, _ = w.Write(value)
	_ = w.Close()
	return b.Bytes()
}

// Unpack returns the value that Pack has compressed.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack row: %w", err)
	}
	value, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("unpack row: %w", err)
	}
	return value, nil
}
