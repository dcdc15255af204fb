package tests

import (
	"slices"
	"testing"
	"time"
)

const (
	// handoverJobs is the number of jobs that are submitted one after the other, over several intervals of requests to a stronger host.
	handoverJobs = 40
	// promptTime bounds how long a job of two short steps takes that nothing disturbs.
	promptTime = time.Second
	// joinTime is how long a stronger host has run when the store is lost: it has not been asked to decide yet.
	joinTime = 100 * time.Millisecond
	// survivedOutage is the duration of an outage of the store during which a quorum renews leases, and which is longer than a lease.
	survivedOutage = 7500 * time.Millisecond
)

// TestFleetStrongerHostWithoutStore guards against a decider that stops starting tasks over and over, while it asks a stronger host to
// decide that does not reach the store.
func TestFleetStrongerHostWithoutStore(t *testing.T) {
	strongest := "entry-a-0"
	runFleetWith(t, lastingHosts, func(fleet *fleet) { fleet.shares = map[string]float64{strongest: 10} }, func(fleet *fleet) {
		heal := fleet.fabric.Cut([]string{strongest}, []string{"store"})
		time.Sleep(8 * time.Second)
		decider := fleet.decidingHost()
		if decider == strongest || decider == "" {
			t.Fatalf("%q decides, want another host than %s", decider, strongest)
		}
		for number := range handoverJobs {
			if took := fleet.measureJob(decider, number); took > promptTime {
				t.Errorf("job %d takes %v, want %v at most", number, took, promptTime)
			}
		}
		heal()
		time.Sleep(5 * time.Second)
		if decider := fleet.decidingHost(); decider != strongest {
			t.Errorf("%q decides once the store is reached again, want %s", decider, strongest)
		}
	})
}

// TestFleetStopBesideLostHosts guards against a planned stop without a successor, since the hosts that are asked first cannot decide.
func TestFleetStopBesideLostHosts(t *testing.T) {
	for name, lose := range map[string]func(fleet *fleet, lost []string){
		"store": func(fleet *fleet, lost []string) { fleet.fabric.Cut(lost, []string{"store"}) },
		"ended": func(fleet *fleet, lost []string) {
			for _, host := range lost {
				fleet.killHost(host)
			}
		},
		"silent": func(fleet *fleet, lost []string) {
			for _, host := range lost {
				fleet.fabric.Pause(host)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleetWith(t, lastingHosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
				fleet.submitLasting()
				time.Sleep(20 * time.Second)
				decider := fleet.decidingHost()
				lose(fleet, slices.Sorted(slices.Values(fleet.others(decider)))[:2]) // they are asked first
				time.Sleep(5 * time.Second)
				before := fleet.formerLeaseLines()
				fleet.stopHost(decider)
				time.Sleep(5 * time.Second)
				after := fleet.formerLeaseLines()
				if handovers := after["handover"] - before["handover"]; handovers != 1 || after["window"] != before["window"] {
					t.Errorf("%d lines with the grounds handover and %d with the grounds window, want 1 and none", handovers, after["window"]-before["window"])
				}
			})
		})
	}
}

// TestFleetStrongerHostInStoreOutage guards against a decider that lets all leases run out in an outage of the store, since it has begun to
// hand over and cannot store that it goes on.
func TestFleetStrongerHostInStoreOutage(t *testing.T) {
	runFleetWith(t, lastingHosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
		fleet.submitLasting()
		time.Sleep(20 * time.Second)
		strongest := fleet.others(fleet.decidingHost())[0]
		fleet.shares = map[string]float64{strongest: 10}
		fleet.restartHost(strongest)
		time.Sleep(joinTime)
		heal := fleet.fabric.Cut(fleet.hostNames, []string{"store"})
		time.Sleep(survivedOutage)
		heal()
		time.Sleep(10 * time.Second)
		for task, runs := range fleet.runsByTask() {
			if len(runs) != 1 || !runs[0].Ended.IsZero() {
				t.Errorf("%s has the runs %v, want one that goes on", task, runs)
			}
		}
	})
}

// TestFleetStopWithoutSuccessor guards against a planned stop that costs a whole lease since no host was elected in time: the record of the
// handover has to outlast the host.
func TestFleetStopWithoutSuccessor(t *testing.T) {
	runFleetWith(t, lastingHosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
		fleet.submitLasting()
		time.Sleep(20 * time.Second)
		decider := fleet.decidingHost()
		others := fleet.others(decider)
		heal := fleet.fabric.Cut(others, []string{decider, "store"})
		before := fleet.formerLeaseLines()
		fleet.stopHost(decider)
		heal()
		time.Sleep(5 * time.Second)
		after := fleet.formerLeaseLines()
		if handovers := after["handover"] - before["handover"]; handovers != 1 || after["window"] != before["window"] {
			t.Errorf("%d lines with the grounds handover and %d with the grounds window, want 1 and none", handovers, after["window"]-before["window"])
		}
	})
}
