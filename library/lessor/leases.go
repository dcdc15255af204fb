package lessor

import "time"

// Leases is what a decider knows of the leases on one worker.
type Leases struct {
	terms  Terms
	former *FormerDeciders
	// recorded is what the last decider recorded of a worker that did not answer, handedOver what it recorded as it handed over.
	recorded, handedOver Bounds

	read        bool      // whether the current life has answered under a token that rules out the calls before
	clockMS     int64     // clock of the current life at clockReadAt, in milliseconds
	clockReadAt time.Time // zero before the first answer
	shownAt     time.Time // when the last poll was sent whose answer named the current life
	endMS       int64     // latest lease end that this decider requested, in milliseconds of the clock of the current life
	earlier     Expiry    // of the leases that the current life may have given before it was read
	restarted   Expiry    // of all leases, once another life has shown itself and before it is read
	requestedAt time.Time // when the last call with a lease was prepared, zero before
}

// New returns the leases on a worker that a decider has not read yet.
func New(terms Terms, former *FormerDeciders) Leases { return Leases{terms: terms, former: former} }

// ReadClock stores a reading of the worker's clock, in milliseconds, from an answer that arrived now.
func (leases *Leases) ReadClock(clockMS int64, now time.Time) {
	leases.clockMS, leases.clockReadAt = clockMS, now
}

// MinClockMS returns a lower bound of the worker's clock at a time, in milliseconds: it may run slow by the maximum drift.
func (leases *Leases) MinClockMS(now time.Time) int64 {
	elapsed := now.Sub(leases.clockReadAt).Milliseconds()
	return leases.clockMS + elapsed - max(elapsed, 0)/clockDriftDivisor
}

// clockToleranceMS is how far a worker's clock may read below its lower bound without a restart, in milliseconds. It allows for rounding.
const clockToleranceMS = 10

// ShowsRestart reports whether a reading of the worker's clock, from the answer to a call that was sent at sentAt, can only come from a later
// life.
func (leases *Leases) ShowsRestart(clockMS int64, sentAt time.Time) bool {
	return !leases.clockReadAt.IsZero() && clockMS+clockToleranceMS < leases.MinClockMS(sentAt)
}

// ShowLife records that an answer to a poll that was sent at sentAt named the current life.
func (leases *Leases) ShowLife(sentAt time.Time) {
	if sentAt.After(leases.shownAt) {
		leases.shownAt = sentAt
	}
}

// readingDelay bounds how long a reading of a worker's clock takes to arrive.
const readingDelay = 200 * time.Millisecond

// ShowsLife reports whether a reading of the worker's clock that arrived now comes from the life that last showed itself. The clock of a later
// one starts anew: it reads less, since that life has not run for so long, or anything if the clock does not start at 0.
func (leases *Leases) ShowsLife(clockMS int64, now time.Time) bool {
	latest := leases.clockMS + (now.Sub(leases.clockReadAt) + readingDelay).Milliseconds()
	return !leases.shownAt.IsZero() && clockMS > now.Sub(leases.shownAt).Milliseconds() && clockMS <= latest
}

// Request records that a call with a lease until endMS, in milliseconds of the clock of the current life, was prepared.
func (leases *Leases) Request(endMS int64, now time.Time) {
	leases.endMS = max(leases.endMS, endMS)
	leases.requestedAt = now
}

// Restart records that another life than the current one has shown itself. Calls for the former one may have given it the longest lease, and
// may still do so until it is read.
func (leases *Leases) Restart(now time.Time) {
	expiry := Expiry{At: now.Add(leases.terms.Longest()), Reason: Restarted}
	leases.restarted = expiry.Later(leases.Known())
	leases.read, leases.endMS, leases.earlier, leases.shownAt = false, 0, Expiry{}, time.Time{}
	leases.recorded, leases.handedOver = Bounds{}, Bounds{}
}

// minHandedOverWait is the least wait for the leases of a decider that handed over: if the worker answers, it tells what became of its runs.
const minHandedOverWait = 500 * time.Millisecond

// Read records that the current life has answered under a raised token: no call that was sent before has any effect there from now on. Before
// that, calls for a former life may have given it the longest lease, unless it is known that none of these leases is left (settled).
func (leases *Leases) Read(now time.Time, settled bool) {
	if !leases.read && !settled {
		leases.earlier = Expiry{At: now.Add(leases.terms.Longest()), Reason: FormerLife}
	}
	leases.earlier = leases.earlier.Later(leases.formerLease(now)) // also after a further fence: the next poll renews the lease
	leases.read = true
	leases.recorded, leases.handedOver, leases.restarted = Bounds{}, Bounds{}, Expiry{}
}

// formerLease returns by when the leases have expired that former deciders requested from the current life, which refuses theirs from now on.
func (leases *Leases) formerLease(now time.Time) Expiry {
	expiry := Expiry{At: now.Add(leases.terms.usual()), Reason: Former}
	if leases.handedOver.Known.IsZero() {
		return expiry
	}
	return expiry.sooner(Expiry{At: later(leases.handedOver.Known, now.Add(minHandedOverWait)), Reason: Recorded})
}

// Settled reports whether no lease of the current life lasts longer than those that deciders request from a life that they know.
func (leases *Leases) Settled(now time.Time) bool {
	return leases.read && !leases.earlier.At.After(now.Add(leases.terms.usual()))
}

// HandOver records what the last decider recorded as it handed over, on this decider's clock.
func (leases *Leases) HandOver(bounds Bounds, now time.Time) {
	bounds.Known = later(bounds.Known, now.Add(minHandedOverWait))
	if !bounds.Unknown.IsZero() {
		bounds.Unknown = later(bounds.Unknown, bounds.Known)
	}
	leases.handedOver = bounds
}

// Record records what the last decider recorded of a worker that does not answer, on this decider's clock.
func (leases *Leases) Record(bounds Bounds) { leases.recorded = bounds }

// DropRecord forgets what Record was told, since the worker gets leases again.
func (leases *Leases) DropRecord() { leases.recorded = Bounds{} }

// Known returns by when the leases of the current life have expired, for the runs that it has shown to this decider, or to a former one that
// stored this.
func (leases *Leases) Known() Expiry {
	switch {
	case leases.read:
		return leases.requested().Later(leases.earlier)
	case !leases.restarted.At.IsZero():
		return leases.restarted
	}
	expiry := Expiry{At: leases.former.ExpireBy, Reason: Former}
	if !leases.handedOver.Known.IsZero() {
		expiry = Expiry{At: leases.handedOver.Known, Reason: Recorded}
	}
	if !leases.recorded.Known.IsZero() {
		expiry = expiry.sooner(Expiry{At: leases.recorded.Known, Reason: Recorded})
	}
	return expiry
}

// Expiry returns by when the leases have expired that a run may have. Nobody knows in which life a run is that none has shown: calls for
// another one may give it the longest lease.
func (leases *Leases) Expiry(sight Sight) Expiry {
	expiry := leases.Known()
	if sight == Shown {
		return expiry
	}
	if sight == Inherited {
		expiry = expiry.Later(leases.inherited())
	}
	if leases.requestedAt.IsZero() {
		return expiry
	}
	at := leases.requestedAt.Add(leases.terms.CallTime + leases.terms.Longest())
	return expiry.Later(Expiry{At: at, Reason: Unanswered})
}

// inherited returns by when the leases have expired that calls of former deciders gave to any life.
func (leases *Leases) inherited() Expiry {
	expiry := Expiry{At: leases.former.CallsEnd.Add(leases.terms.Longest()), Reason: Former}
	for _, bounds := range []Bounds{leases.handedOver, leases.recorded} {
		if !bounds.Unknown.IsZero() {
			expiry = expiry.sooner(Expiry{At: bounds.Unknown, Reason: Recorded})
		}
	}
	return expiry
}

// requested returns by when the leases have expired that this decider requested from the current life, on a clock that runs slow by the
// maximum drift.
func (leases *Leases) requested() Expiry {
	left := time.Duration(max(leases.endMS-leases.clockMS, 0)) * time.Millisecond
	return Expiry{At: leases.clockReadAt.Add(longest(left)), Reason: Requested}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
