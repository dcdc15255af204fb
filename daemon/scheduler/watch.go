package scheduler

import (
	"context"
	"sync"
	"time"

	"ebonyshunt.org/daemon/linker"
)

const (
	// heartbeatInterval is the minimum time between two heartbeats of a host, see heartbeatIntervalFor.
	heartbeatInterval = 150 * time.Millisecond
	// suspicionTimeout is how long the decider may fail to answer before one of the strongest hosts considers a campaign.
	suspicionTimeout = 320 * time.Millisecond
	// takeoverSuspicionTimeout is the same for a decider that was elected within takeoverTime: it reads the journal and polls all
	// workers, which may fill its link.
	takeoverSuspicionTimeout = time.Second
	takeoverTime             = 3 * time.Second
	surveyTimeout            = 120 * time.Millisecond
	// campaignRankDelay delays a campaign for each peer that is better placed to decide.
	campaignRankDelay = 60 * time.Millisecond
	// maxStoreOutage is the store outage from which on a host should not be the decider.
	maxStoreOutage = 900 * time.Millisecond
	// minorityDelay delays the campaign of a host that reaches less than half of the hosts.
	minorityDelay = 800 * time.Millisecond
	// isolationDelay delays the campaign of a host that reaches no peer.
	isolationDelay = 3 * time.Second
	// resurveyDelay is the delay of a campaign above which the peers are asked again before it.
	resurveyDelay = 300 * time.Millisecond
	// maxCapacityDelay delays the campaign of a host without any capacity. Hosts with more capacity wait less.
	maxCapacityDelay = 1500 * time.Millisecond
	maxSurveyedPeers = 12
	// minCampaignBackoff is the wait after a failed campaign; each further failure doubles it.
	minCampaignBackoff = 250 * time.Millisecond
	maxCampaignBackoff = 2 * time.Second
	// strongerCapacityFactor is the ratio of a host's capacity to the decider's from which on it replaces the decider.
	strongerCapacityFactor = 1.5
	// strongerTransferInterval is the minimum time between two transfers to a stronger host, and the minimum age of a
	// tenure before the first.
	strongerTransferInterval = 2 * time.Second
)

// watchDecider sends heartbeats to the decider, and considers a campaign when it does not answer.
func (host *Host) watchDecider() {
	host.deciderStatus.reset()
	for host.ctx.Err() == nil {
		election, changed := host.fleet.currentElection()
		contact := deciderAbsent
		tenure := host.currentTenure()
		switch {
		case tenure != nil:
			host.transferToStronger(tenure)
			host.transferToRelay(tenure, election)
			host.transferIfSlowed(tenure, election)
			if tenure.mayBeSuperseded() {
				host.surveyPeers(election) // the answer of a peer may name a later decider
			}
			host.deciderStatus.recordAnswer(host.uptime(), 0)
			contact = deciderAnswered
		case election.BootID == host.bootID:
			host.surveyPeers(election) // this host has resigned, and the answer of a peer may name the next decider
		case election.Term > 0:
			contact = host.contactDecider(election)
		}
		if contact == deciderAnswered && (!host.deciderLostStore() || host.currentTenure() != nil) {
			host.pause(changed, host.heartbeatInterval())
			continue
		}
		if contact != deciderUnresponsive || host.suspectsDecider() {
			host.considerCampaign(contact, election, changed)
		}
		host.pause(changed, heartbeatInterval/3)
	}
}

// heartbeatInterval returns the time between two heartbeats of this host. While it decides, it checks its own state as often
// as the strongest hosts send heartbeats.
func (host *Host) heartbeatInterval() time.Duration {
	if host.currentTenure() != nil {
		return heartbeatInterval
	}
	return heartbeatIntervalFor(host.fleet.rank(host.member()))
}

// suspicionTimeout returns suspicionTimeout for a host whose heartbeats may be rarer than those of the strongest hosts, during a takeover
// and after takeovers that follow each other.
func (host *Host) suspicionTimeout() time.Duration {
	sinceElection := host.sinceElection()
	timeout := suspicionTimeout * host.deciderStatus.backoff(sinceElection)
	if sinceElection < takeoverTime {
		timeout = max(timeout, takeoverSuspicionTimeout)
	}
	return timeout + host.heartbeatInterval() - heartbeatInterval
}

// pause waits until the given time has passed, changed is closed or the host is closed.
func (host *Host) pause(changed <-chan struct{}, wait time.Duration) {
	pause(host.ctx, changed, wait)
}

// storeOutage returns the duration of this host's store outage, 0 for none: the time for which appends have failed on
// a decider, or a long poll has been overdue on any other host.
func (host *Host) storeOutage() time.Duration {
	if tenure := host.currentTenure(); tenure != nil {
		return tenure.storeOutage()
	}
	return max(0, host.sinceStoreAnswer()-tailWait)
}

// reachesDecider reports whether this host is the decider, or the decider answered it within its suspicionTimeout.
func (host *Host) reachesDecider() bool {
	if host.currentTenure() != nil {
		return true
	}
	return host.deciderSilence() < host.suspicionTimeout()
}

// surveyResult summarizes what the peers answered about the decider.
type surveyResult struct {
	asked          int
	answered       int
	notListening   int     // peers at whose address no process listens
	betterPlaced   int     // peers that are better placed to decide and reach the store
	reachesDecider bool    // a peer reaches the decider, and the decider reaches the store
	maxShare       float64 // largest capacity of the peers that could replace the decider: they answered and reach the store
}

// considerCampaign campaigns after a contact with the decider, unless a peer still reaches the decider. Better placed hosts campaign first. A host
// that reaches no peer waits longest, since it may itself be partitioned or overloaded.
func (host *Host) considerCampaign(contact deciderContact, election Election, changed <-chan struct{}) {
	if host.shuttingDown.Load() || !host.fleet.isLoaded() || host.storeOutage() >= maxStoreOutage {
		return
	}
	result := host.surveyPeers(election)
	if result.reachesDecider || host.isSuperseded(election) {
		return
	}
	delay := time.Duration(result.betterPlaced)*campaignRankDelay + host.capacityDelay(result.maxShare)
	switch {
	case result.asked > 0 && result.answered+result.notListening == 0:
		delay += isolationDelay
	case 2*(result.answered+result.notListening+1) < result.asked+1:
		delay += minorityDelay
	}
	host.awaitCampaign(contact, election, changed, delay)
	if contact == deciderUnresponsive && !host.suspectsDecider() {
		return // it has answered meanwhile
	}
	if delay > resurveyDelay && host.surveyPeers(election).reachesDecider || host.isSuperseded(election) {
		return
	}
	host.log.Info("campaign", "after", election.Term, "asked", result.asked, "answered", result.answered, "gone", result.notListening, "delay", delay.String(),
		"silence", host.deciderSilence().String(), "lateAnswer", host.sinceLateAnswer().String(), "answerTime", host.deciderStatus.answerTime().String(),
		"unanswered", host.deciderStatus.unanswered.Load())
	ctx, cancel := context.WithTimeout(host.ctx, campaignTimeout)
	defer cancel()
	if err := host.campaign(ctx, election); err != nil {
		host.log.Warn("campaign failed, retrying after a pause", "after", election.Term, "error", err)
		host.pause(changed, host.campaignBackoff)
		host.campaignBackoff = min(2*host.campaignBackoff, maxCampaignBackoff)
		return
	}
	host.campaignBackoff = minCampaignBackoff
}

// awaitCampaign waits for the delay of a campaign, or until a later election is known. During a long delay it goes on asking a decider
// that does not answer, which may only be slow, and returns when it answers.
func (host *Host) awaitCampaign(contact deciderContact, election Election, changed <-chan struct{}, delay time.Duration) {
	until := time.Now().Add(delay)
	for contact == deciderUnresponsive && time.Until(until) > resurveyDelay && host.ctx.Err() == nil {
		host.contactDecider(election)
		if host.isSuperseded(election) || !host.suspectsDecider() {
			return
		}
		host.pause(changed, heartbeatInterval/3)
	}
	host.pause(changed, time.Until(until))
}

// isSuperseded reports whether a later election is known.
func (host *Host) isSuperseded(election Election) bool {
	current, _ := host.fleet.currentElection()
	return current.Term > election.Term
}

// capacityDelay returns how long this host lets hosts with more capacity campaign first, given the largest capacity of
// those that could.
func (host *Host) capacityDelay(maxShare float64) time.Duration {
	maxShare = max(maxShare, host.settings.ProcessorShare)
	if maxShare <= 0 {
		return 0
	}
	return time.Duration(float64(maxCapacityDelay) * (1 - host.settings.ProcessorShare/maxShare))
}

// transferToStronger asks a host with much more capacity to become the decider, if it belongs to the quorum of this
// tenure.
func (host *Host) transferToStronger(tenure *tenure) {
	if host.uptime()-host.strongerTransferAt < strongerTransferInterval || host.uptime()-tenure.beganAt < strongerTransferInterval {
		return
	}
	for _, member := range host.fleet.others(host.settings.Host) {
		if member.ProcessorShare < strongerCapacityFactor*host.settings.ProcessorShare {
			return // members are sorted by falling capacity
		}
		if !tenure.quorum.includes(member.Name) {
			continue
		}
		host.strongerTransferAt = host.uptime()
		election, _ := host.fleet.currentElection()
		ctx, cancel := context.WithTimeout(host.ctx, campaignTimeout)
		defer cancel()
		err := host.handOverByStore(ctx, tenure, member, election)
		host.log.Info("asked a stronger host to decide", "to", member.Name, "error", err)
		return
	}
}

// surveyPeers sends a heartbeat to up to maxSurveyedPeers peers concurrently.
func (host *Host) surveyPeers(election Election) surveyResult {
	peers := host.fleet.others(host.settings.Host)
	if len(peers) == 0 {
		peers = host.seedPeers()
	}
	peers = peers[:min(maxSurveyedPeers, len(peers))]
	ctx, cancel := context.WithTimeout(host.ctx, surveyTimeout+host.linkAllowance())
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	result := surveyResult{asked: len(peers)}
	for _, peer := range peers {
		wait.Go(func() {
			answer, err := host.sendHeartbeat(ctx, peer.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if linker.ErrUnsent.Has(err) && ctx.Err() == nil {
					result.notListening++
				}
				return
			}
			result.answered++
			if answer.ReachesDecider && answer.Election.Term >= election.Term && (peer.Name != election.Host || answer.StoreOutage < maxStoreOutage) {
				result.reachesDecider = result.reachesDecider || !host.deciderLostStore()
			}
			if answer.StoreOutage >= maxStoreOutage || peer.Name == election.Host {
				return
			}
			result.maxShare = max(result.maxShare, peer.ProcessorShare)
			if compareMembers(peer, host.member()) < 0 {
				result.betterPlaced++
			}
		})
	}
	wait.Wait()
	return result
}

// seedPeers returns the peers that the settings name, for a host that has no list of others yet.
func (host *Host) seedPeers() []Member {
	var members []Member
	for _, address := range host.settings.Seeds {
		if address != host.settings.PeerAddress {
			members = append(members, Member{Name: address, Address: address})
		}
	}
	return members
}
