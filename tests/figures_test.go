package tests

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ebonyshunt.org/demo/builder"
	"ebonyshunt.org/library/sizer"
	"ebonyshunt.org/standin/connector"
)

// The target size in docs/CAPACITY.md.
const (
	targetWorkers         = 990
	targetZones           = 11
	targetStartsPerSecond = 410 // at peak
	targetRunningTasks    = 6600
	targetHostsPerZone    = 3       // entry hosts
	maxBytesPerSecond     = 8 << 10 // of one node
	standingShare         = 0.2     // of the running tasks
)

// figure is one measured number.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// cellSize is the size of a measured cell.
type cellSize struct {
	zones, hosts, workers, standing int // hosts, workers and standing tasks are per zone
	requests                        int // sent during the measurement through a standby host
}

// rates holds the bytes per second, sent and received, of one host of each role.
type rates struct {
	decider, standby, worker, log float64
}

const measureDuration = time.Minute

// measureRates runs a cell of the given size, which is idle but for size.standing and size.requests, and returns the
// traffic of its hosts.
func measureRates(t *testing.T, size cellSize) rates {
	t.Helper()
	var measured rates
	synctest.Test(t, func(t *testing.T) {
		fabric := connector.New(250 * time.Microsecond)
		plan := builder.Plan{RootKey: rootKey, Fabric: fabric}
		var names []string
		for number := range size.zones {
			name := fmt.Sprintf("z%02d", number)
			names = append(names, name)
			plan.Zones = append(plan.Zones, builder.Zone{Name: name, Hosts: size.hosts, Workers: []builder.Group{
				{Prefix: "w", Count: size.workers, Capacity: sizer.Size{MilliCores: 32_000, MemoryMB: 65_536}},
			}})
		}
		cell, err := builder.Build(plan)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = cell.Close()
			time.Sleep(time.Minute)
		})
		harness := &harness{T: t, Cell: cell, fabric: fabric, client: cell.Client(), ctx: t.Context()}
		t.Cleanup(harness.client.CloseIdleConnections)
		text := baseDocument(names)
		text = strings.ReplaceAll(text, "limit = cores:12\n", "")
		if err := cell.Publish(t.Context(), cell.Names[0], text); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		for _, name := range cell.Names {
			if size.standing > 0 && strings.HasSuffix(name, "-0") {
				harness.submitStandingJob(name, size.standing)
			}
		}
		time.Sleep(15 * time.Second)
		measured = harness.sampleRates("z00", size)
	})
	return measured
}

func (harness *harness) submitStandingJob(host string, count int) {
	harness.Helper()
	answer := harness.send(harness.ctx, host, "POST", "/v1/jobs", teamKey, standingJob(count))
	if answer.status != 202 {
		harness.Fatalf("standing job refused: %s", answer.body)
	}
}

func standingJob(count int) []byte {
	tasks := strings.TrimSuffix(strings.Repeat(`{"target":"?workMS=36000000"},`, count), ",")
	return []byte(`{"service":"work","standing":true,"tasks":[` + tasks + `]}`)
}

// sampleRates measures the traffic of one zone for measureDuration.
func (harness *harness) sampleRates(zone string, size cellSize) rates {
	deciding := "entry-" + zone + "-0"
	standby := fmt.Sprintf("entry-%s-%d", zone, size.hosts-1)
	roles := []string{deciding, standby, "w-" + zone + "-00", builder.LogHost}
	before := make([]int64, len(roles))
	for i, role := range roles {
		before[i] = harness.fabric.Traffic(role)
	}
	end := time.Now().Add(measureDuration)
	for range size.requests {
		harness.post(standby, "?workMS=1")
		time.Sleep(measureDuration / time.Duration(2*size.requests))
	}
	time.Sleep(time.Until(end))
	after := make([]float64, len(roles))
	for i, role := range roles {
		after[i] = float64(harness.fabric.Traffic(role)-before[i]) / measureDuration.Seconds()
	}
	return rates{decider: after[0], standby: after[1], worker: after[2], log: after[3]}
}

// TestTraffic measures cells that differ from a small one in one dimension each, extrapolates the traffic linearly to
// the target size, and compares it with the bound.
func TestTraffic(t *testing.T) {
	skipUnderRace(t)
	base := cellSize{zones: 2, hosts: 2, workers: 4}
	baseline := measureRates(t, base)
	measureWith := func(change func(*cellSize)) rates {
		size := base
		change(&size)
		return measureRates(t, size)
	}
	workers := measureWith(func(size *cellSize) { size.workers = 20 })
	hosts := measureWith(func(size *cellSize) { size.hosts = 4 })
	zones := measureWith(func(size *cellSize) { size.zones = 5 })
	standing := measureWith(func(size *cellSize) { size.standing = 40 })
	requests := measureWith(func(size *cellSize) { size.requests = 300 })
	bytesPerStart := (requests.decider - baseline.decider) * measureDuration.Seconds() / 300
	ratePerWorker := (workers.decider - baseline.decider) / 16
	ratePerHost := (hosts.decider - baseline.decider) / 2
	ratePerZone := (zones.decider - baseline.decider) / 3
	ratePerStandingTask := (standing.decider - baseline.decider) / 40
	atTarget := baseline.decider +
		ratePerWorker*(targetWorkers/targetZones-float64(base.workers)) +
		ratePerHost*float64(targetHostsPerZone-base.hosts) +
		ratePerZone*float64(targetZones-base.zones) +
		ratePerStandingTask*targetRunningTasks*standingShare/targetZones
	standbyAtTarget := baseline.standby + (hosts.standby-baseline.standby)/2*float64(targetHostsPerZone-base.hosts) + (zones.standby-baseline.standby)/3*float64(targetZones-base.zones)
	reportFigures(t, []figure{
		{"decider.base", baseline.decider, "B/s"},
		{"decider.perWorker", ratePerWorker, "B/s"},
		{"decider.perHostOfItsZone", ratePerHost, "B/s"},
		{"decider.perZone", ratePerZone, "B/s"},
		{"decider.perStandingTask", ratePerStandingTask, "B/s"},
		{"decider.perStart", bytesPerStart, "B"},
		{"decider.atTarget", atTarget, "B/s"},
		{"otherHost.base", baseline.standby, "B/s"},
		{"otherHost.atTarget", standbyAtTarget, "B/s"},
		{"worker", baseline.worker, "B/s"},
		{"log.perHost", baseline.log / float64(base.zones*base.hosts), "B/s"},
	})
	assertBytesWithinTarget(t, "a deciding host", atTarget)
	assertBytesWithinTarget(t, "another host", standbyAtTarget)
	t.Run("peak", func(t *testing.T) {
		startsThroughStandbys := float64(targetStartsPerSecond) / targetZones * (targetHostsPerZone - 1) / targetHostsPerZone
		assertBytesWithinTarget(t, "a deciding host at peak", atTarget+startsThroughStandbys*bytesPerStart)
	})
}

func assertBytesWithinTarget(t *testing.T, role string, rate float64) {
	t.Helper()
	if rate > maxBytesPerSecond {
		t.Errorf("%s carries %.0f B/s at the target, the bound is %d", role, rate, maxBytesPerSecond)
	}
}

// reportFigures logs figures, and adds them to the file that EBONYSHUNT_FIGURES names.
func reportFigures(t *testing.T, figures []figure) {
	t.Helper()
	for _, figure := range figures {
		t.Logf("%-32s %12.1f %s", figure.Name, figure.Value, figure.Unit)
	}
	path := os.Getenv("EBONYSHUNT_FIGURES")
	if path == "" {
		return
	}
	var all []figure
	if data, err := os.ReadFile(path); err == nil {
		_ = json.Unmarshal(data, &all)
	}
	all = append(all, figures...)
	slices.SortFunc(all, func(a, b figure) int { return strings.Compare(a.Name, b.Name) })
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}
