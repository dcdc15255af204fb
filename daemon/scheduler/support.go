package scheduler

import (
	"context"
	"sync"
	"time"

	"ebonyshunt.org/daemon/linker"
)

const (
	// storeAuthority is how long a decider may renew leases after the store last showed that no later
	// host decides.
	storeAuthority = 3 * time.Second
	// loneAuthority is how long it may do so while most hosts support it, since the store may be down for all.
	loneAuthority = 12 * time.Second
	// supportFor is how long a host's beat counts as its support. A host that knows a later decider supports
	// only that one, so that two deciders never have the support of most hosts at a time.
	supportFor = 1500 * time.Millisecond
)

// support is which hosts take this tenure for the present one.
type support struct {
	mu    sync.Mutex
	beats map[string]time.Time // by host: of the last beat
	first time.Time            // when most hosts first supported the tenure
}

func newSupport() *support { return &support{beats: map[string]time.Time{}} }

func (support *support) heard(host string) {
	support.mu.Lock()
	defer support.mu.Unlock()
	support.beats[host] = time.Now()
}

// from reports whether a host supported the tenure lately.
func (support *support) from(host string) bool {
	support.mu.Lock()
	defer support.mu.Unlock()
	return time.Since(support.beats[host]) <= supportFor
}

// most reports whether more than half of some hosts, this one included, supported the tenure lately.
func (support *support) most(hosts int) bool {
	support.mu.Lock()
	defer support.mu.Unlock()
	now := time.Now()
	count := 1
	for _, at := range support.beats {
		if now.Sub(at) <= supportFor {
			count++
		}
	}
	if 2*count <= hosts {
		return false
	}
	if support.first.IsZero() {
		support.first = now
	}
	return true
}

// supportedSince returns when most hosts first supported the tenure, or zero.
func (tenure *tenure) supportedSince() time.Time {
	tenure.support.most(tenure.host.fleet.size())
	tenure.support.mu.Lock()
	defer tenure.support.mu.Unlock()
	return tenure.support.first
}

// confirm takes note that a call to the store, sent at an uptime of the host, showed no later decider.
func (tenure *tenure) confirm(sent time.Duration) {
	for {
		known := tenure.storedAt.Load()
		if int64(sent) <= known || tenure.storedAt.CompareAndSwap(known, int64(sent)) {
			return
		}
	}
}

// authorized reports whether the tenure may renew leases: no other host can have begun to start elsewhere
// what runs under them.
func (tenure *tenure) authorized() bool {
	silent := tenure.host.uptime() - time.Duration(tenure.storedAt.Load())
	return silent <= storeAuthority || silent <= loneAuthority && tenure.support.most(tenure.host.fleet.size())
}

// formerClockSlack bounds by how much the clocks of two hosts differ, with steps of either.
const formerClockSlack = 5 * time.Second

// askFormer finds out whether the process that decided before is gone. If it is, and had decided for so long
// that no decider before it can renew leases either, then nobody does from now on.
func (tenure *tenure) askFormer() {
	former := tenure.former
	decided := time.Duration(time.Now().UnixMilli()-former.AtMS) * time.Millisecond
	if former.Term == 0 || former.AtMS == 0 || decided < loneAuthority+formerClockSlack {
		return
	}
	for until := tenure.host.uptime() + storeAuthority; tenure.host.uptime() < until && tenure.ctx.Err() == nil; {
		ctx, cancel := context.WithTimeout(tenure.ctx, beatWithin)
		answer, err := tenure.host.callBeat(ctx, former.Address)
		gone := err == nil && answer.Boot != former.Boot || linker.ErrUnsent.Has(err) && ctx.Err() == nil
		cancel()
		if gone {
			tenure.host.log.Info("former decider is gone", "term", former.Term, "host", former.Host, "decided", decided.String())
			tenure.mu.Lock()
			tenure.planner.Unopposed(time.Now())
			tenure.mu.Unlock()
			return
		}
		sleep(tenure.ctx, beatEvery)
	}
}

// unsure reports whether another host may decide by now, as far as the store has told: its answers fail, or
// are due.
func (tenure *tenure) unsure() bool {
	silent := tenure.host.uptime() - time.Duration(tenure.storedAt.Load())
	return tenure.storeQuiet() > unsureAfter || silent > tailWait+tailSlack
}

// unsureAfter is how long appends may fail before a decider doubts that it still decides.
const unsureAfter = 200 * time.Millisecond
