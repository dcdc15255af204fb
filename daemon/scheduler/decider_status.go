package scheduler

import (
	"context"
	"sync/atomic"
	"time"

	"ebonyshunt.org/daemon/linker"
)

const (
	// heartbeatTimeout is the time after which the answer to a heartbeat is late.
	heartbeatTimeout = 150 * time.Millisecond
	// lateAnswerTimeout is how long a late answer to a heartbeat is waited for, beside the heartbeats that follow.
	lateAnswerTimeout = 2 * time.Second
	// shortTerm is the time until a takeover is over on a host that can carry the load. A decider that is replaced sooner counts towards
	// the backoff, which ends with a longer term.
	shortTerm = 10 * time.Second
	// maxBackoffDoublings bounds the factor of deciderStatus.backoff.
	maxBackoffDoublings = 3
)

// neverAnswered is the uptime that is stored before a decider has answered.
const neverAnswered = -int64(time.Hour)

// deciderStatus is the state of the decider according to its answers to heartbeats.
type deciderStatus struct {
	answeredAt   atomic.Int64 // uptime when the decider last answered, in time or late, in nanoseconds
	lateAnswerAt atomic.Int64 // uptime when the decider last answered late, in nanoseconds
	electedAt    atomic.Int64 // uptime when this host learned of the election, in nanoseconds
	suspicions   atomic.Int64 // short terms in a row that ended with a suspicion
	answerTimeNS atomic.Int64 // time until the latest answer, in nanoseconds
	unanswered   atomic.Int64 // heartbeats whose answer is still waited for
	storeOutage  atomic.Int64 // duration of the decider's store outage, in nanoseconds
}

// reset records that no decider has answered yet.
func (deciderStatus *deciderStatus) reset() {
	deciderStatus.answeredAt.Store(neverAnswered)
	deciderStatus.lateAnswerAt.Store(neverAnswered)
	deciderStatus.electedAt.Store(neverAnswered)
}

// recordAnswer records an answer that arrived at an uptime and took the given time.
func (deciderStatus *deciderStatus) recordAnswer(uptime, took time.Duration) {
	deciderStatus.answerTimeNS.Store(int64(took))
	deciderStatus.answeredAt.Store(int64(uptime))
	if took >= heartbeatTimeout {
		deciderStatus.lateAnswerAt.Store(int64(uptime))
	}
}

// recordElection records that this host learned of an election at an uptime, and whether it suspected the former decider.
func (deciderStatus *deciderStatus) recordElection(uptime time.Duration, suspected bool) {
	deciderStatus.storeOutage.Store(0) // this and the next were those of the former decider
	deciderStatus.answerTimeNS.Store(0)
	term := uptime - time.Duration(deciderStatus.electedAt.Swap(int64(uptime)))
	switch {
	case term >= shortTerm:
		deciderStatus.suspicions.Store(0)
	case suspected:
		deciderStatus.suspicions.Add(1)
	}
}

// backoff returns the factor by which the time without an answer grows after which the decider is suspected, given the time since its
// election. It doubles with each decider that was replaced within shortTerm of its election: if deciders are slow because of their load,
// each takeover makes the next one slower.
func (deciderStatus *deciderStatus) backoff(sinceElection time.Duration) time.Duration {
	if sinceElection >= shortTerm {
		return 1
	}
	return 1 << min(deciderStatus.suspicions.Load(), maxBackoffDoublings)
}

// answerTime returns how long the latest answer took.
func (deciderStatus *deciderStatus) answerTime() time.Duration {
	return time.Duration(deciderStatus.answerTimeNS.Load())
}

// linkAllowance returns the time to add to the time-outs of calls to peers, from how long the decider's latest answer took: this host's
// own link, or all links, may be slow.
func (host *Host) linkAllowance() time.Duration {
	took := host.deciderStatus.answerTime()
	if took < overloadLag {
		return 0
	}
	return min(answerLagTimeoutFactor*took, maxLagTimeout)
}

// deciderSilence returns the time since the decider last answered.
func (host *Host) deciderSilence() time.Duration {
	return host.uptime() - time.Duration(host.deciderStatus.answeredAt.Load())
}

// suspectsDecider reports whether the decider may have failed: no answer of it has arrived for suspicionTimeout. A late answer
// shows as well as one in time that it works; a decider that is slow because of its load is not replaced, since its successor
// would have the same load and the takeover in addition. A new decider gets the same time from its election on.
func (host *Host) suspectsDecider() bool {
	return min(host.deciderSilence(), host.sinceElection()) >= host.suspicionTimeout()
}

// sinceElection returns the time since this host learned of the latest election.
func (host *Host) sinceElection() time.Duration {
	return host.uptime() - time.Duration(host.deciderStatus.electedAt.Load())
}

// sinceLateAnswer returns the time since the decider last answered late.
func (host *Host) sinceLateAnswer() time.Duration {
	return host.uptime() - time.Duration(host.deciderStatus.lateAnswerAt.Load())
}

// deciderLostStore reports whether the decider's store outage has lasted for maxStoreOutage.
func (host *Host) deciderLostStore() bool {
	return time.Duration(host.deciderStatus.storeOutage.Load()) >= maxStoreOutage
}

// deciderContact is the result of a heartbeat to the decider.
type deciderContact int

const (
	deciderUnresponsive deciderContact = iota
	deciderAnswered
	deciderAbsent // the process that was elected no longer runs, or none was elected
)

// contactDecider sends a heartbeat to the decider and waits for its answer, at most for heartbeatTimeout. A later answer is
// recorded when it arrives.
func (host *Host) contactDecider(election Election) deciderContact {
	contacts := make(chan deciderContact, 1)
	host.deciderStatus.unanswered.Add(1)
	host.wait.Go(func() {
		defer host.deciderStatus.unanswered.Add(-1)
		contacts <- host.askDecider(election)
	})
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	select {
	case contact := <-contacts:
		return contact
	case <-timer.C:
		host.peerPool.RecordLate(election.Address)
		return deciderUnresponsive
	}
}

// askDecider sends a heartbeat to the decider and waits for its answer, at most for lateAnswerTimeout.
func (host *Host) askDecider(election Election) deciderContact {
	ctx, cancel := context.WithTimeout(host.ctx, lateAnswerTimeout)
	defer cancel()
	sentAt := time.Now()
	answer, err := host.sendHeartbeat(ctx, election.Address)
	if err != nil {
		host.log.Debug("decider does not answer", "decider", election.Host, "error", err)
		if linker.ErrUnsent.Has(err) && ctx.Err() == nil {
			return deciderAbsent // no process listens at its address
		}
		return deciderUnresponsive
	}
	if current, _ := host.fleet.currentElection(); current.Term != election.Term {
		return deciderUnresponsive // it was replaced meanwhile
	}
	host.deciderStatus.storeOutage.Store(int64(answer.StoreOutage))
	if !answer.Deciding {
		if answer.BootID != election.BootID {
			return deciderAbsent // another process answers at its address
		}
		return deciderUnresponsive
	}
	host.deciderStatus.recordAnswer(host.uptime(), time.Since(sentAt))
	return deciderAnswered
}
