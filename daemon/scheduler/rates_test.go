package scheduler

import "testing"

// Fleets of the users' deployments, and one of the size at which the users' sweep plays.
var fleetSizes = []struct {
	name           string
	hosts, workers int
}{
	{"small", 8, 48},
	{"grown", 42, 350},
	{"large", 147, 1100},
	{"sweep", 300, 3000},
}

// TestLossyPolls guards against a decider that is overloaded by its own polls: while answers get lost, workers of a large
// fleet were polled so often that the decider became late, and then took more answers for lost.
func TestLossyPolls(t *testing.T) {
	for _, test := range fleetSizes {
		t.Run(test.name, func(t *testing.T) {
			wait := lossyPollWaitFor(test.workers)
			wantAtMost(t, "polls a second", float64(test.workers)/wait.Seconds(), max(lossyPollsPerSecond, float64(test.workers)/urgentPollWait.Seconds()))
			if wait < lossyPollWait || wait > urgentPollWait {
				t.Errorf("workers wait %v, want %v to %v", wait, lossyPollWait, urgentPollWait)
			}
		})
	}
}

// TestHeartbeatRate guards against a decider that is busy with heartbeats: in a large fleet every host sent as many as in a small one.
func TestHeartbeatRate(t *testing.T) {
	for _, test := range fleetSizes {
		t.Run(test.name, func(t *testing.T) {
			rate := 0.0
			for stronger := range test.hosts {
				interval := heartbeatIntervalFor(stronger, test.hosts)
				rate += 1 / interval.Seconds()
				if stronger < maxSurveyedPeers && interval != heartbeatInterval {
					t.Errorf("host %d sends a heartbeat every %v, want %v", stronger, interval, heartbeatInterval)
				}
				if 2*interval+heartbeatTimeout > heartbeatValidity+heartbeatInterval {
					t.Errorf("a heartbeat every %v leaves no second one within %v", interval, heartbeatValidity)
				}
			}
			strongest := maxSurveyedPeers / heartbeatInterval.Seconds()
			wantAtMost(t, "heartbeats a second", rate, strongest+max(heartbeatsPerSecond, float64(test.hosts)/maxHeartbeatInterval.Seconds()))
		})
	}
	t.Run("unchangedUpToGrown", func(t *testing.T) {
		if interval := heartbeatIntervalFor(41, 42); interval != heartbeatInterval {
			t.Errorf("the weakest of 42 hosts sends a heartbeat every %v, want %v", interval, heartbeatInterval)
		}
	})
}

func wantAtMost(t *testing.T, what string, got, bound float64) {
	t.Helper()
	if got > bound*(1+1e-6) {
		t.Errorf("%.0f %s, want at most %.0f", got, what, bound)
	}
}
