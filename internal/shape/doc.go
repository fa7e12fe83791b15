// Package shape describes what a job needs: the resources of one member, the
// number of members, and how close together they must be.
//
// # Usage
//
//	s := shape.Shape{
//		Members:   4,
//		Member:    shape.Resources{Accelerators: 8, Processors: 8, Memory: 64 * shape.GiB},
//		Adjacency: shape.SameRack,
//	}
//	if err := s.Check(); err != nil {
//		return err
//	}
//
// Adjacency levels nest: members on one worker are also in one rack, and
// members in one rack are also in one failure domain.
package shape
