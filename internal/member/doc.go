// Package member tracks which instances of the site are alive, and the state
// that each of them reports.
//
// Each instance writes a row in the table service and exchanges its state with
// every other one each second, or less often on large sites. An instance counts
// as alive while one of its last exchanges succeeded or its row changes. The
// view may be wrong: ownership of shards never depends on it, only the
// preference for which instance takes a free lease.
//
// # Usage
//
//	s := member.NewService(member.Deps{Table: table, Self: self, Local: local, Exchange: exchange})
//	go s.Run(ctx)
//	for _, p := range s.Live(time.Now()) { ... }
//	rank := s.Rank("ub1", "ulaanbaatar", time.Now())
package member
