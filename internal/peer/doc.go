// Package peer carries calls between the instances of a site over connect-go.
//
// It only converts between the types of packages member, owner and relay and the
// messages of package peerv1. These packages handle the calls; a Server refers to
// them through function fields.
//
// # Usage
//
//	c := peer.NewClient(httpClient)
//	answer, err := c.Exchange(ctx, to.Peer, state)
//
//	path, handler := peer.NewHandler(peer.Server{Exchange: members.Receive, ...})
//	mux.Handle(path, handler)
package peer
