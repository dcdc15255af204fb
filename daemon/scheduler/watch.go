package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/daemon/linker"
)

const (
	beatEvery    = 150 * time.Millisecond
	beatWithin   = 150 * time.Millisecond
	suspectAfter = 320 * time.Millisecond // without an answer of the decider
	surveyWithin = 120 * time.Millisecond
	rankDelay    = 60 * time.Millisecond   // for each host that is better placed to decide
	storeLost    = 900 * time.Millisecond  // of a decider whose store is silent
	alone        = 800 * time.Millisecond  // that a host waits which reaches under half of the others
	unheard      = 3 * time.Second         // that a host waits which reaches nobody
	surveyAgain  = 300 * time.Millisecond  // of waiting, after which the peers are asked again
	weakDelay    = 1500 * time.Millisecond // that a host of no capacity at all would wait for a stronger one
	mostSurveyed = 12                      // peers that a survey asks
	firstRest    = 250 * time.Millisecond  // between two campaigns that failed, then doubled
	longestRest  = 2 * time.Second
	strengthGap  = 1.5             // times the capacity of the decider, at which another host takes over
	settled      = 2 * time.Second // of deciding, before a weak decider looks for a stronger host
)

// Beat is what a host tells the decider, or a peer that it surveys.
type Beat struct {
	Host    string `json:"host"`
	Term    int64  `json:"term"`
	Version int64  `json:"version"` // of its configuration
	Known   int    `json:"known"`   // hosts that it knows
}

// BeatAnswer is what it is told.
type BeatAnswer struct {
	Election    Election        `json:"election,omitzero"`
	Boot        string          `json:"boot"`
	Deciding    bool            `json:"deciding"`          // the answering host decides
	Reaches     bool            `json:"reaches"`           // it heard from the decider lately
	StoreSilent time.Duration   `json:"storeSilent"`       // for which the store did not answer it
	Catalog     json.RawMessage `json:"catalog,omitempty"` // where it has a newer one
	Members     []Member        `json:"members,omitempty"` // where it knows more hosts
}

// noAnswer stands for a decider that was never heard.
const noAnswer = -int64(time.Hour)

// watchState is what a host knows of the decider.
type watchState struct {
	heardAt     atomic.Int64 // uptime when the decider last answered, nanoseconds
	storeSilent atomic.Int64 // of the decider
}

// watch keeps in touch with the decider, and campaigns when it falls silent.
func (host *Host) watch() {
	host.watching.heardAt.Store(noAnswer)
	since := time.Now()
	for host.ctx.Err() == nil {
		election, changed := host.fleet.view()
		heard := noDecider
		tenure := host.present()
		switch {
		case tenure != nil:
			host.yield(tenure)
			host.passOn(tenure, election)
			host.relieve(tenure, election)
			if tenure.unsure() {
				host.survey(election) // a peer tells of a later decider
			}
			host.watching.heardAt.Store(int64(host.uptime()))
			heard = heardDecider
		case election.Boot == host.boot:
			host.survey(election) // this host was replaced, and a peer may know by whom
		case election.Term > 0:
			heard = host.beat(election)
		}
		if heard == heardDecider {
			since = time.Now()
			if !host.deciderLostStore() || host.present() != nil {
				host.pause(changed, beatEvery)
				continue
			}
		}
		if heard != silentDecider || time.Since(since) >= suspectAfter {
			host.consider(election, changed)
		}
		host.pause(changed, beatEvery/3)
	}
}

// hearing is what became of a beat.
type hearing int

const (
	silentDecider hearing = iota
	heardDecider
	noDecider // surely there is none under the known term
)

// deciderLostStore reports whether the decider said that the store fails it.
func (host *Host) deciderLostStore() bool {
	return time.Duration(host.watching.storeSilent.Load()) >= storeLost
}

// pause waits for a time or until the election changes.
func (host *Host) pause(changed <-chan struct{}, wait time.Duration) {
	pause(host.ctx, changed, wait)
}

// beat calls the decider.
func (host *Host) beat(election Election) hearing {
	ctx, cancel := context.WithTimeout(host.ctx, beatWithin)
	defer cancel()
	answer, err := host.callBeat(ctx, election.Address)
	if err != nil {
		host.log.Debug("decider does not answer", "decider", election.Host, "error", err)
		if linker.ErrUnsent.Has(err) && ctx.Err() == nil {
			return noDecider // nothing listens there
		}
		return silentDecider
	}
	host.watching.storeSilent.Store(int64(answer.StoreSilent))
	if !answer.Deciding {
		if answer.Boot != election.Boot {
			return noDecider // its process is gone
		}
		return silentDecider
	}
	host.watching.heardAt.Store(int64(host.uptime()))
	return heardDecider
}

func (host *Host) callBeat(ctx context.Context, address string) (BeatAnswer, error) {
	election, _ := host.fleet.view()
	var answer BeatAnswer
	beat := Beat{Host: host.settings.Host, Term: election.Term, Version: host.catalogVersion(), Known: host.fleet.size()}
	if err := host.pool.Call(ctx, address, methodBeat, beat, &answer); err != nil {
		return answer, err
	}
	if len(answer.Catalog) > 0 {
		host.learnCatalog(answer.Catalog, "peer")
	}
	for _, member := range answer.Members {
		host.fleet.register(member)
	}
	if answer.Election.Term > 0 {
		host.learnElection(answer.Election, "peer")
	}
	return answer, nil
}

// answerBeat tells a peer what this host knows.
func (host *Host) answerBeat(beat Beat) BeatAnswer {
	election, _ := host.fleet.view()
	answer := BeatAnswer{
		Election: election, Boot: host.boot, Deciding: host.present() != nil, Reaches: host.reachesDecider(),
		StoreSilent: host.storeQuiet(),
	}
	if raw := host.raw.Load(); raw != nil && host.catalogVersion() > beat.Version {
		answer.Catalog = *raw
	}
	if host.fleet.size() > beat.Known {
		answer.Members = host.fleet.all()
	}
	if tenure := host.present(); tenure != nil && beat.Term == tenure.term {
		tenure.support.heard(beat.Host)
	}
	return answer
}

// storeQuiet returns for how long the store has failed the host: a decider's appends tell, others' reads.
func (host *Host) storeQuiet() time.Duration {
	if tenure := host.present(); tenure != nil {
		return tenure.storeQuiet()
	}
	return max(0, host.storeSilent()-tailWait)
}

// reachesDecider reports whether the decider answered lately, or is this host.
func (host *Host) reachesDecider() bool {
	if host.present() != nil {
		return true
	}
	return host.uptime()-time.Duration(host.watching.heardAt.Load()) < suspectAfter
}

// survey is what the peers say of the decider.
type survey struct {
	asked    int
	answered int
	gone     int  // at whose address nothing listens
	better   int  // peers that are better placed to decide and would
	reaches  bool // one reaches the decider, whose store answers
}

// consider campaigns, unless a peer still reaches the decider. Better placed hosts go first, and one that
// hears nobody waits for long, since it may be the one that is cut off or overloaded.
func (host *Host) consider(election Election, changed <-chan struct{}) {
	if host.leaving.Load() || !host.fleet.known() || host.storeQuiet() >= storeLost {
		return
	}
	found := host.survey(election)
	if found.reaches || host.superseded(election) {
		return
	}
	delay := time.Duration(found.better)*rankDelay + host.weakness()
	switch {
	case found.asked > 0 && found.answered+found.gone == 0:
		delay += unheard
	case 2*(found.answered+found.gone+1) < found.asked+1:
		delay += alone
	}
	host.pause(changed, delay)
	if delay > surveyAgain && host.survey(election).reaches || host.superseded(election) {
		return
	}
	host.log.Info("campaign", "after", election.Term, "asked", found.asked, "answered", found.answered, "gone", found.gone, "delay", delay.String())
	ctx, cancel := context.WithTimeout(host.ctx, campaignWithin)
	defer cancel()
	if err := host.campaign(ctx, election); err != nil {
		host.log.Warn("campaign failed", "after", election.Term, "error", err)
		host.pause(changed, host.rest)
		host.rest = min(2*host.rest, longestRest)
		return
	}
	host.rest = firstRest
}

// superseded reports whether a later election is known by now.
func (host *Host) superseded(election Election) bool {
	present, _ := host.fleet.view()
	return present.Term > election.Term
}

// weakness returns how long the host waits for stronger ones to campaign.
func (host *Host) weakness() time.Duration {
	strongest := host.settings.ProcessorShare
	for _, member := range host.fleet.all() {
		strongest = max(strongest, member.ProcessorShare)
	}
	if strongest <= 0 {
		return 0
	}
	return time.Duration(float64(weakDelay) * (1 - host.settings.ProcessorShare/strongest))
}

// yield hands the decision over to a much stronger host that supports this one's tenure.
func (host *Host) yield(tenure *tenure) {
	if host.uptime()-host.yieldedAt < settled || host.uptime()-tenure.beganAt < settled {
		return
	}
	for _, member := range host.fleet.others(host.settings.Host) {
		if member.ProcessorShare < strengthGap*host.settings.ProcessorShare {
			return // the strongest come first
		}
		if !tenure.support.from(member.Name) {
			continue
		}
		host.yieldedAt = host.uptime()
		election, _ := host.fleet.view()
		ctx, cancel := context.WithTimeout(host.ctx, campaignWithin)
		defer cancel()
		err := host.callCampaign(ctx, member, election)
		host.log.Info("yields to a stronger host", "to", member.Name, "error", err)
		return
	}
}

// callCampaign asks a peer to become the decider after an election, and learns who decides then.
func (host *Host) callCampaign(ctx context.Context, peer Member, election Election) error {
	var present Election
	if err := host.pool.Call(ctx, peer.Address, methodCampaign, election, &present); err != nil {
		return fmt.Errorf("ask %s to decide: %w", peer.Name, err)
	}
	host.learnElection(present, "peer")
	return nil
}

// survey asks all peers at once.
func (host *Host) survey(election Election) survey {
	peers := host.fleet.others(host.settings.Host)
	if len(peers) == 0 {
		peers = host.seeds()
	}
	peers = peers[:min(mostSurveyed, len(peers))]
	ctx, cancel := context.WithTimeout(host.ctx, surveyWithin)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	found := survey{asked: len(peers)}
	for _, peer := range peers {
		wait.Go(func() {
			answer, err := host.callBeat(ctx, peer.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if linker.ErrUnsent.Has(err) && ctx.Err() == nil {
					found.gone++
				}
				return
			}
			found.answered++
			if answer.Reaches && answer.Election.Term >= election.Term && (peer.Name != election.Host || answer.StoreSilent < storeLost) {
				found.reaches = found.reaches || !host.deciderLostStore()
			}
			if answer.StoreSilent < storeLost && compareMembers(peer, host.member()) < 0 && peer.Name != election.Host {
				found.better++
			}
		})
	}
	wait.Wait()
	return found
}

// seeds returns the hosts that the settings name, for one that knows no others yet.
func (host *Host) seeds() []Member {
	var members []Member
	for _, address := range host.settings.Seeds {
		if address != host.settings.PeerAddress {
			members = append(members, Member{Name: address, Address: address})
		}
	}
	return members
}

// handOver asks the best placed peers to decide, until one does.
func (host *Host) handOver(ctx context.Context) {
	election, changed := host.fleet.view()
	peers := host.fleet.others(host.settings.Host)
	for _, peer := range slices.Insert(peers, len(peers), peers...) {
		if ctx.Err() != nil {
			return
		}
		called, cancel := context.WithTimeout(ctx, campaignWithin)
		err := host.callCampaign(called, peer, election)
		cancel()
		if err != nil {
			host.log.Info("peer does not take over", "peer", peer.Name, "error", err)
			continue
		}
		host.pause(changed, handOver/3)
		if host.present() == nil {
			return
		}
	}
}
