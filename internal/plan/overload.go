package plan

// Overload returns the policy for sites on which more work waits than fits. Each of
// its rules replaces one of Default and stands in a file of its own.
func Overload() *Policy {
	p := Default()
	p.Order = OrderByLateness
	p.LateGroup = LatenessGroup
	p.IsSpent = IsSpent
	p.LostWork = PreemptionCost
	return p
}
