// Package timekeeper measures for how long the machine was suspended: the monotonic clock of the runtime stands still meanwhile, so that
// what is known from before seems younger than it is.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspensions measures the time for which the machine has been suspended. A nil Suspensions measures none.
type Suspensions struct {
	// Read returns for how long the machine has been suspended since an arbitrary time. It is set before the first use.
	Read func() time.Duration

	before time.Duration // Read when the measurement began
}

// MinSuspension is the shortest time that counts as a suspension. Two readings of the same time on two clocks of the system differ by less,
// so that two results of Total differ by less without a suspension in between.
const MinSuspension = 20 * time.Millisecond

// New returns a measurement that begins now.
func New() *Suspensions { return &Suspensions{Read: readSystem, before: readSystem()} }

// Total returns for how long the machine has been suspended since the measurement began.
func (suspensions *Suspensions) Total() time.Duration {
	if suspensions == nil {
		return 0
	}
	total := suspensions.Read() - suspensions.before
	if total < MinSuspension {
		return 0
	}
	return total
}

// readSystem returns by how much the clock of the system that counts suspensions is ahead of the one that does not, 0 if the system has
// no such clocks.
func readSystem() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
