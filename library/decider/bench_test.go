package decider

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/sizer"
)

// The load of one zone at the target size.
const (
	zoneWorkers = 90
	zoneRunning = 600
	zoneTeams   = 140
)

// newLoadedHarness returns a harness with running one-core tasks and with queued tasks that are too large for
// every worker, both spread evenly over the teams.
func newLoadedHarness(workers, teams, running, queued int) *harness {
	harness := newHarness(plainSettings(), workers, sizer.Size{MilliCores: 32_000, MemoryMB: 65_536})
	var infos []TeamInfo
	for number := range teams {
		infos = append(infos, unlimitedTeam(fmt.Sprintf("team%03d", number), 1))
	}
	harness.SetTeams(infos)
	for number := range running {
		harness.Enqueue(newWork(fmt.Sprintf("run%05d", number), infos[number%teams].Name, Interactive, oneCore), harness.now)
	}
	harness.Tick(harness.now)
	for number := range queued {
		large := newWork(fmt.Sprintf("wait%05d", number), infos[number%teams].Name, Batch, sizer.Size{MilliCores: 64_000, MemoryMB: 1})
		harness.Enqueue(large, harness.now)
	}
	harness.Tick(harness.now)
	return harness
}

// placementCost is the mean cost of one placement: workers examined and allocations.
type placementCost struct{ examined, allocations float64 }

// measurePlacements measures the cost of single placements on top of the load.
func measurePlacements(harness *harness) placementCost {
	const rounds = 200
	before := harness.Counters.Examined
	number := 0
	allocations := testing.AllocsPerRun(rounds, func() {
		number++
		item := newWork(fmt.Sprintf("new%05d", number), "team000", Interactive, oneCore)
		harness.Enqueue(item, harness.now)
		for _, effect := range harness.Tick(harness.now) {
			if start, ok := effect.(Start); ok {
				harness.EndAttempt(start.Grant.Task, Completed, 200, harness.now)
			}
		}
		harness.Tick(harness.now)
	})
	return placementCost{examined: float64(harness.Counters.Examined-before) / (rounds + 1), allocations: allocations}
}

// TestPlacementCost guards against placements that scan more than the workers of the zone. It bounds the workers
// examined and the allocations at the target size, and the growth of both when the number of workers, teams or
// running tasks is two and four times as large.
func TestPlacementCost(t *testing.T) {
	target := measurePlacements(newLoadedHarness(zoneWorkers, zoneTeams, zoneRunning, 0))
	t.Logf("target zone: %.0f examined, %.0f allocations", target.examined, target.allocations)
	if target.examined > zoneWorkers {
		t.Errorf("%.0f workers examined, the zone has %d", target.examined, zoneWorkers)
	}
	for _, factor := range []int{2, 4} {
		grown := map[string]placementCost{
			"workers": measurePlacements(newLoadedHarness(factor*zoneWorkers, zoneTeams, zoneRunning, 0)),
			"teams":   measurePlacements(newLoadedHarness(zoneWorkers, factor*zoneTeams, zoneRunning, 0)),
			"running": measurePlacements(newLoadedHarness(zoneWorkers, zoneTeams, factor*zoneRunning, 0)),
		}
		for dimension, cost := range grown {
			t.Logf("%s x%d: %.0f examined, %.0f allocations", dimension, factor, cost.examined, cost.allocations)
			if cost.examined > float64(factor)*target.examined+1 {
				t.Errorf("%s x%d: examined grows from %.0f to %.0f", dimension, factor, target.examined, cost.examined)
			}
			if cost.allocations > 1.5*target.allocations {
				t.Errorf("%s x%d: allocations grow from %.0f to %.0f", dimension, factor, target.allocations, cost.allocations)
			}
		}
	}
}

// TestBlockedQueueCost guards against placements whose cost grows with the number of queued tasks that cannot
// be placed.
func TestBlockedQueueCost(t *testing.T) {
	short := measurePlacements(newLoadedHarness(zoneWorkers, zoneTeams, zoneRunning, zoneTeams))
	long := measurePlacements(newLoadedHarness(zoneWorkers, zoneTeams, zoneRunning, 40*zoneTeams))
	t.Logf("%d waiting: %.0f allocations; %d waiting: %.0f", zoneTeams, short.allocations, 40*zoneTeams, long.allocations)
	if long.allocations > 1.2*short.allocations || long.examined > 1.2*short.examined {
		t.Errorf("a placement costs %+v with a queue 40 times as long, was %+v", long, short)
	}
}

// BenchmarkPlacement measures single placements in zones of several sizes.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{45, 90, 180, 360} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			harness := newLoadedHarness(workers, zoneTeams, zoneRunning, 0)
			b.ReportAllocs()
			for number := range b.N {
				harness.Enqueue(newWork(fmt.Sprint("n", number), "team000", Interactive, oneCore), harness.now)
				for _, effect := range harness.Tick(harness.now) {
					if start, ok := effect.(Start); ok {
						harness.EndAttempt(start.Grant.Task, Completed, 200, harness.now)
					}
				}
				harness.Tick(harness.now)
			}
		})
	}
}

// BenchmarkBurst places the peak load of a zone in one tick.
func BenchmarkBurst(b *testing.B) {
	const burst = 200
	for range b.N {
		harness := newLoadedHarness(zoneWorkers, zoneTeams, 0, 0)
		for number := range burst {
			harness.Enqueue(newWork(fmt.Sprint("n", number), fmt.Sprintf("team%03d", number%zoneTeams), Interactive, oneCore), harness.now)
		}
		start := time.Now()
		if len(grants(harness.Tick(harness.now))) != burst {
			b.Fatal("not all tasks of the burst were granted")
		}
		b.ReportMetric(float64(time.Since(start).Microseconds())/burst, "µs/placement")
	}
}

// BenchmarkNaiveBurst runs the load of BenchmarkBurst on the naive decider for comparison.
func BenchmarkNaiveBurst(b *testing.B) {
	const burst = 200
	for range b.N {
		harness := newLoadedHarness(zoneWorkers, zoneTeams, 0, 0)
		reference := &naiveDecider{settings: harness.Settings, workers: harness.infos, services: map[string]*Service{}, average: map[string]float64{}}
		for _, info := range testServices() {
			reference.services[info.Name] = &Service{ServiceInfo: info}
		}
		for number := range zoneTeams {
			reference.teams = append(reference.teams, unlimitedTeam(fmt.Sprintf("team%03d", number), 1))
		}
		for number := range burst {
			item := newWork(fmt.Sprint("n", number), fmt.Sprintf("team%03d", number%zoneTeams), Interactive, oneCore)
			reference.waiting = append(reference.waiting, naiveTask{Work: item, queued: harness.now})
		}
		began := time.Now()
		reference.tick(harness.now)
		b.ReportMetric(float64(time.Since(began).Microseconds())/burst, "µs/placement")
	}
}
