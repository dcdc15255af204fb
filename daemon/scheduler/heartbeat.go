package scheduler

import (
	"context"
	"math"
	"time"

	"ebonyshunt.org/library/drainer"
)

// Heartbeat is sent to the decider, and to peers that are asked about the decider.
type Heartbeat struct {
	Host           string `json:"host"`
	Term           int64  `json:"term"`
	CatalogVersion int64  `json:"catalogVersion"` // version of the sender's configuration
	KnownHosts     int    `json:"known"`          // number of hosts known to the sender
	// HighestVersion is highestVersion: hosts of earlier releases answer with their whole configuration if its version is
	// higher than this.
	HighestVersion int64 `json:"version"`
	// AnswerTime is how long the decider's latest answer to the sender took, 0 if it has not answered yet or the heartbeat goes to
	// another host.
	AnswerTime time.Duration `json:"answerTime,omitempty"`
	// EchoMS is HeartbeatAnswer.SentMS of the decider's latest answer that the sender had received in this term before it read which
	// term it knows, 0 for none.
	EchoMS int64 `json:"echo,omitempty"`
	// Drains is the sender's state of drained zones, nil if none was ever drained.
	Drains *drainer.State `json:"drains,omitempty"`
}

// highestVersion is the highest version that a configuration may have.
const highestVersion = math.MaxInt64

// HeartbeatAnswer is the answer to a Heartbeat.
type HeartbeatAnswer struct {
	// SentMS is the uptime of the answering host when it sent this, in milliseconds, 0 unless it decides in the term of the heartbeat.
	SentMS   int64    `json:"sent,omitempty"`
	Election Election `json:"election,omitzero"`
	BootID   string   `json:"boot"`
	Deciding bool     `json:"deciding"` // whether the answering host is the decider
	// LeaseTerm is the lowest term in which the answering process may still give leases, 0 from a host of an earlier release, or if it
	// decides in the term of the heartbeat.
	LeaseTerm      int64         `json:"leaseTerm,omitempty"`
	ReachesDecider bool          `json:"reaches"`           // whether the answering host reaches the decider
	StoreOutage    time.Duration `json:"storeSilent"`       // duration of the answering host's store outage, 0 for none
	CatalogVersion int64         `json:"version"`           // version of the answering host's configuration
	Members        []Member      `json:"members,omitempty"` // set if more hosts are known to the answering host than to the sender
	// Drains is the answering host's state of drained zones, nil if neither host knows of any that was ever drained.
	Drains *drainer.State `json:"drains,omitempty"`
}

// deciderEcho is Heartbeat.EchoMS for the heartbeats of a term.
type deciderEcho struct {
	term   int64
	sentMS int64
}

// sendHeartbeat sends a heartbeat to the peer at an address, and applies what its answer says of the fleet.
func (host *Host) sendHeartbeat(ctx context.Context, address string) (HeartbeatAnswer, error) {
	echo := host.echo.Load() // before the election: when the answer arrived, this host knew of no later one
	election, _ := host.fleet.currentElection()
	var answer HeartbeatAnswer
	heartbeat := Heartbeat{
		Host: host.settings.Host, Term: election.Term, CatalogVersion: host.catalogVersion(), KnownHosts: host.fleet.size(),
		HighestVersion: highestVersion, Drains: host.reportedDrains(false),
	}
	if address == election.Address {
		heartbeat.AnswerTime = host.deciderStatus.answerTime()
		if echo != nil && echo.term == election.Term {
			heartbeat.EchoMS = echo.sentMS
		}
	}
	if err := host.peerPool.Call(ctx, address, methodHeartbeat, heartbeat, &answer); err != nil {
		return answer, err
	}
	if answer.SentMS > 0 {
		host.echo.Store(&deciderEcho{term: election.Term, sentMS: answer.SentMS})
	}
	host.catalogFetcher.report(answer.CatalogVersion, address)
	for _, member := range answer.Members {
		if member.check() == nil { // a host of an earlier release may know an odd one
			host.fleet.register(member)
		}
	}
	host.learnDrains(answer.Drains)
	if answer.Election.Term > 0 {
		host.applyElection(answer.Election, "peer")
	}
	return answer, nil
}

// answerHeartbeat answers a peer's heartbeat. A heartbeat for the term of this host's tenure counts towards its quorum. One for a later
// term ends all leases of earlier terms before it is answered.
func (host *Host) answerHeartbeat(heartbeat Heartbeat) HeartbeatAnswer {
	leaseTerm := host.raiseLeaseTerm(heartbeat.Term)
	election, _ := host.fleet.currentElection()
	answer := HeartbeatAnswer{
		Election: election.withoutFormer(), BootID: host.bootID, Deciding: host.currentTenure() != nil, ReachesDecider: host.reachesDecider(),
		StoreOutage: host.storeOutage(), CatalogVersion: host.catalogVersion(), Drains: host.reportedDrains(heartbeat.Drains != nil),
	}
	host.learnDrains(heartbeat.Drains)
	sender, known := host.fleet.member(heartbeat.Host)
	if known {
		host.catalogFetcher.report(heartbeat.CatalogVersion, sender.Address)
	}
	if host.fleet.size() > heartbeat.KnownHosts {
		answer.Members = host.fleet.allMembers()
	}
	if tenure := host.currentTenure(); tenure != nil && heartbeat.Term == tenure.term && heartbeat.Host != host.settings.Host {
		answer.SentMS = host.uptime().Milliseconds() // rounded down: a lease must not count from a later time
		var echo time.Time
		if heartbeat.EchoMS > 0 {
			echo = host.timeAt(time.Duration(heartbeat.EchoMS) * time.Millisecond)
		}
		if known { // the quorum is counted over the members
			tenure.quorum.recordHeartbeat(heartbeat, echo)
		}
	} else {
		answer.LeaseTerm = leaseTerm
	}
	return answer
}

// raiseLeaseTerm ends the giving of leases in all terms before one, and returns the lowest term in which this process may give them. A
// lease that is prepared meanwhile counts from an earlier time, see tenure.leaseTime.
func (host *Host) raiseLeaseTerm(term int64) int64 {
	for {
		lowest := host.leaseTerm.Load()
		if term <= lowest {
			return lowest
		}
		if host.leaseTerm.CompareAndSwap(lowest, term) {
			return term
		}
	}
}
