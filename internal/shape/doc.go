// Package shape describes the demand of a job: the resources of one member, the
// number of members, and how close together the members must be placed.
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
