package tests

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

const (
	// largeConfigurationQueues is the number of queues of a configuration of 177 KB.
	largeConfigurationQueues = 1010
	// slowLinkBandwidth is that of a link over which such a configuration takes as long as one of 0.9 MB over 10 Mbit/s, in
	// bytes per second. Smaller copies keep the test short.
	slowLinkBandwidth = 2_000_000 / 8
	// maxConfigurationDelay is the time after which a configuration has to be in force on every host.
	maxConfigurationDelay = 11 * time.Second
)

// TestFleetLargeConfiguration guards against a fleet whose links are filled with copies of a large configuration: hosts
// then miss heartbeats and elect one decider after another, although none has failed.
func TestFleetLargeConfiguration(t *testing.T) {
	t.Run("decidersStayWhileItSpreads", func(t *testing.T) {
		runFleetTest(t, 6, func(fleet *fleet) {
			fleet.limitLinks()
			campaigns := fleet.logged.count("campaign")
			before := fleet.hostTraffic()
			size := fleet.publishLargeConfiguration()
			fleet.submitDuring(maxConfigurationDelay)
			fleet.assertInForce()
			if extra := fleet.logged.count("campaign") - campaigns; extra > 0 {
				t.Errorf("%d campaigns while the configuration spread, want none", extra)
			}
			fleet.assertSentOnce(before, size)
		})
	})
	t.Run("hostsCutFromTheStoreGetItFromPeers", func(t *testing.T) {
		runFleetTest(t, 6, func(fleet *fleet) {
			fleet.limitLinks()
			cut := []string{"entry-b-0", "entry-b-1"}
			heal := fleet.fabric.Cut(cut, []string{"store"})
			defer heal()
			time.Sleep(time.Second)
			campaigns := fleet.logged.count("campaign")
			before := fleet.hostTraffic()
			size := fleet.publishLargeConfiguration()
			fleet.submitDuring(maxConfigurationDelay)
			fleet.assertInForce()
			fleet.assertSentOnce(before, size)
			if extra := fleet.logged.count("campaign") - campaigns; extra > 0 {
				t.Errorf("%d campaigns while the configuration spread, want none", extra)
			}
		})
	})
}

// limitLinks gives all hosts slow links.
func (fleet *fleet) limitLinks() {
	for _, name := range fleet.hostNames {
		fleet.fabric.SetBandwidth(name, slowLinkBandwidth)
	}
}

// publishLargeConfiguration stores a configuration with largeConfigurationQueues more queues, and returns its size in
// bytes.
func (fleet *fleet) publishLargeConfiguration() int64 {
	fleet.Helper()
	document := fleet.nextConfiguration()
	routes := document["routes"].([]map[string]any)
	for number := range largeConfigurationQueues {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("queue-%016x-%d", uint64(number)*0x9e3779b97f4a7c15, number), "pathPrefix": largeConfigurationPrefix(number),
			"service": "survey", "priority": 1, "maxAttempts": 3, "stretch": 2.0, "targetLatencyMs": 500, "timeoutMs": 10_000, "hosts": []string{},
		})
	}
	document["routes"] = routes
	return fleet.store.PutConfiguration(document)
}

func largeConfigurationPrefix(number int) string { return fmt.Sprintf("/more-%d/", number) }

// submitDuring submits a job each 250 ms for a time, and checks that each is accepted without a retry.
func (fleet *fleet) submitDuring(duration time.Duration) {
	fleet.Helper()
	refused, number := 0, 0
	for until := time.Now().Add(duration); time.Now().Before(until); number++ {
		host := fleet.hostNames[number%len(fleet.hostNames)]
		if answer := fleet.call("POST", host, fleetPathPrefix+jobID(number), fleetKey, twoStepJob); answer.status == http.StatusOK {
			fleet.acceptedJobs = append(fleet.acceptedJobs, jobID(number))
		} else {
			refused++
		}
		time.Sleep(250 * time.Millisecond)
	}
	if refused > 0 {
		fleet.Errorf("%d of %d jobs were not accepted without a retry", refused, number)
	}
}

// assertInForce checks that every host uses the queues of the large configuration.
func (fleet *fleet) assertInForce() {
	fleet.Helper()
	for _, name := range fleet.hostNames {
		path := largeConfigurationPrefix(largeConfigurationQueues-1) + jobID(7)
		if answer := fleet.call("GET", name, path, fleetKey, ""); answer.status != http.StatusGone {
			fleet.Errorf("%s answers %d for a new queue %v after it was published, want %d", name, answer.status, maxConfigurationDelay, http.StatusGone)
		}
	}
}

// hostTraffic returns the number of bytes that all hosts have sent and received so far.
func (fleet *fleet) hostTraffic() int64 {
	total := int64(0)
	for _, name := range fleet.hostNames {
		total += fleet.fabric.Traffic(name)
	}
	return total
}

// assertSentOnce checks that each host got a configuration of the given size about once, from the store or from a peer, and
// that the rest of the hosts' traffic stays within the target's bound.
func (fleet *fleet) assertSentOnce(before, size int64) {
	fleet.Helper()
	hosts := int64(len(fleet.hostNames))
	const encodingFactor = 2 // an answer may encode a record as text, and a copy between hosts counts for both
	bound := encodingFactor*hosts*size + hosts*maxBytesPerSecond*int64(maxConfigurationDelay/time.Second)
	if sent := fleet.hostTraffic() - before; sent > bound {
		fleet.Errorf("the hosts carried %d bytes while a configuration of %d bytes spread, want %d at most", sent, size, bound)
	}
}
