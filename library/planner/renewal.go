package planner

import "time"

// renewalMargin is added to the answer time of a policy query to give the time before the end of a ticket's validity at which the
// ticket is asked for again.
const renewalMargin = 200 * time.Millisecond

// renewalLead returns that time for a step that room is being made for, so that the step has a valid ticket when there is room.
func (policy *Policy) renewalLead() time.Duration {
	return min(policy.maxAnswerTime()+renewalMargin, (policy.Validity-ticketMargin)/2)
}
