package record

import (
	"time"

	"github.com/baobabquay/baobabquay/internal/ident"
)

type (
	// Claim is the row that records that one instance took a non-idempotent
	// request.
	Claim struct {
		Instance ident.Instance
		// Nonce tells this claim from any other claim of the same instance.
		Nonce string
		// Taken is an instant of the claimant's clock. It is used only to
		// delete old rows, never to decide who holds a claim.
		Taken time.Time
	}

	claimForm struct {
		Instance ident.Instance `json:"instance"`
		Nonce    string         `json:"nonce"`
		Taken    time.Time      `json:"taken"`
	}
)

// ClaimPrefix is the prefix of all claim rows.
const ClaimPrefix = claimPrefix

// EncodeClaim returns the row value of c.
func EncodeClaim(c Claim) ([]byte, error) { return encode("claim", claimForm(c)) }

// DecodeClaim returns the claim of a row value.
func DecodeClaim(b []byte) (Claim, error) {
	var f claimForm
	if err := decode("claim", b, &f); err != nil {
		return Claim{}, err
	}
	return Claim(f), nil
}
