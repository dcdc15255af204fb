// Package admitter limits the number of requests that an entry host handles at once.
package admitter

import "sync"

// Gate is a concurrency limiter shared by all teams. While it is less than half full, a team may hold any
// number of its places. Once it is half full, a team may hold no more than an even share, counted over the
// teams that have requests in the gate and one further team. So a flood of one team leaves room for others.
type Gate struct {
	maxRequests int

	mu    sync.Mutex
	total int
	teams map[string]int
}

// New returns a gate that admits up to maxRequests at once.
func New(maxRequests int) *Gate {
	return &Gate{maxRequests: maxRequests, teams: map[string]int{}}
}

// TryAcquire admits a request of a team if there is room and reports whether it did. Each admitted request has to be
// ended by Release.
func (gate *Gate) TryAcquire(team string) bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.total >= gate.maxRequests {
		return false
	}
	present := len(gate.teams)
	if gate.teams[team] == 0 {
		present++
	}
	if 2*gate.total >= gate.maxRequests && gate.teams[team]*(present+1) >= gate.maxRequests {
		return false
	}
	gate.total++
	gate.teams[team]++
	return true
}

// Release ends an admitted request of a team.
func (gate *Gate) Release(team string) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.total--
	gate.teams[team]--
	if gate.teams[team] == 0 {
		delete(gate.teams, team)
	}
}

// InUse returns the number of admitted requests that have not ended.
func (gate *Gate) InUse() int {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.total
}
