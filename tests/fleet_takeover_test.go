package tests

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// TestFleetReturnFromCut guards against a host that is back from a cut and replaces a decider that works, which it does not
// reach yet but others do: it still holds what the former decider, which was cut off with it, last said of its store.
func TestFleetReturnFromCut(t *testing.T) {
	runFleetTest(t, 9, func(fleet *fleet) {
		former := fleet.decidingHost()
		zone := strings.Split(former, "-")[1]
		var inside, outside []string
		for _, name := range fleet.hostNames {
			if strings.Split(name, "-")[1] == zone {
				inside = append(inside, name)
			} else {
				outside = append(outside, name)
			}
		}
		heal := fleet.fabric.Cut(inside, append(slices.Clone(outside), "store"))
		for number := range 3 { // the former decider notices that it cannot store
			fleet.call("POST", former, fleetPathPrefix+jobID(number), fleetKey, twoStepJob)
			time.Sleep(time.Second)
		}
		decider := outside[max(slices.IndexFunc(outside, func(name string) bool { return fleet.hosts[name].Deciding() }), 0)]
		standby := inside[slices.IndexFunc(inside, func(name string) bool { return name != former })]
		healLast := fleet.fabric.Cut([]string{standby}, []string{decider})
		campaigns := fleet.logged.count("campaign")
		heal()
		time.Sleep(6 * time.Second)
		healLast()
		if extra := fleet.logged.count("campaign") - campaigns; extra > 0 {
			t.Errorf("%d campaigns while other hosts reach the decider, want none", extra)
		}
	})
}
