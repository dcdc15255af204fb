// Package tests runs whole cells and fleets, most of them on a fake clock and an in-memory network.
package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/demo/builder"
	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/sizer"
	"ebonyshunt.org/library/viewer"
	"ebonyshunt.org/standin/connector"
	"ebonyshunt.org/standin/workerserver"
)

// teamLimitMilliCores is the upper limit of team one.
const teamLimitMilliCores = 12_000

const (
	rootKey = "root"
	teamKey = "team-key"
)

var zoneNames = []string{"a", "b", "c"}

// harness is a cell on an in-memory network, with an observer of all runs of its workers.
type harness struct {
	*builder.Cell
	*testing.T
	fabric   *connector.Fabric
	client   *http.Client
	observer observer
	ctx      context.Context
}

// observer records the attempts that the workers run, and each start that duplicates a running attempt.
type observer struct {
	mu               sync.Mutex
	running          map[string]placement // by work ID
	attemptsByTarget map[string][]attempt // by path and query of the target
	holdsLease       func(placement) bool // reports whether the lease of the task is still valid
	attempts         map[string]int       // number of begun attempts, by work ID
	runs             map[string][]string  // begins and ends of attempts as text, by work ID
	teamMilliCores   map[string]int64     // running millicores, by team
	peakMilliCores   map[string]int64
	concurrentRuns   []string // descriptions of forbidden duplicate runs
	begun            int
	finished         int
}

// attempt is one begun attempt.
type attempt struct {
	at     time.Time
	work   string
	worker string
}

// counts returns how many attempts began and ended.
func (observer *observer) counts() (begun, finished int) {
	observer.mu.Lock()
	defer observer.mu.Unlock()
	return observer.begun, observer.finished
}

// attemptCount returns how many attempts of a work item began.
func (observer *observer) attemptCount(work string) int {
	observer.mu.Lock()
	defer observer.mu.Unlock()
	return observer.attempts[work]
}

// attemptsOf returns the attempts whose target ends with the suffix.
func (observer *observer) attemptsOf(suffix string) []attempt {
	observer.mu.Lock()
	defer observer.mu.Unlock()
	var found []attempt
	for target, attempts := range observer.attemptsByTarget {
		if strings.HasSuffix(target, suffix) {
			found = append(found, attempts...)
		}
	}
	return found
}

// history returns the begins and ends of the attempts of a work item, one a line. The ID of an attempt ends with its term and number.
func (observer *observer) history(work string) string {
	observer.mu.Lock()
	defer observer.mu.Unlock()
	return strings.Join(observer.runs[work], "\n")
}

// describe returns the begin or end of an attempt as text.
func describe(event workerserver.Observation) string {
	change := "ends as " + string(event.State)
	if event.Began {
		change = "begins"
	}
	return fmt.Sprintf("%s %s %s on %s", time.Now().Format("15:04:05.000000"), event.Task, change, event.Worker)
}

// placement is the worker that runs a task.
type placement struct{ worker, task string }

func (observer *observer) observe(event workerserver.Observation) {
	var work decider.Work
	if json.Unmarshal([]byte(event.Label), &work) != nil {
		return
	}
	observer.mu.Lock()
	defer observer.mu.Unlock()
	observer.runs[work.ID] = append(observer.runs[work.ID], describe(event))
	if !event.Began {
		if observer.running[work.ID].task == event.Task {
			delete(observer.running, work.ID)
		}
		observer.teamMilliCores[work.Team] -= work.Size.MilliCores
		observer.finished++
		return
	}
	if previous, isRunning := observer.running[work.ID]; isRunning && (!work.Idempotent || observer.holdsLease(previous)) {
		observer.concurrentRuns = append(observer.concurrentRuns, fmt.Sprintf("%s on %s and %s", work.ID, previous.worker, event.Worker))
	}
	observer.running[work.ID] = placement{worker: event.Worker, task: event.Task}
	observer.attempts[work.ID]++
	observer.attemptsByTarget[event.Target] = append(observer.attemptsByTarget[event.Target], attempt{at: time.Now(), work: work.ID, worker: event.Worker})
	observer.begun++
	observer.teamMilliCores[work.Team] += work.Size.MilliCores
	observer.peakMilliCores[work.Team] = max(observer.peakMilliCores[work.Team], observer.teamMilliCores[work.Team])
}

const baseSections = `
[fleet]
owner = ops
zones = ZONES

[service work]
owner = ops
upstreams = *
size = cores:1 memory:256MB
runTime = 100ms

[team one]
owner = ops
share = 1
limit = cores:12

[queue oneLive]
owner = ops
team = one
class = interactive
services = work

[queue oneBatch]
owner = ops
team = one
class = batch
services = work

[key one.main]
owner = ops
team = one
keySHA256 = DIGEST
`

// baseDocument returns the base sections for some zones, with the digest of the team's key.
func baseDocument(zones []string) string {
	return strings.NewReplacer("ZONES", strings.Join(zones, ", "), "DIGEST", viewer.Digest(teamKey)).Replace(baseSections)
}

// skipUnderRace skips a test of a whole cell in a synctest bubble if the race detector is on: its runtime crashes
// when a bubble fires many timers ("TraceSkipGap" or a segmentation violation). TestRaces runs a cell under the
// race detector in real time instead.
func skipUnderRace(t *testing.T) {
	t.Helper()
	if raceDetector {
		t.Skip("the race detector crashes in large synctest bubbles; make test runs this without it")
	}
}

// runCellTest runs a test on a cell of three zones in a synctest bubble, whose clock is fake, and checks the
// invariants at its end.
func runCellTest(t *testing.T, hostsPerZone int, test func(*harness)) {
	t.Helper()
	runZonesTest(t, zoneNames, hostsPerZone, test)
}

// runZonesTest is runCellTest for a cell of the given zones.
func runZonesTest(t *testing.T, zones []string, hostsPerZone int, test func(*harness)) {
	t.Helper()
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, zones, hostsPerZone)
		test(h)
		h.checkInvariants()
	})
}

// cleanUp resumes paused hosts, closes the cell and waits until the last calls of the stand-ins have ended.
func (harness *harness) cleanUp() {
	for _, name := range harness.Names {
		harness.fabric.Resume(name)
	}
	harness.client.CloseIdleConnections()
	if err := harness.Close(); err != nil {
		harness.Errorf("close cell: %v", err)
	}
	time.Sleep(time.Minute)
}

func newHarness(t *testing.T, zones []string, hostsPerZone int) *harness {
	t.Helper()
	harness := &harness{T: t, fabric: connector.New(250 * time.Microsecond), ctx: context.Background()}
	harness.observer = observer{running: map[string]placement{}, attemptsByTarget: map[string][]attempt{}, attempts: map[string]int{}, runs: map[string][]string{}, teamMilliCores: map[string]int64{}, peakMilliCores: map[string]int64{}}
	plan := builder.Plan{RootKey: rootKey, Fabric: harness.fabric}
	if os.Getenv("EBONYSHUNT_TEST_LOG") != "" {
		plan.Log, plan.Level = os.Stderr, slog.LevelDebug
	}
	for _, name := range zones {
		plan.Zones = append(plan.Zones, builder.Zone{Name: name, Hosts: hostsPerZone, Workers: []builder.Group{
			{Prefix: "w", Count: 2, Capacity: sizer.Size{MilliCores: 4000, MemoryMB: 8192}},
		}})
	}
	cell, err := builder.Build(plan)
	if err != nil {
		t.Fatalf("build cell: %v", err)
	}
	harness.Cell = cell
	harness.client = cell.Client()
	t.Cleanup(harness.cleanUp)
	harness.observer.holdsLease = func(at placement) bool { return cell.Workers[at.worker].Holds(at.task) }
	for _, worker := range cell.Workers {
		worker.Observe = harness.observer.observe
	}
	if err := cell.Publish(harness.ctx, cell.Names[0], baseDocument(zones)); err != nil {
		t.Fatalf("publish: %v", err)
	}
	for _, name := range cell.Names {
		if err := cell.WaitReady(harness.ctx, name); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(3 * time.Second)
	return harness
}

// checkInvariants fails the test if a worker was overcommitted, team one exceeded its upper limit, or a work
// item ran twice at the same time without permission.
func (harness *harness) checkInvariants() {
	harness.Helper()
	for name, worker := range harness.Workers {
		if worker.Overcommitted() {
			harness.Errorf("worker %s was overcommitted", name)
		}
	}
	harness.observer.mu.Lock()
	defer harness.observer.mu.Unlock()
	if peak := harness.observer.peakMilliCores["one"]; peak > teamLimitMilliCores {
		harness.Errorf("team one ran %d millicores, its upper limit is %d", peak, teamLimitMilliCores)
	}
	for _, runs := range harness.observer.concurrentRuns {
		harness.Errorf("ran twice at the same time: %s", runs)
	}
}

// reply is a complete answer, or the error that came instead.
type reply struct {
	status  int
	outcome responder.Outcome
	problem responder.Problem
	header  http.Header
	body    []byte
	err     error
	took    time.Duration
}

// send makes one request and reads its answer. The outcome is taken from the trailer, or else from the header.
func (harness *harness) send(ctx context.Context, host, method, path, key string, body []byte, headers ...string) reply {
	began := time.Now()
	target := "http://" + harness.Hosts[host].Settings.HTTPAddress + path
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := harness.client.Do(request)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	answer := reply{status: response.StatusCode, header: response.Header, body: data, err: err, took: time.Since(began)}
	answer.outcome = responder.Outcome(response.Trailer.Get(responder.HeaderOutcome))
	if answer.outcome == "" {
		answer.outcome = responder.Outcome(response.Header.Get(responder.HeaderOutcome))
	}
	if response.Header.Get("Content-Type") == responder.MediaType {
		_ = json.Unmarshal(data, &answer.problem)
	}
	return answer
}

func (harness *harness) post(host, query string, headers ...string) reply {
	return harness.send(harness.ctx, host, http.MethodPost, "/v1/services/work"+query, teamKey, []byte("body"), headers...)
}

// submitJob submits a job and fails the test unless it is accepted.
func (harness *harness) submitJob(host string, spec server.JobSpec, headers ...string) server.Job {
	harness.Helper()
	body, err := json.Marshal(spec)
	if err != nil {
		harness.Fatal(err)
	}
	answer := harness.send(harness.ctx, host, http.MethodPost, "/v1/jobs", teamKey, body, headers...)
	var job server.Job
	if answer.status != http.StatusAccepted || json.Unmarshal(answer.body, &job) != nil {
		harness.Fatalf("job was not accepted: %+v", answer)
	}
	return job
}

func (harness *harness) fetchJob(host, id string) server.Job {
	harness.Helper()
	answer := harness.send(harness.ctx, host, http.MethodGet, "/v1/jobs/"+id, teamKey, nil)
	var job server.Job
	if err := json.Unmarshal(answer.body, &job); err != nil {
		harness.Fatalf("job %s: %v: %+v", id, err, answer)
	}
	return job
}

// awaitJob polls a job until it is finished or the timeout has passed, and returns its last state.
func (harness *harness) awaitJob(host, id string, timeout time.Duration) server.Job {
	harness.Helper()
	deadline := time.Now().Add(timeout)
	for {
		job := harness.fetchJob(host, id)
		if job.Finished() || time.Now().After(deadline) {
			return job
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func taskSpecs(count int, target string) []server.TaskSpec {
	specs := make([]server.TaskSpec, count)
	for i := range specs {
		specs[i] = server.TaskSpec{Target: target}
	}
	return specs
}

func digestOf(key string) string { return viewer.Digest(key) }

func decode(data []byte, value any) error { return json.Unmarshal(data, value) }
