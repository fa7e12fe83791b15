package main

import (
	"net"
	"time"
)

// regionDelay is the one-way delay between the regions.
const regionDelay = 20 * time.Millisecond

// delayProxy starts a proxy that delays the bytes of both directions by regionDelay, and
// returns its address. Connections are accepted without delay.
func delayProxy(s *site, target string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.check(err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				t, err := net.Dial("tcp", target)
				if err != nil {
					_ = c.Close()
					return
				}
				go copyDelayed(t, c)
				copyDelayed(c, t)
			}()
		}
	}()
	return l.Addr().String()
}

// copyDelayed copies one direction of a connection and then closes both ends.
func copyDelayed(to, from net.Conn) {
	type part struct {
		due   time.Time
		bytes []byte
	}
	const maxParts, maxBytes = 1024, 16 << 10
	parts := make(chan part, maxParts)
	go func() {
		defer close(parts)
		for {
			b := make([]byte, maxBytes)
			n, err := from.Read(b)
			if n > 0 {
				parts <- part{time.Now().Add(regionDelay), b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range parts {
		time.Sleep(time.Until(p.due))
		// An error means that the receiver has gone.
		_, _ = to.Write(p.bytes)
	}
	_ = to.Close()
	_ = from.Close()
}
