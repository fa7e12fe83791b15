package record

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

type (
	// Claim is the row that records that one instance is responsible for a
	// non-idempotent request.
	Claim struct {
		Instance ident.Instance
		// Nonce distinguishes this claim from all others of the same instance.
		Nonce string
		// Taken is the instant of the claim on the instance's clock. It is used
		// only to delete old rows, never to decide which instance holds a claim.
		Taken time.Time
	}

	claimJSON struct {
		Instance ident.Instance `json:"instance"`
		Nonce    string         `json:"nonce"`
		Taken    time.Time      `json:"taken"`
	}
)

// ClaimPrefix is the prefix of the keys of all claim rows.
const ClaimPrefix = claimPrefix

// EncodeClaim returns the row value of c.
func EncodeClaim(c Claim) ([]byte, error) { return encode("claim", claimJSON(c)) }

// DecodeClaim returns the claim in a row value.
func DecodeClaim(b []byte) (Claim, error) {
	var v claimJSON
	if err := decode("claim", b, &v); err != nil {
		return Claim{}, err
	}
	return Claim(v), nil
}
