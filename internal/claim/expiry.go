package claim

import "time"

type (
	// expiringClaim is a claim of this instance and the time from which it can
	// be deleted.
	expiringClaim struct {
		key     string
		version int64
		expires time.Time
	}

	// expiryQueue holds the claims of this instance in the order in which they
	// were made.
	expiryQueue struct {
		claims []expiringClaim
	}
)

// add appends a claim. If the queue is at its limit, the claim is dropped and
// left to the Sweeper.
func (q *expiryQueue) add(c expiringClaim, limit int) {
	if len(q.claims) < limit {
		q.claims = append(q.claims, c)
	}
}

// popExpired removes and returns at most n expired claims.
func (q *expiryQueue) popExpired(now time.Time, n int) []expiringClaim {
	i := 0
	for i < len(q.claims) && i < n && !now.Before(q.claims[i].expires) {
		i++
	}
	expired := append([]expiringClaim(nil), q.claims[:i]...)
	q.claims = q.claims[i:]
	if len(q.claims) == 0 {
		q.claims = nil
	}
	return expired
}

// pushFront returns claims that were not deleted to the front of the queue.
func (q *expiryQueue) pushFront(claims []expiringClaim) {
	if len(claims) > 0 {
		q.claims = append(append([]expiringClaim(nil), claims...), q.claims...)
	}
}
