package decider

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/sizer"
)

// The target's share of one zone.
const (
	zoneWorkers = 90
	zoneRunning = 600
	zoneTeams   = 140
)

// loaded returns a bench with running and queued one-core tasks spread over teams.
func loaded(workers, teams, running, queued int) *bench {
	made := newBench(plainSettings(), workers, sizer.Size{MilliCores: 32_000, MemoryMB: 65_536})
	var infos []TeamInfo
	for number := range teams {
		infos = append(infos, open(fmt.Sprintf("team%03d", number), 1))
	}
	made.SetTeams(infos)
	for number := range running {
		made.Enqueue(work(fmt.Sprintf("run%05d", number), infos[number%teams].Name, Interactive, oneCore), made.now)
	}
	made.Tick(made.now)
	for number := range queued {
		large := work(fmt.Sprintf("wait%05d", number), infos[number%teams].Name, Batch, sizer.Size{MilliCores: 64_000, MemoryMB: 1})
		made.Enqueue(large, made.now)
	}
	made.Tick(made.now)
	return made
}

// cost is what one placement takes.
type cost struct{ examined, allocations float64 }

// placements measures single placements beside what waits and runs.
func placements(made *bench) cost {
	const rounds = 200
	before := made.Counters.Examined
	number := 0
	allocations := testing.AllocsPerRun(rounds, func() {
		number++
		asked := work(fmt.Sprintf("new%05d", number), "team000", Interactive, oneCore)
		made.Enqueue(asked, made.now)
		for _, effect := range made.Tick(made.now) {
			if start, ok := effect.(Start); ok {
				made.Completed(start.Grant.Task, Completed, 200, made.now)
			}
		}
		made.Tick(made.now)
	})
	return cost{examined: float64(made.Counters.Examined-before) / (rounds + 1), allocations: allocations}
}

// TestPlacementCost bounds what a placement looks at and allocates at the target's zone, and how both
// grow as each dimension doubles twice beyond it.
func TestPlacementCost(t *testing.T) {
	target := placements(loaded(zoneWorkers, zoneTeams, zoneRunning, 0))
	t.Logf("target zone: %.0f examined, %.0f allocations", target.examined, target.allocations)
	if target.examined > zoneWorkers {
		t.Errorf("%.0f workers examined, the zone has %d", target.examined, zoneWorkers)
	}
	for _, factor := range []int{2, 4} {
		grown := map[string]cost{
			"workers": placements(loaded(factor*zoneWorkers, zoneTeams, zoneRunning, 0)),
			"teams":   placements(loaded(zoneWorkers, factor*zoneTeams, zoneRunning, 0)),
			"running": placements(loaded(zoneWorkers, zoneTeams, factor*zoneRunning, 0)),
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

// TestBlockedQueueCost bounds what a placement costs beside a long queue that cannot be served.
func TestBlockedQueueCost(t *testing.T) {
	short := placements(loaded(zoneWorkers, zoneTeams, zoneRunning, zoneTeams))
	long := placements(loaded(zoneWorkers, zoneTeams, zoneRunning, 40*zoneTeams))
	t.Logf("%d waiting: %.0f allocations; %d waiting: %.0f", zoneTeams, short.allocations, 40*zoneTeams, long.allocations)
	if long.allocations > 1.2*short.allocations || long.examined > 1.2*short.examined {
		t.Errorf("a queue 40 times as long costs %+v in place of %+v", long, short)
	}
}

func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{45, 90, 180, 360} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			made := loaded(workers, zoneTeams, zoneRunning, 0)
			b.ReportAllocs()
			for number := range b.N {
				made.Enqueue(work(fmt.Sprint("n", number), "team000", Interactive, oneCore), made.now)
				for _, effect := range made.Tick(made.now) {
					if start, ok := effect.(Start); ok {
						made.Completed(start.Grant.Task, Completed, 200, made.now)
					}
				}
				made.Tick(made.now)
			}
		})
	}
}

// BenchmarkBurst places a whole zone's peak at once, with the real and the naive decider.
func BenchmarkBurst(b *testing.B) {
	const burst = 200
	for range b.N {
		made := loaded(zoneWorkers, zoneTeams, 0, 0)
		for number := range burst {
			made.Enqueue(work(fmt.Sprint("n", number), fmt.Sprintf("team%03d", number%zoneTeams), Interactive, oneCore), made.now)
		}
		began := time.Now()
		if len(grants(made.Tick(made.now))) != burst {
			b.Fatal("not all were granted")
		}
		b.ReportMetric(float64(time.Since(began).Microseconds())/burst, "µs/placement")
	}
}

func BenchmarkNaiveBurst(b *testing.B) {
	const burst = 200
	for range b.N {
		made := loaded(zoneWorkers, zoneTeams, 0, 0)
		twin := &naive{settings: made.Settings, workers: made.infos, services: map[string]*Service{}, average: map[string]float64{}}
		for _, info := range testServices() {
			twin.services[info.Name] = &Service{ServiceInfo: info}
		}
		for number := range zoneTeams {
			twin.teams = append(twin.teams, open(fmt.Sprintf("team%03d", number), 1))
		}
		for number := range burst {
			asked := work(fmt.Sprint("n", number), fmt.Sprintf("team%03d", number%zoneTeams), Interactive, oneCore)
			twin.waiting = append(twin.waiting, naiveTask{Work: asked, queued: made.now})
		}
		began := time.Now()
		twin.tick(made.now)
		b.ReportMetric(float64(time.Since(began).Microseconds())/burst, "µs/placement")
	}
}
