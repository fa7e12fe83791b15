package record

import (
	"net/netip"
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

type (
	// Lease is the row that records the holder of a shard's lease.
	Lease struct {
		Holder ident.Instance `json:"holder"`
		Epoch  int64          `json:"epoch"`
		// Released is set when the holder released the lease in a planned stop.
		Released bool `json:"released,omitempty"`
	}

	// Member is the membership row of an instance.
	Member struct {
		Instance ident.Instance `json:"instance"`
		Domain   ident.Domain   `json:"domain"`
		Region   ident.Region   `json:"region"`
		// Peer is the address on which the instance serves other instances,
		// Caller the address on which it serves callers.
		Peer    netip.AddrPort `json:"peer"`
		Caller  netip.AddrPort `json:"caller"`
		Started time.Time      `json:"started"`
	}
)

// EncodeLease returns the row value of l.
func EncodeLease(l Lease) ([]byte, error) { return encode("lease", l) }

// DecodeLease returns the lease in a row value.
func DecodeLease(b []byte) (Lease, error) {
	var l Lease
	err := decode("lease", b, &l)
	return l, err
}

// EncodeMember returns the row value of m.
func EncodeMember(m Member) ([]byte, error) { return encode("member", m) }

// DecodeMember returns the member in a row value.
func DecodeMember(b []byte) (Member, error) {
	var m Member
	err := decode("member", b, &m)
	return m, err
}
