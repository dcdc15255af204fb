package scheduler

import "time"

// The rates of regular messages over a whole fleet are bounded, so that a decider exchanges no more of them with a large
// fleet than with a medium one.
const (
	// lossyPollsPerSecond is the rate of polls over all workers while their answers get lost.
	lossyPollsPerSecond = 1200
	// heartbeatsPerSecond is the rate of heartbeats to the decider from the hosts that are not among the maxSurveyedPeers
	// strongest. These campaign first, and are asked about the decider by the others.
	heartbeatsPerSecond = 220
	// maxHeartbeatInterval leaves each host two heartbeats within heartbeatValidity.
	maxHeartbeatInterval = heartbeatValidity/2 - heartbeatInterval/3
)

// lossyPollWaitFor returns how long a worker waits for the end of a run before it answers a poll, while answers get lost: short,
// since a lost answer is noticed only after the wait, but in a large fleet long enough for the bound on all polls.
func lossyPollWaitFor(workers int) time.Duration {
	return min(max(lossyPollWait, time.Duration(workers)*time.Second/lossyPollsPerSecond), urgentPollWait)
}

// heartbeatIntervalFor returns the time between two heartbeats of a host, given the number of hosts and how many of them are
// stronger than it.
func heartbeatIntervalFor(stronger, hosts int) time.Duration {
	if stronger < maxSurveyedPeers {
		return heartbeatInterval
	}
	interval := time.Duration(hosts-maxSurveyedPeers) * time.Second / heartbeatsPerSecond
	return min(max(interval, heartbeatInterval), maxHeartbeatInterval)
}
