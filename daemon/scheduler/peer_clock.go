package scheduler

import "time"

// peerClock tells the uptime of a process on another host, which is at least what it returns: what the peer tells of its uptime arrives
// later. A time that is computed with it is early rather than late on the peer's clock, whatever delays the messages, and however the
// times of day of the two hosts differ.
type peerClock struct {
	boot       string        // process of the peer, empty if it has told no uptime
	ahead      time.Duration // least time by which its uptime is ahead of this host's, at measuredAt
	measuredAt time.Duration // uptime of this host
}

// clockDriftDivisor bounds the drift of the clocks of two hosts against each other to one in that many.
const clockDriftDivisor = 1000

// record records an uptime of the peer that arrived at an uptime of this host.
func (peerClock *peerClock) record(boot string, uptime, receivedAt time.Duration) {
	if boot == "" {
		return
	}
	ahead := uptime - receivedAt
	if boot == peerClock.boot {
		ahead = max(ahead, peerClock.aheadAt(receivedAt))
	}
	peerClock.boot, peerClock.ahead, peerClock.measuredAt = boot, ahead, receivedAt
}

// aheadAt returns the least time by which the peer's uptime is ahead at an uptime of this host, given that their clocks may drift.
func (peerClock *peerClock) aheadAt(uptime time.Duration) time.Duration {
	return peerClock.ahead - max(uptime-peerClock.measuredAt, 0)/clockDriftDivisor
}

// at returns the least uptime of the peer at an uptime of this host, at least 1.
func (peerClock *peerClock) at(uptime time.Duration) time.Duration {
	return max(uptime+peerClock.aheadAt(uptime), 1)
}
