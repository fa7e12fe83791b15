// Package route holds the endpoints of the services and selects one for each
// attempt to send a request.
//
// Selection uses the power of two choices: of two random endpoints in the
// caller's region that can take a request, the one with fewer requests in
// flight is selected. Another region is used only when the caller's own one
// has no endpoint that can take the request.
//
// An endpoint can take a request unless it is leaving, is ejected after a
// connection failure, or has reached its concurrency limit. The limit adapts:
// it grows by a fixed step for each full window of answers, is halved by a
// refusal or a timeout, and never exceeds the endpoint's slots.
//
// An endpoint's own word that it is leaving is more recent than the platform's
// list, which lags. It therefore holds until the list shows the endpoint with
// another address or incarnation. The instances pass such words on to each
// other (Heard and MarkTold), because each of them would otherwise learn it
// from a request of its own.
//
// Each service's endpoints are under a lock of their own. No lock is held
// while a request is sent.
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
