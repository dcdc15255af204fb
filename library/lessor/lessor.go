// Package lessor says by when every lease on a worker has expired, and why.
//
// A lease ends at a time on the clock of the worker's process, which starts anew with each life of the worker. A call that was meant for a
// former life may reach the next one: it knows no fencing token yet, takes the time for one of its own clock, and gives the longest lease
// that a worker gives. So there are two answers. One is for the runs that a known life has shown: no call for a former life has any effect
// there once the life has answered under a raised token. The other is for the runs of which nobody knows in which life they are, if any.
//
// The package does no I/O and has no clock of its own: all times are on the steady clock of the decider that asks.
package lessor

import "time"

const (
	// clockDriftDivisor bounds the drift of a worker's clock to 1 in 50.
	clockDriftDivisor = 50
	// margin is added to the computed end of a lease before the lease counts as expired.
	margin = 300 * time.Millisecond
)

// Terms bound the leases that deciders request, and their calls.
type Terms struct {
	Lease    time.Duration // longest lease that a decider requests from a life that it knows
	MaxLease time.Duration // longest lease that a worker gives, whatever is requested
	CallTime time.Duration // from when a call to a worker is prepared until it is executed, if it ever is
}

// longest returns how long a lease can last on a clock that runs slow by the maximum drift.
func longest(lease time.Duration) time.Duration {
	return lease + lease/(clockDriftDivisor-1) + margin
}

// usual returns how long a lease that a decider requests from a life that it knows can last.
func (terms Terms) usual() time.Duration { return longest(terms.Lease) }

// Longest returns how long any lease can last.
func (terms Terms) Longest() time.Duration { return longest(terms.MaxLease) }

// Reason is why a lease may last until a time.
type Reason string

// The reasons.
const (
	Requested  Reason = "requested"  // this decider requested it from the current life
	Former     Reason = "former"     // a former decider may have given it
	Recorded   Reason = "recorded"   // a former decider recorded it
	FormerLife Reason = "formerLife" // a call for a former life may have given it to this one
	Unanswered Reason = "unanswered" // a call without an answer may have given it to a life that is not known
	Restarted  Reason = "restarted"  // the worker restarted, and the new life has not been read
)

// Expiry is the time by which leases have expired, and why not before. The zero value stands for leases that have expired.
type Expiry struct {
	At     time.Time
	Reason Reason
}

// Later returns the later one of two expiries.
func (expiry Expiry) Later(other Expiry) Expiry {
	if other.At.After(expiry.At) {
		return other
	}
	return expiry
}

// sooner returns the sooner one of two expiries.
func (expiry Expiry) sooner(other Expiry) Expiry {
	if other.At.Before(expiry.At) {
		return other
	}
	return expiry
}

// Sight is what a decider knows of the life that a run is in.
type Sight int

// What a decider may know of it.
const (
	Shown     Sight = iota // the current life has shown the run, or its last known life has as a former decider stored
	Ordered                // this decider ordered the run, and no life has shown it
	Inherited              // a former decider ordered the run, and no life is known to have shown it
)

// Bounds are the two answers to when the leases on a worker have expired. Unknown is not before Known, or zero if it is not known.
type Bounds struct {
	Known   time.Time // of the life that was known, for the runs that it has shown
	Unknown time.Time // of any life
}

// FormerDeciders is what a decider knows of the deciders before it. All its workers share it.
type FormerDeciders struct {
	RenewalsEnd time.Time // from when on none of them gives leases to lives that it knows
	ExpireBy    time.Time // by when the leases have expired that they gave to such lives
	CallsEnd    time.Time // from when on none of their calls is executed
}

// EndRenewals records that no former decider gives leases to lives that it knows after a time, and that none of their calls is executed after
// callsEnd. It reports whether the end of the renewals was not known yet.
func (formerDeciders *FormerDeciders) EndRenewals(after, callsEnd time.Time, terms Terms) bool {
	if callsEnd.Before(formerDeciders.CallsEnd) {
		formerDeciders.CallsEnd = callsEnd
	}
	if !after.Before(formerDeciders.RenewalsEnd) {
		return false
	}
	formerDeciders.RenewalsEnd = after
	if expireBy := after.Add(terms.usual()); expireBy.Before(formerDeciders.ExpireBy) {
		formerDeciders.ExpireBy = expireBy // otherwise a former decider that handed over knew better
	}
	return true
}

// NewFormerDeciders returns what a decider knows that begins at a time: the former ones may give leases for a window, and may send calls for
// a time after that.
func NewFormerDeciders(now time.Time, renewalWindow, callWindow time.Duration, terms Terms) *FormerDeciders {
	renewalsEnd := now.Add(renewalWindow)
	return &FormerDeciders{
		RenewalsEnd: renewalsEnd, ExpireBy: renewalsEnd.Add(terms.usual()), CallsEnd: renewalsEnd.Add(callWindow + terms.CallTime),
	}
}
