// Package estimator learns how long tasks run from runs that ended and runs in progress.
//
// It keeps distributions of the run time and of its ratio to the stated estimate as quantile sketches (Masson, Rim and Lee,
// "DDSketch", 2019) at three levels: queue, step, and team. A finer level counts to the extent that it has observations. Old
// observations lose weight, and a sudden change replaces them.
package estimator

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("estimator")

// Facts describe the task of a run.
type Facts struct {
	Queue    string
	Team     string
	Step     int           // number of the step in its job, from 0
	Tasks    int           // number of tasks of the step; less than 1 counts as 1
	Estimate time.Duration // run time that the job states; ignored if it is not positive or longer than 30 days
}

// Level is how much the runs behind an expectation have in common with the task.
type Level int

// The levels, from coarse to fine.
const (
	NoLevel    Level = iota // no runs: the expectation is the stated estimate
	QueueLevel              // runs of the queue
	StepLevel               // runs of steps with the same number in the queue
	TeamLevel               // runs of such steps of the team
)

// String returns the level's name for logs.
func (level Level) String() string { return [...]string{"none", "queue", "step", "team"}[level] }

// Expectation is an expected run time.
type Expectation struct {
	Duration time.Duration // on a worker of average speed, 0 if nothing is known
	Runs     int           // number of ended runs at the level
	Level    Level         // finest level that decides the duration for the most part
}

const (
	maxSketches     = 2000
	sketchesPerNode = 2
	// coarseEvidence is the evidence of a level at which it counts as much as the coarser ones together if it agrees with
	// them, in runs of steps with one task.
	coarseEvidence = 4
	minRunTime     = time.Millisecond    // shorter run times count as this long
	maxRunTime     = 30 * 24 * time.Hour // longer run times and estimates are ignored
	maxRatio       = 10_000              // bound of the ratio of a run time to its estimate, and of the inverse ratio
)

// key identifies a node. Fields that its level does not distinguish are zero.
type key struct {
	level Level
	queue string
	step  int
	team  string
}

// node holds the distributions of one level of one queue, step, or team.
type node struct {
	seconds *distribution // of run times
	ratios  *distribution // of run times divided by estimates
	runs    int           // number of ended runs
	usedAt  int64         // Estimator.clock at the last use
}

// path holds the nodes that apply to a task, from coarse to fine, nil for those that do not exist.
type path [3]*node

// Estimator holds the distributions. It is not safe for concurrent use.
type Estimator struct {
	nodes   map[key]*node
	mapping mapping.IndexMapping
	clock   int64 // number of uses, which orders the nodes by their last use
	changed bool  // whether anything was observed since the last snapshot
}

// New returns an estimator without observations.
func New() *Estimator {
	mapping, err := mapping.NewLogarithmicMapping(relativeAccuracy)
	must(err)
	return &Estimator{nodes: map[key]*node{}, mapping: mapping}
}

// must panics on an error that is ruled out by construction: constants are valid, weights positive, and values bounded.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Observe records the run time of a completed task, converted to a worker of average speed. Run times that are not
// positive or longer than 30 days are ignored.
func (estimator *Estimator) Observe(facts Facts, runTime time.Duration) {
	if !plausible(runTime) {
		return
	}
	for _, node := range estimator.ensurePath(facts) {
		node.runs++
		node.seconds.observe(secondsOf(runTime), facts.weight())
		if plausible(facts.Estimate) {
			node.ratios.observe(ratioOf(runTime, facts.Estimate), facts.weight())
		}
	}
	estimator.changed = true
}

// ObserveRunning records that a run has taken at least a time and has not ended. Each call counts as evidence of its own
// that tasks take longer than learned, so call it for a run only when its time has doubled since the last call.
func (estimator *Estimator) ObserveRunning(facts Facts, elapsed time.Duration) {
	if !plausible(elapsed) {
		return
	}
	if plausible(facts.Estimate) && elapsed <= facts.Estimate && estimator.lookup(facts) == (path{}) {
		return // no reason to create nodes
	}
	for _, node := range estimator.ensurePath(facts) {
		if plausible(facts.Estimate) {
			node.seconds.observeRunning(secondsOf(elapsed), secondsOf(facts.Estimate), facts.weight())
			node.ratios.observeRunning(ratioOf(elapsed, facts.Estimate), 1, facts.weight())
		} else {
			node.seconds.observeRunning(secondsOf(elapsed), 0, facts.weight())
		}
	}
	estimator.changed = true
}

// Expect returns a quantile, between 0 and 1, of the run time of a task. It grows with the quantile.
func (estimator *Estimator) Expect(facts Facts, quantile float64) Expectation {
	path := estimator.lookup(facts)
	level, runs := path.level()
	if !plausible(facts.Estimate) {
		logSeconds, known := path.logQuantile(secondsNode, math.Inf(-1), quantile)
		if !known {
			return Expectation{}
		}
		return Expectation{Duration: durationOf(logSeconds), Runs: runs, Level: level}
	}
	logEstimate := math.Log(secondsOf(facts.Estimate))
	// Spreads of single sketches are multiples of a bin, so that ties are common. The margin of half a bin decides them alike.
	if path.spread(ratiosNode, 0) <= path.spread(secondsNode, logEstimate)+relativeAccuracy {
		logRatio, _ := path.logQuantile(ratiosNode, 0, quantile)
		return Expectation{Duration: durationOf(logEstimate + logRatio), Runs: runs, Level: level}
	}
	logSeconds, _ := path.logQuantile(secondsNode, logEstimate, quantile)
	return Expectation{Duration: durationOf(logSeconds), Runs: runs, Level: level}
}

// plausible reports whether a run time or an estimate may be true.
func plausible(duration time.Duration) bool { return duration > 0 && duration <= maxRunTime }

func secondsOf(runTime time.Duration) float64 { return max(runTime, minRunTime).Seconds() }

func ratioOf(runTime, estimate time.Duration) float64 {
	return min(max(secondsOf(runTime)/secondsOf(estimate), 1.0/maxRatio), maxRatio)
}

// durationOf returns the duration with the given logarithm of its seconds, at most maxRunTime.
func durationOf(logSeconds float64) time.Duration {
	return time.Duration(min(math.Exp(logSeconds), maxRunTime.Seconds()) * float64(time.Second))
}

// weight returns the weight of a run. The tasks of a step resemble each other, so that many of them tell less than as many
// steps do.
func (facts Facts) weight() float64 { return 1 / math.Sqrt(float64(max(facts.Tasks, 1))) }

func (facts Facts) keys() [3]key {
	return [3]key{
		{level: QueueLevel, queue: facts.Queue},
		{level: StepLevel, queue: facts.Queue, step: facts.Step},
		{level: TeamLevel, queue: facts.Queue, step: facts.Step, team: facts.Team},
	}
}

// lookup returns the existing nodes that apply to a task.
func (estimator *Estimator) lookup(facts Facts) path {
	estimator.clock++
	var path path
	for index, key := range facts.keys() {
		if node := estimator.nodes[key]; node != nil {
			node.usedAt = estimator.clock
			path[index] = node
		}
	}
	return path
}

// ensurePath returns the nodes that apply to a task, and creates those that are missing.
func (estimator *Estimator) ensurePath(facts Facts) path {
	path := estimator.lookup(facts)
	for index, key := range facts.keys() {
		if path[index] == nil {
			path[index] = estimator.create(key)
		}
	}
	return path
}

// create adds a node. If there are too many, it first removes the least recently used one.
func (estimator *Estimator) create(key key) *node {
	if (len(estimator.nodes)+1)*sketchesPerNode > maxSketches {
		estimator.evict()
	}
	node := &node{
		seconds: newDistribution(estimator.mapping), ratios: newDistribution(estimator.mapping), usedAt: estimator.clock,
	}
	estimator.nodes[key] = node
	return node
}

func (estimator *Estimator) evict() {
	var oldest key
	var oldestNode *node
	for key, node := range estimator.nodes {
		if oldestNode == nil || node.usedAt < oldestNode.usedAt || node.usedAt == oldestNode.usedAt && key.level > oldest.level {
			oldest, oldestNode = key, node
		}
	}
	delete(estimator.nodes, oldest)
}

func secondsNode(node *node) *distribution { return node.seconds }

func ratiosNode(node *node) *distribution { return node.ratios }

// logQuantile returns the logarithm of a quantile, and false if neither a prior value nor an observation is known. It
// begins with the logarithm of the prior value, -Inf for none, and moves toward the quantile of each finer level to the
// extent that the level counts. That does not depend on the quantile, so that quantiles keep their order.
func (path path) logQuantile(kind func(*node) *distribution, logPrior, quantile float64) (float64, bool) {
	result, median := logPrior, logPrior
	for _, node := range path {
		if node == nil || kind(node).evidence == 0 {
			continue
		}
		distribution := kind(node)
		level, levelMedian := distribution.logQuantile(quantile), distribution.logQuantile(middleQuantile)
		if math.IsInf(result, -1) {
			result, median = level, levelMedian
			continue
		}
		share := distribution.coarseShare(levelMedian - median)
		result += (1 - share) * (level - result)
		median += (1 - share) * (levelMedian - median)
	}
	return result, !math.IsInf(result, -1)
}

// spread returns the logarithm of the ratio of the high to the low quantile.
func (path path) spread(kind func(*node) *distribution, logPrior float64) float64 {
	high, _ := path.logQuantile(kind, logPrior, highQuantile)
	low, _ := path.logQuantile(kind, logPrior, lowQuantile)
	return high - low
}

// level returns the finest level that counts for at least a half, or else the coarsest one with runs, and its number of
// runs.
func (path path) level() (Level, int) {
	level, runs := NoLevel, 0
	for index, node := range path {
		if node != nil && node.seconds.evidence > 0 && (level == NoLevel || node.seconds.evidence >= coarseEvidence) {
			level, runs = QueueLevel+Level(index), node.runs
		}
	}
	return level, runs
}
