package hedger

import "time"

const (
	// budgetShare is the share of a pool's capacity that copies and moves may use over time. Even if none of them helps, the
	// pool loses no more than this.
	budgetShare = 0.02
	// budgetPeriod is the time for which unused budget is kept.
	budgetPeriod = 5 * time.Second
)

// Budget bounds the load that copies and moves add to a pool of workers. It grows by a fixed share of the pool's capacity
// per second and is empty at first, so that changes of the decider add no load. The zero value is ready to use.
type Budget struct {
	refilledAt time.Time
	level      time.Duration // time for which the whole pool could be used
}

// Refill adds what has become available since the last call.
func (budget *Budget) Refill(now time.Time) {
	if budget.refilledAt.IsZero() {
		budget.refilledAt = now
	}
	added := float64(max(now.Sub(budget.refilledAt), 0)) * budgetShare
	budget.level = min(budget.level+time.Duration(added), time.Duration(budgetShare*float64(budgetPeriod)))
	budget.refilledAt = now
}

// Left returns for how long the budget can pay a run that takes the given share of the pool, from 0 to 1.
func (budget *Budget) Left(share float64) time.Duration {
	if share <= 0 {
		return 0
	}
	return min(time.Duration(float64(budget.level)/share), maxPaid)
}

// maxPaid bounds what Left returns for runs that take very little of a pool.
const maxPaid = 24 * time.Hour

// Spend takes the price of an action about a run that takes the given share of the pool. It reports false, and takes
// nothing, if that is more than what is left.
func (budget *Budget) Spend(share float64, price time.Duration) bool {
	cost := time.Duration(float64(price) * share)
	if share <= 0 || cost > budget.level {
		return false
	}
	budget.level -= cost
	return true
}
