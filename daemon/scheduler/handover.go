package scheduler

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// handoverTimeout bounds the wait until it is stored that a decider gives no leases any more. A store that takes longer costs the next
// decider less than a decider that stops without a successor.
const handoverTimeout = 300 * time.Millisecond

// requestCampaign asks a peer to become the decider after an election, and applies the election that the peer returns.
func (host *Host) requestCampaign(ctx context.Context, peer Member, election Election) error {
	var current Election
	if err := host.peerPool.Call(ctx, peer.Address, methodCampaign, election.withoutFormer(), &current); err != nil {
		return fmt.Errorf("ask %s to decide: %w", peer.Name, err)
	}
	host.applyElection(current, "peer")
	return nil
}

// checkSuccessor returns an error unless a peer answers and reaches the store. One that does not cannot be elected, and would be waited for
// in vain.
func (host *Host) checkSuccessor(ctx context.Context, peer Member) error {
	answer, err := host.sendHeartbeat(ctx, peer.Address)
	switch {
	case err != nil:
		return fmt.Errorf("check whether %s can decide: %w", peer.Name, err)
	case answer.StoreOutage >= maxStoreOutage:
		return Error.New("%s has not reached the store for %v", peer.Name, answer.StoreOutage)
	}
	return nil
}

// handOver asks a peer to become the decider in place of this host. Until the peer is elected, and from when it was asked, no leases are
// given, so that the peer need not wait for any that this host does not know.
func (host *Host) handOver(ctx context.Context, tenure *tenure, peer Member, election Election) error {
	if err := host.checkSuccessor(ctx, peer); err != nil {
		return err
	}
	tenure.beginHandover(ctx)
	defer func() {
		if !host.shuttingDown.Load() { // the shutdown has begun a handover of its own
			tenure.cancelHandover()
		}
	}()
	return host.requestCampaign(ctx, peer, election)
}

// minTerm is the least time for which a host decides before it hands over because it is stopped. What the policy answers is not handed
// over, so that in shorter terms, one after the other, no task would start.
const minTerm = 2 * time.Second

// awaitMinTerm waits until the tenure has lasted for minTerm, at most until the context is done or the tenure has ended.
func (tenure *tenure) awaitMinTerm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, minTerm-(tenure.host.uptime()-tenure.beganAt))
	defer cancel()
	select {
	case <-tenure.ctx.Done():
	case <-ctx.Done():
	}
}

// handOverByStore is handOver while the store answers this host. In an outage of the store the peer is not elected, and leases would be given
// again only after it.
func (host *Host) handOverByStore(ctx context.Context, tenure *tenure, peer Member, election Election) error {
	if !tenure.stillDecides(ctx) {
		return Error.New("this host does not reach the store, or does not decide any more")
	}
	return host.handOver(ctx, tenure, peer, election)
}

// awaitPlanner waits for the planner to be restored: only then does this host know until when workers are leased.
func (tenure *tenure) awaitPlanner(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTransferTimeout/3)
	defer cancel()
	select {
	case <-tenure.ready:
	case <-tenure.ctx.Done():
	case <-ctx.Done():
	}
}

// beginHandover ends the giving of leases and waits until it is stored until when each worker is leased.
func (tenure *tenure) beginHandover(ctx context.Context) {
	tenure.mu.Lock()
	tenure.handsOver = true
	if tenure.planner == nil || tenure.storeOutage() > 0 {
		tenure.mu.Unlock()
		return
	}
	beganAt, done := time.Now(), make(chan struct{})
	batch, stored := tenure.planner.BeginHandover(beganAt)
	if stored {
		close(done)
	} else {
		tenure.waiters = append(tenure.waiters, waiter{batch: batch, done: done})
	}
	tenure.mu.Unlock()
	tenure.requestPlan()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	select {
	case <-done:
	case <-tenure.ctx.Done():
	case <-ctx.Done():
	}
	tenure.host.log.Info("gives no leases, since a peer is asked to decide", "term", tenure.term, "stored", ctx.Err() == nil, "after", time.Since(beganAt).String())
}

// cancelHandover gives leases again unless a peer was elected. It changes nothing without a handover.
func (tenure *tenure) cancelHandover() {
	if tenure.host.currentTenure() != tenure {
		return
	}
	tenure.mu.Lock()
	tenure.handsOver = false
	if tenure.planner != nil {
		tenure.planner.CancelHandover()
	}
	tenure.mu.Unlock()
	tenure.requestPlan()
}

// endCampaigns waits for a campaign that is under way, which may make this host the decider, and keeps others from beginning.
func (host *Host) endCampaigns(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	select {
	case host.campaigning <- struct{}{}:
	case <-ctx.Done():
	}
}

// successors returns the peers that can replace a tenure's host, those with the most capacity first, and after all others those that have
// sent no heartbeat of late: they may have ended.
func (tenure *tenure) successors() []Member {
	var heard, silent []Member
	for _, peer := range tenure.host.fleet.others(tenure.host.settings.Host) {
		if tenure.quorum.includes(peer.Name) {
			heard = append(heard, peer)
		} else {
			silent = append(silent, peer)
		}
	}
	return append(heard, silent...)
}

// transferOnShutdown asks the successors of a tenure to become the decider until one does. Each is asked at most twice.
func (host *Host) transferOnShutdown(ctx context.Context, tenure *tenure) {
	tenure.awaitPlanner(ctx)
	tenure.beginHandover(ctx)
	defer tenure.cancelHandover()
	election, changed := host.fleet.currentElection()
	peers := tenure.successors()
	for _, peer := range slices.Insert(peers, len(peers), peers...) {
		if ctx.Err() != nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, campaignTimeout)
		err := host.checkSuccessor(callCtx, peer)
		if err == nil {
			err = host.requestCampaign(callCtx, peer, election)
		}
		cancel()
		if err != nil {
			host.log.Info("peer did not take over, asking the next one", "peer", peer.Name, "error", err)
			continue
		}
		host.pause(changed, shutdownTransferTimeout/3)
		if host.currentTenure() == nil {
			return
		}
	}
}
