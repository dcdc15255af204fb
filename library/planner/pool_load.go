package planner

import (
	"cmp"
	"math"
	"time"

	"ebonyshunt.org/library/forecaster"
	"ebonyshunt.org/library/sizer"
)

const (
	// offeredSeconds is the time constant of the average of the load that callers offer.
	offeredSeconds = 3.0
	// acceptedSeconds is the time constant of the average of the accepted load: what arrives before the work of lower priorities
	// has to be foreseen for as long as that work may wait.
	acceptedSeconds = 15.0
	// speedSeconds is the time constant of the average of expected and spent work, and priorSeconds how much work at the
	// expected speed it begins with, in seconds of the whole pool.
	speedSeconds, priorSeconds = 10.0, 1.0
	// fillWeight is the weight of one rebuild in the moving average of the share of a pool that is used while work waits.
	fillWeight = 0.1
	// minRate and maxRate bound the rate of a pool.
	minRate, maxRate = 0.2, 4.0
)

// poolLoad is the load of a service.
type poolLoad struct {
	capacity     sizer.Size // without what standing runs use
	largest      sizer.Size // largest capacity of one worker, of each resource
	free         []sizer.Size
	running      forecaster.Running
	preemptible  forecaster.Running // part of running that urgent steps may preempt
	waiting      forecaster.Ranked[rank]
	teams        map[string]*forecaster.Ranked[rank] // waiting work by team
	activeWeight float64                             // total weight of the teams that run or wait here
	active       map[string]bool
	full         bool      // whether a step waits for more room than there is
	fullChecks   int       // number of steps that were compared with the room
	capped       bool      // whether a team that runs or waits here has a cap
	knownSince   time.Time // when the runs of one of its workers were first known
	fill         float64   // moving average of the used share while the pool is full, from 1 on
	expected     float64   // expected run time of the runs that ended, weighted by share of the pool
	spent        float64   // actual run time of these runs
	levels       map[level]*levelLoad
}

func (poolLoad *poolLoad) level(level level) *levelLoad {
	found := poolLoad.levels[level]
	if found == nil {
		found = &levelLoad{}
		poolLoad.levels[level] = found
	}
	return found
}

func (poolLoad *poolLoad) team(name string) *forecaster.Ranked[rank] {
	found := poolLoad.teams[name]
	if found == nil {
		found = &forecaster.Ranked[rank]{}
		poolLoad.teams[name] = found
	}
	return found
}

// reset empties the tables that are rebuilt, and lets the averages decay.
func (poolLoad *poolLoad) reset(seconds float64) {
	poolLoad.capacity, poolLoad.largest, poolLoad.free = sizer.Size{}, sizer.Size{}, poolLoad.free[:0]
	poolLoad.running, poolLoad.preemptible = forecaster.Running{}, forecaster.Running{}
	poolLoad.activeWeight, poolLoad.full, poolLoad.fullChecks, poolLoad.capped = 0, false, 0, false
	poolLoad.waiting.Clear()
	clear(poolLoad.active)
	for _, team := range poolLoad.teams {
		team.Clear()
	}
	for _, load := range poolLoad.levels {
		load.offered *= math.Exp(-seconds / offeredSeconds)
		load.accepted *= math.Exp(-seconds / acceptedSeconds)
	}
	decay := math.Exp(-seconds / speedSeconds)
	poolLoad.expected *= decay
	poolLoad.spent *= decay
}

// measure takes the size of the standing runs from the capacity, and measures how much of the rest is used while the pool is full.
func (poolLoad *poolLoad) measure(now time.Time) {
	poolLoad.capacity = poolLoad.capacity.Sub(poolLoad.running.Standing).Max(sizer.Size{})
	if poolLoad.full && !poolLoad.knownSince.IsZero() && now.Sub(poolLoad.knownSince) >= forecaster.MinObserved {
		poolLoad.fill += fillWeight * (poolLoad.running.Size.DominantShare(poolLoad.capacity) - poolLoad.fill)
	}
}

// rate returns the rate of the pool, see forecaster.Backlog: the share of it that is used while work waits, and the expected
// run times of the runs that ended as a multiple of the time that they took.
func (poolLoad *poolLoad) rate() float64 {
	return min(max(poolLoad.fill*(poolLoad.expected+priorSeconds)/(poolLoad.spent+priorSeconds), minRate), maxRate)
}

// level is a tier and priority.
type level struct{ tier, priority int }

func (level level) compare(other level) int {
	return cmp.Or(cmp.Compare(level.tier, other.tier), cmp.Compare(level.priority, other.priority))
}

// level returns the tier and priority of a rank.
func (rank rank) level() level { return level{rank.tier, rank.priority} }

// levelLoad is the load of a pool at one level. Loads are work per second, as a share of the pool's capacity.
type levelLoad struct {
	offered       float64
	accepted      float64
	pressedAt     time.Time // when a job was refused or ended late, zero if never
	promisedUntil time.Time // forecaster.Backlog.Promised as a time
}
