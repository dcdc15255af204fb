package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"
)

// FormerElection is an election before another one.
type FormerElection struct {
	Term    int64  `json:"term"`
	Host    string `json:"host"`
	Address string `json:"address"`
	BootID  string `json:"boot"`
	// LeasesFromBase is Election.LeasesFromBase.
	LeasesFromBase bool `json:"leasesFromBase,omitempty"`
}

// maxFormerElections bounds Election.Former. With more elections before the first term settles, a decider waits for the longest
// time in which former deciders may renew leases.
const maxFormerElections = 8

// withFormer returns the election with the list of the elections before it, given the latest one of them.
func (election Election) withFormer(previous Election) Election {
	if previous.Term == 0 {
		return election
	}
	former := []FormerElection{{
		Term: previous.Term, Host: previous.Host, Address: previous.Address, BootID: previous.BootID, LeasesFromBase: previous.LeasesFromBase,
	}}
	former = append(former, previous.Former...)
	election.Former = former[:min(len(former), maxFormerElections)]
	return election
}

// withoutFormer returns the election as it is sent to peers: only the next decider needs the list, and reads it from the store.
func (election Election) withoutFormer() Election {
	election.Former = nil
	return election
}

// formerDeciders tracks of the deciders before a tenure from when on they give no leases.
type formerDeciders struct {
	mu   sync.Mutex
	rows []formerDecider // the latest one first
}

// formerDecider is a row of formerDeciders.
type formerDecider struct {
	FormerElection
	endedAt time.Time // from when on it is known that the decider gives no leases in this term, zero before
	ground  ground    // why
}

func newFormerDeciders(elections []FormerElection) *formerDeciders {
	formerDeciders := &formerDeciders{}
	for _, election := range elections {
		formerDeciders.rows = append(formerDeciders.rows, formerDecider{FormerElection: election})
	}
	return formerDeciders
}

// latestTerm returns the term of the decider before the tenure, 0 if it is not known.
func (formerDeciders *formerDeciders) latestTerm() int64 {
	if len(formerDeciders.rows) == 0 {
		return 0
	}
	return formerDeciders.rows[0].Term
}

// recordEnd records that a decider gives no leases from a time on in a term.
func (formerDeciders *formerDeciders) recordEnd(term int64, ground ground, at time.Time) {
	formerDeciders.mu.Lock()
	defer formerDeciders.mu.Unlock()
	for index := range formerDeciders.rows {
		if row := &formerDeciders.rows[index]; row.Term == term && row.endedAt.IsZero() {
			row.endedAt, row.ground = at, ground
		}
	}
}

// end returns from when on no former decider gives leases and why that is known of the last one, and false if it is not known: of each
// decider from the settled term on it has to be known, and each has to be listed.
func (formerDeciders *formerDeciders) end(settledTerm int64) (time.Time, ground, bool) {
	formerDeciders.mu.Lock()
	defer formerDeciders.mu.Unlock()
	var end time.Time
	var ground ground
	for _, row := range formerDeciders.rows {
		if row.Term < settledTerm || row.endedAt.IsZero() {
			return time.Time{}, "", false
		}
		if row.endedAt.After(end) {
			end, ground = row.endedAt, row.ground
		}
		if row.Term == settledTerm {
			return end, ground, true
		}
	}
	return time.Time{}, "", false
}

// window returns how much later a lease of a former decider may count from than what confirms the decider's term: renewalWindow for
// deciders of earlier releases, and for those that are not listed.
func (formerDeciders *formerDeciders) window(settledTerm int64) time.Duration {
	formerDeciders.mu.Lock()
	defer formerDeciders.mu.Unlock()
	for _, row := range formerDeciders.rows {
		if row.Term < settledTerm || !row.LeasesFromBase {
			return renewalWindow
		}
		if row.Term == settledTerm {
			return 0
		}
	}
	return renewalWindow
}

// terms returns the terms in which deciders are known to give no leases any more, and those in which they may.
func (formerDeciders *formerDeciders) terms() (ended, open []int64) {
	formerDeciders.mu.Lock()
	defer formerDeciders.mu.Unlock()
	for _, row := range formerDeciders.rows {
		if row.endedAt.IsZero() {
			open = append(open, row.Term)
		} else {
			ended = append(ended, row.Term)
		}
	}
	return ended, open
}

// probeFormerDeciders asks the former deciders whether they may give leases.
func (tenure *tenure) probeFormerDeciders() {
	for _, row := range slices.Clone(tenure.former.rows) {
		tenure.wait.Go(func() { tenure.probeFormerDecider(row.FormerElection) })
	}
}

// probeFormerDecider asks a former decider whether it may give leases, until it gives none or no lease can depend on it any more.
func (tenure *tenure) probeFormerDecider(former FormerElection) {
	for tenure.ctx.Err() == nil && tenure.dependsOn(former) {
		if ground, ended := tenure.askFormerDecider(former); ended {
			tenure.host.log.Info("former decider gives no leases", "term", former.Term, "host", former.Host, "grounds", string(ground))
			tenure.former.recordEnd(former.Term, ground, time.Now())
			tenure.endFormerRenewals()
			return
		}
		sleep(tenure.ctx, heartbeatInterval)
	}
}

// askFormerDecider reports whether a former decider gives no leases in its term from now on, and why. A refused connection says nothing:
// a cut between hosts may refuse them, while the former decider still reaches workers on its side.
func (tenure *tenure) askFormerDecider(former FormerElection) (ground, bool) {
	switch {
	case former.BootID == tenure.host.bootID:
		return groundResigned, true // its tenures before this one have ended, see applyElection
	case former.Address == tenure.host.settings.PeerAddress:
		return groundGone, true // this process has taken its place
	}
	ctx, cancel := context.WithTimeout(tenure.ctx, heartbeatTimeout)
	defer cancel()
	answer, err := tenure.host.sendHeartbeat(ctx, former.Address)
	switch {
	case err != nil:
		return "", false
	case answer.BootID != former.BootID:
		return groundGone, true
	}
	return groundResigned, answer.LeaseTerm > former.Term
}

// dependsOn reports whether the wait for the leases of former deciders could be shorter if the end of one of them were known.
func (tenure *tenure) dependsOn(former FormerElection) bool {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return tenure.planner == nil || former.Term >= tenure.planner.SettledTerm() && time.Now().Before(tenure.planner.FormerRenewalsEnd())
}

// endFormerRenewals tells the planner from when on no former decider gives leases, if that is known.
func (tenure *tenure) endFormerRenewals() {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if tenure.planner == nil {
		return
	}
	if end, ground, known := tenure.former.end(tenure.planner.SettledTerm()); known {
		tenure.shortenFormerWait(end, ground)
	}
}

// ground is why a tenure believes that no former decider renews leases from a time on.
type ground string

const (
	groundWindow   ground = "window"   // the longest time in which a former decider may renew leases is over
	groundQuorum   ground = "quorum"   // as formerRenewalsEnd
	groundGone     ground = "gone"     // the process has ended
	groundHandover ground = "handover" // the process before this one recorded in the journal that it gives no leases, and which it gave
	groundResigned ground = "resigned" // the process told that it gives no leases in its term any more
)

// callWindow returns for how long after the end of its renewals a former decider may still prepare calls: one that only lacks a quorum does
// not know yet that it gives no leases.
func (ground ground) callWindow() time.Duration {
	if ground == groundQuorum {
		return renewalWindow
	}
	return 0
}

// shortenFormerWait tells the planner that no former decider renews leases after a time, and logs it if the planner waited for longer.
// The caller holds tenure.mu.
func (tenure *tenure) shortenFormerWait(after time.Time, ground ground) {
	if tenure.planner.EndFormerRenewals(after, ground.callWindow()) {
		tenure.logFormerWait(ground)
	}
}

// logFormerWait logs until when the tenure waits for leases of former deciders. The caller holds tenure.mu.
func (tenure *tenure) logFormerWait(ground ground) {
	ended, open := tenure.former.terms()
	tenure.host.log.Info("leases of former deciders", "term", tenure.term, "grounds", string(ground),
		"renewalsEndIn", time.Until(tenure.planner.FormerRenewalsEnd()).String(), "expireIn", time.Until(tenure.planner.FormerLeasesExpireBy()).String(),
		"settled", tenure.planner.SettledTerm(), "ended", ended, "mayRenew", open)
}
