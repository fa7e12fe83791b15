// Package route holds the endpoints of the services and selects one for each
// attempt to send a request.
//
// Selection uses the power of two choices: of two random endpoints in the
// caller's region that can take a request, the one with fewer requests in
// flight is selected. Another region is used only when the caller's own one
// has no endpoint that can take the request.
//
// An endpoint can take a request unless it is leaving, is ejected after a
// connection failure, or has reached its concurrency limit. The limit follows
// additive increase and multiplicative decrease: it grows by a fixed step for
// each full window of answers, is halved after a refusal or a timeout, and
// never exceeds the endpoint's slots.
//
// An endpoint announces in its answers that it is leaving. The announcement is
// more recent than the platform's list, which lags, so it holds until the list
// shows the endpoint with another address or incarnation. Instances report
// announcements to each other (AnnouncedLeaving and MarkReportedLeaving),
// because otherwise each instance would learn of one only from a request of its
// own.
//
// The endpoints of each service are protected by their own lock. No lock is
// held while a request is sent.
//
// # Usage
//
//	t := route.New(route.DefaultSettings())
//	t.Update(endpoints, now)
//	l, err := t.Pick("proofs", "coast", nil, now)
//	if err != nil {
//		return fmt.Errorf("select endpoint: %w", err)
//	}
//	// send the request to l.Endpoint().Address
//	t.Release(l, route.Answered, now)
package route
