// Package peer carries calls between the instances of a site over connect-go.
//
// It only encodes: what is told and decided is in packages member, owner and
// relay, which see function fields.
//
// # Usage
//
//	c := peer.NewClient()
//	answer, err := c.Exchange(ctx, to.Peer, state)
//
//	path, handler := peer.NewHandler(peer.Server{Exchange: members.Receive, ...})
//	mux.Handle(path, handler)
package peer
