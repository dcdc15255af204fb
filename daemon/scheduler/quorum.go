package scheduler

import (
	"slices"
	"sync"
	"time"

	"ebonyshunt.org/daemon/timekeeper"
)

const (
	// renewalWindow is how long a decider may renew leases after the last store call that showed no later decider. Each lease counts from
	// that call, or from the time at which a quorum supported the term, see tenure.leaseBase.
	renewalWindow = 3 * time.Second
	// quorumRenewalWindow is the same while the decider holds a quorum, since the store may be down for all hosts.
	quorumRenewalWindow = 12 * time.Second
	// heartbeatValidity is how long a heartbeat counts towards the quorum. A host that has received a later election
	// sends heartbeats only to that decider, so that two deciders never hold a quorum at the same time.
	heartbeatValidity = 1500 * time.Millisecond
	// freshProofAge is the age of a store call that confirmed the term below which leases count from it, without a look at the heartbeats
	// of all hosts for each poll and start. It is about the age of what these tell.
	freshProofAge = 200 * time.Millisecond
)

// quorum tracks which hosts have sent heartbeats for the term of a tenure.
type quorum struct {
	suspensions *timekeeper.Suspensions // of this host's machine

	mu          sync.Mutex
	heartbeats  map[string]receivedHeartbeat // the last one, by host
	suspendedBy time.Duration                // time for which the machine was suspended before these heartbeats arrived
	// blocksSince is since when no former decider can hold a quorum, zero before.
	blocksSince time.Time
}

// receivedHeartbeat is the last heartbeat of a host.
type receivedHeartbeat struct {
	at time.Time
	// supportedAt is a time at which the host certainly knew of no later decider, zero if none is known: a heartbeat may arrive long after
	// it was sent.
	supportedAt time.Time
	answerTime  time.Duration // Heartbeat.AnswerTime
}

func newQuorum(suspensions *timekeeper.Suspensions) *quorum {
	return &quorum{suspensions: suspensions, heartbeats: map[string]receivedHeartbeat{}, suspendedBy: suspensions.Total()}
}

// lock locks quorum.mu, and forgets the heartbeats that arrived before a suspension of this host's machine: they are older than the
// clock shows.
func (quorum *quorum) lock() {
	quorum.mu.Lock()
	if total := quorum.suspensions.Total(); total-quorum.suspendedBy >= timekeeper.MinSuspension {
		clear(quorum.heartbeats)
		quorum.suspendedBy = total
	}
}

// recordHeartbeat records a heartbeat whose sender had received the answer that was sent at echo. Without one, which hosts of earlier
// releases do not tell, it is not known when the heartbeat was sent.
func (quorum *quorum) recordHeartbeat(heartbeat Heartbeat, echo time.Time) {
	quorum.lock()
	defer quorum.mu.Unlock()
	received := receivedHeartbeat{at: time.Now(), supportedAt: echo, answerTime: heartbeat.AnswerTime}
	former := quorum.heartbeats[heartbeat.Host].supportedAt
	if former.After(received.supportedAt) || echo.After(received.at) {
		received.supportedAt = former
	}
	quorum.heartbeats[heartbeat.Host] = received
}

// supportedAt returns the latest time at which more than half of the given number of hosts, this host included, certainly knew of no later
// decider, given the current time. It returns zero if there is none.
func (quorum *quorum) supportedAt(hostCount int, now time.Time) time.Time {
	quorum.lock()
	defer quorum.mu.Unlock()
	times := []time.Time{now}
	for _, received := range quorum.heartbeats {
		if !received.supportedAt.IsZero() {
			times = append(times, received.supportedAt)
		}
	}
	if 2*len(times) <= hostCount {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[hostCount/2]
}

// minAnswerTimes is the number of hosts that have to tell how long the answers to their heartbeats take.
const minAnswerTimes = 2

// answerTime returns how long this host's answers to heartbeats take on the way to a host in the middle of the quorum, and false if
// fewer than minAnswerTimes hosts tell. What delays the answers to most hosts delays all messages of this host.
func (quorum *quorum) answerTime() (time.Duration, bool) {
	quorum.lock()
	defer quorum.mu.Unlock()
	var times []time.Duration
	for _, received := range quorum.heartbeats {
		if received.answerTime > 0 && time.Since(received.at) <= heartbeatValidity {
			times = append(times, received.answerTime)
		}
	}
	if len(times) < minAnswerTimes {
		return 0, false
	}
	slices.Sort(times)
	return times[(len(times)-1)/2], true
}

// includes reports whether a host sent a heartbeat within heartbeatValidity.
func (quorum *quorum) includes(host string) bool {
	quorum.lock()
	defer quorum.mu.Unlock()
	return time.Since(quorum.heartbeats[host].at) <= heartbeatValidity
}

// heard reports whether any host has sent a heartbeat in this tenure.
func (quorum *quorum) heard() bool {
	quorum.lock()
	defer quorum.mu.Unlock()
	return len(quorum.heartbeats) > 0
}

// isHeld reports whether more than half of the given number of hosts belong to the quorum, this host included.
func (quorum *quorum) isHeld(hostCount int) bool {
	quorum.lock()
	defer quorum.mu.Unlock()
	return 2*quorum.count(time.Now()) > hostCount
}

// count returns how many hosts belong to the quorum, this host included. The caller holds quorum.mu.
func (quorum *quorum) count(now time.Time) int {
	count := 1
	for _, received := range quorum.heartbeats {
		if now.Sub(received.at) <= heartbeatValidity {
			count++
		}
	}
	return count
}

// blocks returns since when no former decider can hold a quorum, or zero, given the number of hosts and how many of them each former
// decider knew at least, 0 if that is not known: those that do not support this term are too few for a quorum over as many. A former
// decider may not know hosts that this one counts.
func (quorum *quorum) blocks(hostCount, formerHostCount int) time.Time {
	quorum.lock()
	defer quorum.mu.Unlock()
	now := time.Now()
	count := quorum.count(now)
	blocked := 2*(hostCount-count) <= formerHostCount
	if formerHostCount == 0 {
		blocked = 2*count > hostCount
	}
	if blocked && quorum.blocksSince.IsZero() {
		quorum.blocksSince = now
	}
	return quorum.blocksSince
}

// hostCount returns the number of hosts over which this tenure counts its quorum: not less than those before it did.
func (tenure *tenure) hostCount() int {
	return max(tenure.host.fleet.size(), int(tenure.formerHostCount.Load()))
}

// quorumSince returns since when no former decider can hold a quorum, or zero. The planner has to be restored.
func (tenure *tenure) quorumSince() time.Time {
	return tenure.quorum.blocks(tenure.hostCount(), int(tenure.formerHostCount.Load()))
}

// formerRenewalsEnd returns the time from which on no leases of former deciders count, given the times since which this tenure keeps others
// from a quorum and since which the journal refuses the appends of former deciders: until then, an append that the journal accepts, or a quorum
// of its own, may confirm the term of a former decider. The window is how much later a lease may count from than what confirms the term.
func formerRenewalsEnd(quorumSince, fencedAt time.Time, window time.Duration) time.Time {
	if fencedAt.After(quorumSince) {
		quorumSince = fencedAt
	}
	return quorumSince.Add(window)
}

// confirmTerm records that a store call sent at the given uptime showed no later decider.
func (tenure *tenure) confirmTerm(sentAt time.Duration) {
	for {
		latest := tenure.confirmedAt.Load()
		if int64(sentAt) <= latest || tenure.confirmedAt.CompareAndSwap(latest, int64(sentAt)) {
			return
		}
	}
}

// mayRenewLeases reports whether the tenure may renew leases. While it may, no other host can have started the
// leased runs elsewhere.
func (tenure *tenure) mayRenewLeases() bool {
	if tenure.releasedLeases() {
		return false
	}
	unconfirmed := tenure.host.uptime() - time.Duration(tenure.confirmedAt.Load())
	return unconfirmed <= renewalWindow || unconfirmed <= quorumRenewalWindow && tenure.quorum.isHeld(tenure.hostCount())
}

// releasedLeases reports whether this host has told a peer that it gives no leases in the tenure's term any more.
func (tenure *tenure) releasedLeases() bool { return tenure.term < tenure.host.leaseTerm.Load() }

// leaseTime tells the planner whether it may give leases and from when on they count, and returns the current time. It reads the time
// before the check: if the process stands still in between, a lease must not count from a time at which it would not be given. The caller
// holds tenure.mu.
func (tenure *tenure) leaseTime() time.Time {
	now := time.Now()
	tenure.planner.SetLeaseBase(tenure.leaseBase(now))
	tenure.planner.SetMayLease(tenure.mayRenewLeases())
	return now
}

// leaseBase returns the latest time at which there was certainly no later decider that had begun to wait for the leases of this one, given
// the current time: the sending of a store call that showed none, or when most hosts knew of none. Since leases count from then, a later
// decider waits for one lease and no longer.
func (tenure *tenure) leaseBase(now time.Time) time.Time {
	base := tenure.host.timeAt(time.Duration(tenure.confirmedAt.Load()))
	if now.Sub(base) < freshProofAge {
		return base
	}
	if supportedAt := tenure.quorum.supportedAt(tenure.hostCount(), now); supportedAt.After(base) {
		base = supportedAt
	}
	return base
}

// mayBeSuperseded reports whether another host may have become the decider: a peer knows of a later term, appends fail, or the last store
// call that showed no later decider is too long ago.
func (tenure *tenure) mayBeSuperseded() bool {
	unconfirmed := tenure.host.uptime() - time.Duration(tenure.confirmedAt.Load())
	return tenure.releasedLeases() || tenure.storeOutage() > supersededCheckDelay || unconfirmed > tailWait+tailTimeoutSlack
}

// supersededCheckDelay is how long appends may fail before a decider asks its peers about a later decider.
const supersededCheckDelay = 200 * time.Millisecond
