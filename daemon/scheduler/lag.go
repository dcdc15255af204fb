package scheduler

import (
	"context"
	"sync/atomic"
	"time"
)

// lag is the average of delays: of the decider's timers, where a high lag indicates a slowed or overloaded machine, or of its
// answers to heartbeats, where it indicates a full link as well.
type lag struct {
	average
	peak atomic.Int64 // highest delay of late, which wears off within a second, in nanoseconds
}

const (
	// lagAverageDivisor is the inverse of the weight of the latest delay in the average.
	lagAverageDivisor = 4
	// lagPeakDivisor is the inverse of the part by which the peak wears off with each delay.
	lagPeakDivisor = 8
	// overloadLag is the average delay from which on a host is overloaded.
	overloadLag = 25 * time.Millisecond
	// slowTransferDelay is the minimum age of a tenure before a transfer from a slowed host. In this time, a large
	// fleet's workers are all polled.
	slowTransferDelay = 10 * time.Second
	// slowTransferInterval is the minimum time between two transfers from slowed hosts of which one host is the source
	// or the target.
	slowTransferInterval = 15 * time.Second
)

func newLag() *lag { return &lag{average: average{divisor: lagAverageDivisor}} }

// record adds one delay.
func (lag *lag) record(late time.Duration) {
	lag.add(int64(late))
	peak := lag.peak.Load()
	lag.peak.Store(max(int64(late), peak-peak/lagPeakDivisor))
}

// recent returns the highest delay of late.
func (lag *lag) recent() time.Duration { return time.Duration(lag.peak.Load()) }

// current returns the average delay.
func (lag *lag) current() time.Duration { return time.Duration(lag.value.Load()) }

// measureLag measures the lag until the tenure ends. It does so apart from planning: a long pass delays what waits for the
// planner's lock, but not the answers that arrive.
func (tenure *tenure) measureLag() {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case due := <-tick.C:
			late := time.Since(due)
			tenure.tickLag.record(late)
			raise(&tenure.meter.longestWait, int64(late))
			tenure.speed.record(probe(), time.Now())
			if took, known := tenure.quorum.answerTime(); known {
				tenure.answerLag.record(took)
			}
		case <-tenure.ctx.Done():
			return
		}
	}
}

// transferIfSlowed asks a peer with at least the same capacity to become the decider if this host is late since its processor
// is slowed. If it is late since it has too much to do, a peer would be as late. The lag at the beginning of a tenure is ignored,
// since it then polls every worker.
func (host *Host) transferIfSlowed(tenure *tenure, election Election) {
	average := tenure.tickLag.current()
	now := host.uptime()
	if average < overloadLag || !tenure.speed.isSlowed() {
		return
	}
	if now-tenure.beganAt < slowTransferDelay || now-time.Duration(host.slowTransferAt.Load()) < slowTransferInterval {
		return
	}
	for _, member := range host.fleet.others(host.settings.Host) {
		if member.ProcessorShare < host.settings.ProcessorShare || !tenure.quorum.includes(member.Name) {
			continue
		}
		host.slowTransferAt.Store(int64(now))
		ctx, cancel := context.WithTimeout(host.ctx, campaignTimeout)
		defer cancel()
		err := host.handOverByStore(ctx, tenure, member, election)
		host.log.Info("turns are late, asks a peer to decide", "term", tenure.term, "to", member.Name, "late", average.String(), "error", err)
		return
	}
}
