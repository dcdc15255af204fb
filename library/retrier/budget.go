// Package retrier limits the number and the rate of retries.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget limits the retries of each key to a fraction of its first attempts, with a small burst. It follows
// the retry budgets of Google's "Site Reliability Engineering" (2016), chapter 21. It is safe for concurrent use.
type Budget struct {
	Ratio float64 // retries earned by each first attempt
	Burst float64 // maximum number of unused retries that a key accumulates

	mu     sync.Mutex
	tokens map[string]float64 // retries left by key; an absent key has Burst
}

// NewBudget returns a budget whose keys all start with a full burst.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{Ratio: ratio, Burst: burst, tokens: map[string]float64{}}
}

// RecordFirstAttempt records the first attempt of a request under a key, which earns the key Ratio retries.
func (budget *Budget) RecordFirstAttempt(key string) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens[key] = min(budget.Burst, budget.available(key)+budget.Ratio)
}

// Retry reports whether a key may retry now and, if so, deducts the retry from its budget.
func (budget *Budget) Retry(key string) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	available := budget.available(key)
	if available < 1 {
		return false
	}
	budget.tokens[key] = available - 1
	return true
}

// available returns the number of retries left for a key.
func (budget *Budget) available(key string) float64 {
	tokens, known := budget.tokens[key]
	if !known {
		return budget.Burst
	}
	return tokens
}

// Backoff is an exponential backoff with jitter: the upper bound of the delay doubles up to a maximum, and each
// delay is random between half of the bound and the bound.
type Backoff struct {
	Initial time.Duration // upper bound of the first delay
	Max     time.Duration // upper bound of all delays

	last time.Duration // upper bound of the previous delay; 0 before the first
}

// Next returns the delay before the next attempt.
func (backoff *Backoff) Next() time.Duration {
	backoff.last = min(max(backoff.Initial, 2*backoff.last), backoff.Max)
	return backoff.last/2 + rand.N(backoff.last/2+1)
}

// Reset makes the next delay the first one again, as after a success.
func (backoff *Backoff) Reset() { backoff.last = 0 }
