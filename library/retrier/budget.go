// Package retrier bounds retries.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows retries as a fraction of first attempts, with a small burst, after the retry budgets
// of Google's "Site Reliability Engineering" (2016), chapter 21.
type Budget struct {
	Ratio float64 // retries a first attempt
	Burst float64 // retries that may be saved up

	mu      sync.Mutex
	balance map[string]float64
}

// NewBudget returns a budget whose keys all start with a full burst.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{Ratio: ratio, Burst: burst, balance: map[string]float64{}}
}

// First counts a first attempt of a key.
func (budget *Budget) First(key string) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.balance[key] = min(budget.Burst, budget.left(key)+budget.Ratio)
}

// Retry reports whether a key may retry now, and counts the retry.
func (budget *Budget) Retry(key string) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	left := budget.left(key)
	if left < 1 {
		return false
	}
	budget.balance[key] = left - 1
	return true
}

func (budget *Budget) left(key string) float64 {
	balance, known := budget.balance[key]
	if !known {
		return budget.Burst
	}
	return balance
}

// Backoff doubles its delay up to a ceiling, with full jitter.
type Backoff struct {
	First   time.Duration
	Longest time.Duration

	last time.Duration
}

// Next returns the delay before the next try.
func (backoff *Backoff) Next() time.Duration {
	backoff.last = min(max(backoff.First, 2*backoff.last), backoff.Longest)
	return backoff.last/2 + rand.N(backoff.last/2+1)
}

// Reset starts again from the first delay.
func (backoff *Backoff) Reset() { backoff.last = 0 }
