// Package tests runs whole cells on a paused clock and an in-memory network.
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

// limitMilliCores is the upper limit of team one.
const limitMilliCores = 12_000

const (
	rootKey = "root"
	teamKey = "team-key"
)

var zoneNames = []string{"a", "b", "c"}

// harness is a cell on a fabric with a witness of everything that its workers run.
type harness struct {
	*builder.Cell
	*testing.T
	fabric  *connector.Fabric
	client  *http.Client
	witness witness
	ctx     context.Context
}

// witness notes what runs where, and every time a rule is broken.
type witness struct {
	mu       sync.Mutex
	running  map[string]place   // by work
	targets  map[string][]begin // attempts, by path and query
	holds    func(place) bool   // whether a lease has not lapsed
	runs     map[string]int     // begun attempts, by work
	team     map[string]int64   // running millicores
	peak     map[string]int64
	doubled  []string
	begun    int
	finished int
}

// begin is one begun attempt.
type begin struct {
	at     time.Time
	work   string
	worker string
}

// counts returns how many attempts began and ended.
func (witness *witness) counts() (begun, finished int) {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	return witness.begun, witness.finished
}

// ran returns how many attempts of a work began.
func (witness *witness) ran(work string) int {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	return witness.runs[work]
}

// begins returns the attempts whose target has a suffix.
func (witness *witness) begins(suffix string) []begin {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	var found []begin
	for target, known := range witness.targets {
		if strings.HasSuffix(target, suffix) {
			found = append(found, known...)
		}
	}
	return found
}

// place is where a task runs.
type place struct{ worker, task string }

func (witness *witness) observe(event workerserver.Observation) {
	var work decider.Work
	if json.Unmarshal([]byte(event.Label), &work) != nil {
		return
	}
	witness.mu.Lock()
	defer witness.mu.Unlock()
	if !event.Began {
		if witness.running[work.ID].task == event.Task {
			delete(witness.running, work.ID)
		}
		witness.team[work.Team] -= work.Size.MilliCores
		witness.finished++
		return
	}
	if other, twice := witness.running[work.ID]; twice && (!work.Idempotent || witness.holds(other)) {
		witness.doubled = append(witness.doubled, fmt.Sprintf("%s on %s and %s", work.ID, other.worker, event.Worker))
	}
	witness.running[work.ID] = place{worker: event.Worker, task: event.Task}
	witness.runs[work.ID]++
	witness.targets[event.Target] = append(witness.targets[event.Target], begin{at: time.Now(), work: work.ID, worker: event.Worker})
	witness.begun++
	witness.team[work.Team] += work.Size.MilliCores
	witness.peak[work.Team] = max(witness.peak[work.Team], witness.team[work.Team])
}

const baseSections = `
[fleet]
owner = ops
zones = a, b, c

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

// document returns the base sections with the digest of the team's key.
func document() string {
	return strings.ReplaceAll(baseSections, "DIGEST", viewer.Digest(teamKey))
}

// skipUnderRace leaves whole cells in bubbles to the run without the race detector, whose runtime crashes
// when a bubble fires many timers ("TraceSkipGap" or a segmentation violation). TestRaces runs a cell
// under the race detector in real time instead.
func skipUnderRace(t *testing.T) {
	t.Helper()
	if raceDetector {
		t.Skip("the race detector crashes in large bubbles; make test runs this without it")
	}
}

// inBubble runs a test on a cell of three zones whose clock is paused and advanced by the test.
func inBubble(t *testing.T, hostsPerZone int, test func(*harness)) {
	t.Helper()
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, hostsPerZone)
		test(h)
		h.checkRules()
	})
}

// end resumes whatever is paused, closes the cell and lets the stand-ins' last calls end.
func (h *harness) end() {
	for _, name := range h.Names {
		h.fabric.Resume(name)
	}
	h.client.CloseIdleConnections()
	if err := h.Close(); err != nil {
		h.Errorf("close cell: %v", err)
	}
	time.Sleep(time.Minute)
}

func newHarness(t *testing.T, hostsPerZone int) *harness {
	t.Helper()
	h := &harness{T: t, fabric: connector.New(250 * time.Microsecond), ctx: context.Background()}
	h.witness = witness{running: map[string]place{}, targets: map[string][]begin{}, runs: map[string]int{}, team: map[string]int64{}, peak: map[string]int64{}}
	plan := builder.Plan{RootKey: rootKey, Fabric: h.fabric}
	if os.Getenv("EBONYSHUNT_TEST_LOG") != "" {
		plan.Log, plan.Level = os.Stderr, slog.LevelDebug
	}
	for _, name := range zoneNames {
		plan.Zones = append(plan.Zones, builder.Zone{Name: name, Hosts: hostsPerZone, Workers: []builder.Group{
			{Prefix: "w", Count: 2, Capacity: sizer.Size{MilliCores: 4000, MemoryMB: 8192}},
		}})
	}
	cell, err := builder.Build(plan)
	if err != nil {
		t.Fatalf("build cell: %v", err)
	}
	h.Cell = cell
	h.client = cell.Client()
	t.Cleanup(h.end)
	h.witness.holds = func(at place) bool { return cell.Workers[at.worker].Holds(at.task) }
	for _, worker := range cell.Workers {
		worker.Observe = h.witness.observe
	}
	if err := cell.Publish(h.ctx, cell.Names[0], document()); err != nil {
		t.Fatalf("publish: %v", err)
	}
	for _, name := range cell.Names {
		if err := cell.WaitReady(h.ctx, name); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(3 * time.Second)
	return h
}

// checkRules fails the test if a rule that must always hold was broken.
func (h *harness) checkRules() {
	h.Helper()
	for name, worker := range h.Workers {
		if worker.Overcommitted() {
			h.Errorf("worker %s was overcommitted", name)
		}
	}
	h.witness.mu.Lock()
	defer h.witness.mu.Unlock()
	if peak := h.witness.peak["one"]; peak > limitMilliCores {
		h.Errorf("team one ran %d millicores, its upper limit is %d", peak, limitMilliCores)
	}
	for _, doubled := range h.witness.doubled {
		h.Errorf("ran in two places: %s", doubled)
	}
}

// reply is a whole answer, or the error in its place.
type reply struct {
	status  int
	outcome responder.Outcome
	problem responder.Problem
	header  http.Header
	body    []byte
	err     error
	took    time.Duration
}

// ask sends a request and gathers its answer.
func (h *harness) ask(ctx context.Context, host, method, path, key string, body []byte, headers ...string) reply {
	began := time.Now()
	target := "http://" + h.Hosts[host].Settings.HTTPAddress + path
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
	response, err := h.client.Do(request)
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

func (h *harness) post(host, query string, headers ...string) reply {
	return h.ask(h.ctx, host, http.MethodPost, "/v1/services/work"+query, teamKey, []byte("body"), headers...)
}

// submit hands in a job and fails the test unless it is accepted.
func (h *harness) submit(host string, spec server.JobSpec, headers ...string) server.Job {
	h.Helper()
	body, err := json.Marshal(spec)
	if err != nil {
		h.Fatal(err)
	}
	answer := h.ask(h.ctx, host, http.MethodPost, "/v1/jobs", teamKey, body, headers...)
	var job server.Job
	if answer.status != http.StatusAccepted || json.Unmarshal(answer.body, &job) != nil {
		h.Fatalf("job refused: %+v", answer)
	}
	return job
}

// job fetches a job.
func (h *harness) job(host, id string) server.Job {
	h.Helper()
	answer := h.ask(h.ctx, host, http.MethodGet, "/v1/jobs/"+id, teamKey, nil)
	var job server.Job
	if err := json.Unmarshal(answer.body, &job); err != nil {
		h.Fatalf("job %s: %v: %+v", id, err, answer)
	}
	return job
}

// awaitJob waits until a job is finished.
func (h *harness) awaitJob(host, id string, most time.Duration) server.Job {
	h.Helper()
	until := time.Now().Add(most)
	for {
		job := h.job(host, id)
		if job.Finished() || time.Now().After(until) {
			return job
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func tasks(count int, target string) []server.TaskSpec {
	specs := make([]server.TaskSpec, count)
	for i := range specs {
		specs[i] = server.TaskSpec{Target: target}
	}
	return specs
}

func digestOf(key string) string { return viewer.Digest(key) }

func decode(data []byte, value any) error { return json.Unmarshal(data, value) }
