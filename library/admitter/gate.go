// Package admitter bounds what an entry host takes on at once.
package admitter

import "sync"

// Gate admits up to Most requests at once. A team may hold all of them while it is alone; once the gate
// is half full, no team may hold more than an even part among the teams present and one to come, so a
// flood of one team leaves room for the others.
type Gate struct {
	most int

	mu    sync.Mutex
	total int
	teams map[string]int
}

// New returns a gate for at most the given number of requests.
func New(most int) *Gate {
	return &Gate{most: most, teams: map[string]int{}}
}

// Enter admits a request of a team, or reports false.
func (gate *Gate) Enter(team string) bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.total >= gate.most {
		return false
	}
	present := len(gate.teams)
	if gate.teams[team] == 0 {
		present++
	}
	if 2*gate.total >= gate.most && gate.teams[team]*(present+1) >= gate.most {
		return false
	}
	gate.total++
	gate.teams[team]++
	return true
}

// Leave ends a request of a team.
func (gate *Gate) Leave(team string) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.total--
	gate.teams[team]--
	if gate.teams[team] == 0 {
		delete(gate.teams, team)
	}
}

// Total returns how many requests are inside.
func (gate *Gate) Total() int {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.total
}
