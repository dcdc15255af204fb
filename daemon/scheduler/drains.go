package scheduler

import (
	"time"

	"ebonyshunt.org/library/drainer"
	"ebonyshunt.org/platform/translator"
)

// followDrains applies the requests in a change of the operators' topic to drain zones.
func (host *Host) followDrains(change topicChange) {
	read := drainer.Read{End: change.end, Reset: change.reset}
	for _, entry := range change.entries {
		if request, found := translator.DecodeDrain(entry); found {
			read.Requests = append(read.Requests, request)
		}
	}
	host.applyDrains(host.drains.ApplyRead(read), "store")
}

// learnDrains adopts the drained zones of a peer if its state is later.
func (host *Host) learnDrains(state *drainer.State) {
	if state != nil {
		host.applyDrains(host.drains.ApplyState(*state), "peer")
	}
}

// reportedDrains returns the state to send to a peer. It returns nil if this host knows of no zone that was ever drained and the
// peer has sent no state either; heartbeats then carry no further field.
func (host *Host) reportedDrains(peerUsesDrains bool) *drainer.State {
	state, used := host.drains.State()
	if !used && !peerUsesDrains {
		return nil
	}
	return &state
}

// DrainedZones returns the zones that are drained as far as this host knows, sorted.
func (host *Host) DrainedZones() []string {
	state, _ := host.drains.State()
	return state.Zones
}

// applyDrains logs changes of the drained zones and passes the zones to the planner.
func (host *Host) applyDrains(changes []drainer.Change, source string) {
	if len(changes) == 0 {
		return
	}
	state, _ := host.drains.State()
	for _, change := range changes {
		message := "zone drained"
		if !change.Drained {
			message = "zone no longer drained"
		}
		host.log.Info(message, "drainedZone", change.Zone, "asOf", state.AsOf, "source", source)
	}
	if tenure := host.currentTenure(); tenure != nil {
		tenure.setDrainedZones()
	}
}

// setDrainedZones passes the drained zones to the planner. Those that change while there is no planner are read by adopt.
func (tenure *tenure) setDrainedZones() {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if tenure.planner != nil {
		tenure.planner.SetDrainedZones(tenure.host.drains.Zones())
	}
	tenure.requestPlan()
}

// drainWatch follows how the drained zones empty, as seen by a decider.
type drainWatch struct {
	drainedAt map[string]time.Time // when this decider first saw the zone drained
	empty     map[string]bool      // whether its last run has left
}

// observe returns the zones that have become empty, given the number of runs in each drained zone.
func (drainWatch *drainWatch) observe(runs map[string]int, now time.Time) []string {
	drainedAt, empty := map[string]time.Time{}, map[string]bool{}
	var emptied []string
	for zone, count := range runs {
		drainedAt[zone] = now
		if at, known := drainWatch.drainedAt[zone]; known {
			drainedAt[zone] = at
		}
		empty[zone] = count == 0
		if empty[zone] && !drainWatch.empty[zone] {
			emptied = append(emptied, zone)
		}
	}
	drainWatch.drainedAt, drainWatch.empty = drainedAt, empty
	return emptied
}

// reportDrains sets the gauge of the runs in drained zones, and logs which zones have become empty.
func (tenure *tenure) reportDrains(watch *drainWatch, runs map[string]int, now time.Time) {
	tenure.host.metrics.observeDrains(runs)
	for _, zone := range watch.observe(runs, now) {
		tenure.host.log.Info("drained zone is empty", "drainedZone", zone, "term", tenure.term, "seenDrainedFor", now.Sub(watch.drainedAt[zone]).String())
	}
}

// observeDrains sets the gauge of the runs in each drained zone.
func (metrics *metrics) observeDrains(runs map[string]int) {
	metrics.drainedRuns.Reset()
	for zone, count := range runs {
		metrics.drainedRuns.WithLabelValues(zone).Set(float64(count))
	}
}
