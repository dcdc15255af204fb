package tests

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	// leaseSeeds is the number of random sequences of faults.
	leaseSeeds = 12
	// leaseFaults is the number of faults in each.
	leaseFaults = 16
	// maxFaultTime is the longest time that one of them lasts, beyond which every lease has expired.
	maxFaultTime = 14 * time.Second
)

// TestFleetLeaseFaults guards against lasting tasks that run twice: deciders are cut off together with workers, silently or with
// refusals, stand still, or start anew, several at a time and in a random order.
func TestFleetLeaseFaults(t *testing.T) {
	for seed := range uint64(leaseSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			runFleetWith(t, lastingHosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
				fleet.replacements()
				fleet.submitLasting()
				time.Sleep(5 * time.Second)
				var heals []func()
				for range leaseFaults {
					heal := fleet.injectLeaseFault(random)
					heals = append(heals, heal)
					time.AfterFunc(randomTime(random, maxFaultTime), heal)
					time.Sleep(randomTime(random, maxFaultTime/4))
				}
				for _, heal := range heals {
					heal()
				}
				time.Sleep(2 * maxFaultTime)
			})
		})
	}
}

// randomTime returns a time of up to a bound.
func randomTime(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(bound)))
}

// injectLeaseFault begins a random fault and returns the function that ends it, which has no effect when it is called again.
func (fleet *fleet) injectLeaseFault(random *rand.Rand) (heal func()) {
	all := slices.Clone(fleet.hostNames)
	for _, worker := range fleet.workers {
		all = append(all, worker.ID)
	}
	decider := fleet.decidingHost()
	if decider == "" {
		decider = fleet.hostNames[random.IntN(lastingHosts)]
	}
	switch random.IntN(5) {
	case 0:
		fleet.fabric.Pause(decider)
		return func() { fleet.fabric.Resume(decider) }
	case 1:
		fleet.restartHost(decider)
		return func() {}
	case 2:
		fleet.fabric.Pause("store")
		return func() { fleet.fabric.Resume("store") }
	}
	inside, outside := []string{decider}, []string{"store"}
	for _, name := range all {
		switch {
		case name == decider:
		case random.IntN(2) == 0:
			inside = append(inside, name)
		default:
			outside = append(outside, name)
		}
	}
	cut := fleet.fabric.Cut
	if random.IntN(2) == 0 {
		cut = fleet.fabric.CutRefusing
	}
	return sync.OnceFunc(cut(inside, outside))
}
