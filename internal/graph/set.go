package graph

import "math/big"

// taskSet is a set of tasks of a step by index. The zero value is empty.
type taskSet struct{ bits big.Int }

func (s *taskSet) has(i int) bool { return s.bits.Bit(i) == 1 }

// set adds the task with an index to the set, or removes it.
func (s *taskSet) set(i int, in bool) {
	var bit uint
	if in {
		bit = 1
	}
	s.bits.SetBit(&s.bits, i, bit)
}
