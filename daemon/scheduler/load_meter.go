package scheduler

import (
	"sync/atomic"
	"time"

	"ebonyshunt.org/library/planner"
)

// loadInterval is the time between two log lines about the load of the decider.
const loadInterval = time.Second

// loadMeter counts the work of the decider between two log lines.
type loadMeter struct {
	plans       atomic.Int64
	planTime    atomic.Int64 // nanoseconds, including the wait for the planner's lock
	polls       atomic.Int64
	lostPolls   atomic.Int64
	starts      atomic.Int64
	lostStarts  atomic.Int64
	delegated   atomic.Int64 // polls and starts through delegates
	stops       atomic.Int64
	queries     atomic.Int64
	batches     atomic.Int64
	longestPlan atomic.Int64 // nanoseconds
	longestWait atomic.Int64 // longest delay of a timer, in nanoseconds

	lockTime       atomic.Int64 // part of planTime that is spent waiting for the planner's lock, in nanoseconds
	encodeTime     atomic.Int64 // part of planTime that is spent encoding records, in nanoseconds
	appendTime     atomic.Int64 // total time until batches were stored, in nanoseconds
	appendAttempts atomic.Int64 // attempts at appends to the journal
	appendedBytes  atomic.Int64 // in these attempts
	outOfTurn      atomic.Int64 // of these attempts, those that the store rejected since the preceding append was not stored
}

// recordPlan records one call of planOnce that began at a time.
func (loadMeter *loadMeter) recordPlan(began time.Time) {
	took := int64(time.Since(began))
	loadMeter.plans.Add(1)
	loadMeter.planTime.Add(took)
	raise(&loadMeter.longestPlan, took)
}

// raise sets a value to a sample that is greater.
func raise(value *atomic.Int64, sample int64) {
	for {
		current := value.Load()
		if sample <= current || value.CompareAndSwap(current, sample) {
			return
		}
	}
}

// logLoad logs the work of the decider since the last line, once per loadInterval, until the tenure ends.
func (tenure *tenure) logLoad() {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	var drains drainWatch
	runtimeMeter := newRuntimeMeter()
	trafficMeter := trafficMeter{traffic: &tenure.host.traffic}
	trafficMeter.read()
	for {
		select {
		case <-ticker.C:
		case <-tenure.ctx.Done():
			return
		}
		tenure.mu.Lock()
		startLimit := tenure.startWindow.Limit()
		load, drainedRuns, shares := tenure.planner.Load(), tenure.planner.DrainedRuns(), tenure.planner.Shares(maxReportedShares)
		tenure.mu.Unlock()
		tenure.host.metrics.observeLoad(load, tenure.tickLag.current())
		tenure.host.metrics.shares.observe(shares)
		tenure.reportDrains(&drains, drainedRuns, time.Now())
		meter := &tenure.meter
		processor := runtimeMeter.read()
		bytes := trafficMeter.read()
		tenure.host.log.Info("load", "term", tenure.term, "plans", meter.plans.Swap(0), "planning", milliseconds(&meter.planTime),
			"longestPlan", milliseconds(&meter.longestPlan), "latestTick", milliseconds(&meter.longestWait),
			"polls", meter.polls.Swap(0), "lostPolls", meter.lostPolls.Swap(0), "starts", meter.starts.Swap(0), "lostStarts", meter.lostStarts.Swap(0),
			"delegated", meter.delegated.Swap(0), "stops", meter.stops.Swap(0), "queries", meter.queries.Swap(0), "batches", meter.batches.Swap(0),
			"steps", load.WaitingSteps, "waiting", load.WaitingTasks, "runs", load.Runs, "unknownWorkers", load.UnknownWorkers, "usedShare", load.UsedShare,
			"lockWait", milliseconds(&meter.lockTime), "encoding", milliseconds(&meter.encodeTime),
			"appending", milliseconds(&meter.appendTime), "appendAttempts", meter.appendAttempts.Swap(0), "appendedBytes", meter.appendedBytes.Swap(0),
			"outOfTurn", meter.outOfTurn.Swap(0), "storeLossy", tenure.journal.lossRate.isHigh(), "workersLossy", tenure.answerLossRate.isHigh(),
			"queriedWorkers", load.QueriedWorkers, "requeriedWorkers", load.RequeriedWorkers, "examinedSteps", load.ExaminedSteps, "cutPasses", load.CutPasses,
			"wakeups", processor.wakeups, "medianWait", inMilliseconds(processor.medianWait), "highWait", inMilliseconds(processor.highWait),
			"garbageCollection", inMilliseconds(processor.gcTime), "startsInFlight", tenure.startsInFlight.Load(), "startLimit", startLimit,
			"probe", time.Duration(tenure.speed.latest.Load()).String(),
			"slowed", tenure.speed.isSlowed(), "answerTime", inMilliseconds(tenure.answerLag.recent()),
			"peersSent", bytes.peersSent, "peersReceived", bytes.peersReceived, "storeSent", bytes.storeSent, "storeReceived", bytes.storeReceived,
			"workersSent", bytes.workersSent, "workersReceived", bytes.workersReceived)
	}
}

// milliseconds returns a duration in milliseconds and resets it.
func milliseconds(nanoseconds *atomic.Int64) float64 {
	return inMilliseconds(time.Duration(nanoseconds.Swap(0)))
}

func inMilliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// observeLoad sets the gauges of the decider's load.
func (metrics *metrics) observeLoad(load planner.Load, lag time.Duration) {
	metrics.waitingTasks.Set(float64(load.WaitingTasks))
	metrics.runs.Set(float64(load.Runs))
	metrics.unknownWorkers.Set(float64(load.UnknownWorkers))
	metrics.usedShare.Set(load.UsedShare)
	metrics.lag.Set(lag.Seconds())
}
