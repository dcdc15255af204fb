package planner

import "ebonyshunt.org/library/sizer"

// Steps that find no room are looked at again in each pass. What is alike is looked at once, and what a pass leaves out has its turn in a
// later one, so that however much waits, a step that could start is found.

const (
	// maxBlockedShapes is the number of different steps without room after which a pass leaves out other steps of their service, but for
	// those whose turn it is.
	maxBlockedShapes = 150
	// maxTurns is the number of steps of a service that have their turn in a pass beyond that.
	maxTurns = 50
)

// shape is all of a step that decides whether there is room for one of its tasks, or for all of a gang. See
// shapeOf.
type shape struct {
	queue        string
	label        string
	size         sizer.Size
	members      int // of a gang, 0 for other steps
	filler       bool
	serving      bool
	standing     bool
	usesReserved bool // as pass.usesReserved
}

// shapeOf returns the shape of a step, and false if its own history or the policy has a say in where its tasks may run.
func (pass *pass) shapeOf(step *step, queue Queue) (shape, bool) {
	if queue.Policy != nil || step.MaxPerWorker > 0 || step.suspicion(step.waiting[0]) > 0 || step.tasks[step.waiting[0]].run != nil {
		return shape{}, false
	}
	found := shape{
		queue: queue.Name, label: step.Label, size: step.Size, filler: step.Filler, serving: step.TailMS > 0, standing: step.Standing,
		usesReserved: pass.usesReserved(step, queue.Service),
	}
	if step.Gang {
		found.members = step.Count
	}
	return found, true
}

// blockedShape is what a pass knows of a shape without room.
type blockedShape struct {
	searched bool // whether fits is known
	fits     bool // as pass.fitsWhenEmptied
}

// findsNoRoom reports whether it is known from a step alike that there is no room for a step.
func (pass *pass) findsNoRoom(step *step, queue Queue, pool *pool) bool {
	if len(pool.blockedShapes) == 0 {
		return false
	}
	own, found := pass.shapeOf(step, queue)
	return found && pool.blockedShapes[own] != nil
}

// recordBlocked counts a step that found no room.
func (pass *pass) recordBlocked(step *step, queue Queue, pool *pool) {
	own, found := pass.shapeOf(step, queue)
	switch {
	case !found && (queue.Policy == nil || !pass.hasRoom(step, pool)):
		pool.blockedCount++
	case found && pool.blockedShapes[own] == nil:
		if pool.blockedShapes == nil {
			pool.blockedShapes = map[shape]*blockedShape{}
		}
		pool.blockedShapes[own] = &blockedShape{}
		pool.blockedCount++
	}
	pool.exhausted = pool.blockedCount >= maxBlockedShapes
}

// isWorthRoom is fitsWhenEmptied for a step that found no room, answered once for all steps alike.
func (pass *pass) isWorthRoom(step *step, queue Queue, pool *pool) bool {
	own, found := pass.shapeOf(step, queue)
	if !found || pool.blockedShapes[own] == nil {
		return pass.fitsWhenEmptied(step, queue)
	}
	known := pool.blockedShapes[own]
	if !known.searched {
		known.searched, known.fits = true, pass.fitsWhenEmptied(step, queue)
	}
	return known.fits
}

// hasTurn reports whether a step is looked at although the pass leaves out others: it has not been since the round of turns of its service
// began.
func (pass *pass) hasTurn(step *step, service string, pool *pool) bool {
	if pool.turns >= maxTurns || step.examinedPass >= pass.planner.turnRounds[service] {
		return false
	}
	pool.turns++
	return true
}

// maySearch reports whether a pass looks for workers on which to make room for a step: for the steps that come first in each pass, and for
// each other one that has not been searched for since the round of searches of its service began.
func (pass *pass) maySearch(step *step, queue Queue, pool *pool) bool {
	switch {
	case pool.roomSearches < maxRoomSearches && pass.isWorthRoom(step, queue, pool):
		pool.roomSearches++
	case pool.roomSearches >= maxRoomSearches && pool.searchTurns < maxSearchTurns && step.searchedPass < pass.planner.searchRounds[queue.Service]:
		pool.searchTurns++
	default:
		return false
	}
	step.searchedPass = pass.number
	return true
}

// endRounds begins a new round for each service in which all steps had their turns.
func (pass *pass) endRounds() {
	for service, pool := range pass.pools {
		if pool.exhausted && pool.turns < maxTurns {
			pass.planner.turnRounds[service] = pass.number + 1
		}
		if pool.searchTurns < maxSearchTurns {
			pass.planner.searchRounds[service] = pass.number + 1
		}
	}
}
