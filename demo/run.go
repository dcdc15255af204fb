package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/demo/builder"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/sizer"
)

//go:embed sample.ini
var sampleConfiguration string

const rootKey = "demo-root-key"

// API keys of the teams; sample.ini contains their digests.
const (
	surveyKey = "survey-key"
	intakeKey = "intake-key"
)

func demoPlan() builder.Plan {
	var zones []builder.Zone
	for _, name := range []string{"north", "middle", "south"} {
		zones = append(zones, builder.Zone{Name: name, Hosts: 2, Workers: []builder.Group{
			{Prefix: "survey", Count: 2, Capacity: sizer.Size{MilliCores: 32_000, MemoryMB: 65_536}},
			{Prefix: "imaging", Count: 1, Capacity: sizer.Size{MilliCores: 64_000, MemoryMB: 131_072, Accelerators: 8}},
			{Prefix: "intake", Count: 2, Capacity: sizer.Size{MilliCores: 16_000, MemoryMB: 65_536}, Speed: 0.5},
			{Prefix: "inspection", Count: 1, Capacity: sizer.Size{MilliCores: 32_000, MemoryMB: 131_072, Accelerators: 8}},
		}})
	}
	return builder.Plan{Zones: zones, RootKey: rootKey}
}

// run starts a cell, publishes the sample configuration, runs each kind of workload once and prints the outcomes.
func run(ctx context.Context, out io.Writer) error {
	cell, err := builder.Build(demoPlan())
	if err != nil {
		return err
	}
	defer cell.Close()
	fmt.Fprintf(out, "cell: %d entry hosts, %d workers, 3 zones\n", len(cell.Hosts), len(cell.Workers))
	first := cell.Names[0]
	if err := cell.Publish(ctx, first, sampleConfiguration); err != nil {
		return err
	}
	for _, name := range cell.Names {
		if err := cell.WaitReady(ctx, name); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "configuration: %d sections in force on every entry host\n", strings.Count(sampleConfiguration, "\n[")+1)
	demo := &runner{cell: cell, out: out, client: cell.Client()}
	defer demo.client.CloseIdleConnections()
	steps := []func(context.Context) error{demo.runInteractive, demo.runKeyed, demo.runWatcher, demo.runBatch, demo.runGang, demo.runStanding, demo.runRefused, demo.printTimeline}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runner sends the requests and jobs of the demo to a cell and prints the answers.
type runner struct {
	cell         *builder.Cell
	out          io.Writer
	client       *http.Client
	photoCheckID string // of the photo check, for printTimeline
}

// answer is a response that has been read to the end.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    []byte
}

// send sends a request to the host with the given index in cell.Names. Headers alternates names and values.
func (runner *runner) send(ctx context.Context, host int, method, path, key string, body []byte, headers ...string) (answer, error) {
	address := runner.cell.Hosts[runner.cell.Names[host]].Settings.HTTPAddress
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := runner.client.Do(request)
	if err != nil {
		return answer{}, fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, fmt.Errorf("%s %s: read answer: %w", method, path, err)
	}
	return answer{status: response.StatusCode, header: response.Header, trailer: response.Trailer, body: data}, nil
}

func (runner *runner) printAnswer(title string, answer answer) {
	outcome := answer.trailer.Get(responder.HeaderOutcome)
	if outcome == "" {
		outcome = answer.header.Get(responder.HeaderOutcome)
	}
	text := strings.TrimSpace(string(answer.body))
	if len(text) > maxPrintedBytes {
		text = text[:maxPrintedBytes] + "..."
	}
	fmt.Fprintf(runner.out, "%s: status %d, outcome %s: %s\n", title, answer.status, outcome, text)
}

const maxPrintedBytes = 160

func (runner *runner) runInteractive(ctx context.Context) error {
	answer, err := runner.send(ctx, 0, http.MethodPost, "/v1/services/photoCheck?workMS=30", surveyKey, []byte("photo"), "Content-Type", "image/jpeg")
	if err != nil {
		return err
	}
	runner.photoCheckID = answer.header.Get("Ebonyshunt-Request")
	runner.printAnswer("photo check", answer)
	return nil
}

func (runner *runner) runKeyed(ctx context.Context) error {
	for host := range 2 {
		answer, err := runner.send(ctx, 3*host, http.MethodPost, "/v1/services/weighIn?workMS=20", intakeKey, []byte("12.5 t"), "Idempotency-Key", "ticket-1")
		if err != nil {
			return err
		}
		runner.printAnswer(fmt.Sprintf("weigh-in ticket, offer %d through %s", host+1, runner.cell.Names[3*host]), answer)
	}
	return nil
}

func (runner *runner) runWatcher(ctx context.Context) error {
	answer, err := runner.send(ctx, 1, http.MethodGet, "/v1/services/gaugeWatch?lines=3&workMS=20", surveyKey, nil)
	if err != nil {
		return err
	}
	runner.printAnswer("gauge watcher", answer)
	return nil
}

func (runner *runner) runBatch(ctx context.Context) error {
	spec := server.JobSpec{Service: "reconcile", Idempotent: true}
	for range 6 {
		spec.Tasks = append(spec.Tasks, server.TaskSpec{Target: "?workMS=50", Body: []byte("batch")})
	}
	return runner.runJob(ctx, "reconciliation batch", intakeKey, spec)
}

func (runner *runner) runGang(ctx context.Context) error {
	spec := server.JobSpec{Service: "rebuildHeights", Gang: true}
	for range 3 {
		spec.Tasks = append(spec.Tasks, server.TaskSpec{Target: "?workMS=50"})
	}
	return runner.runJob(ctx, "height rebuild gang", surveyKey, spec)
}

// runJob submits a job, follows its events until it ends and prints its outcome.
func (runner *runner) runJob(ctx context.Context, title, key string, spec server.JobSpec) error {
	job, err := runner.submit(ctx, key, spec)
	if err != nil {
		return err
	}
	answer, err := runner.send(ctx, 0, http.MethodGet, "/v1/jobs/"+job.ID+"/events", key, nil)
	if err != nil {
		return err
	}
	lines := bytes.Split(bytes.TrimSpace(answer.body), []byte("\n"))
	if err := json.Unmarshal(lines[len(lines)-1], &job); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	workers := map[string]bool{}
	for _, task := range job.Tasks {
		workers[task.Worker] = true
	}
	fmt.Fprintf(runner.out, "%s: %d tasks on %d workers, outcome %s, %d versions watched\n", title, len(job.Tasks), len(workers), job.Outcome(), len(lines))
	return nil
}

func (runner *runner) submit(ctx context.Context, key string, spec server.JobSpec) (server.Job, error) {
	var job server.Job
	body, err := json.Marshal(spec)
	if err != nil {
		return job, fmt.Errorf("encode job: %w", err)
	}
	answer, err := runner.send(ctx, 0, http.MethodPost, "/v1/jobs", key, body)
	if err != nil {
		return job, err
	}
	if answer.status != http.StatusAccepted {
		return job, fmt.Errorf("job refused: %s", answer.body)
	}
	if err := json.Unmarshal(answer.body, &job); err != nil {
		return job, fmt.Errorf("decode job: %w", err)
	}
	return job, nil
}

func (runner *runner) runStanding(ctx context.Context) error {
	job, err := runner.submit(ctx, intakeKey, server.JobSpec{Service: "ledgerWatch", Standing: true, Tasks: []server.TaskSpec{{Target: "?workMS=3600000"}}})
	if err != nil {
		return err
	}
	for job.Tasks[0].State != server.JobRunning {
		answer, err := runner.send(ctx, 0, http.MethodGet, "/v1/jobs/"+job.ID, intakeKey, nil)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(answer.body, &job); err != nil {
			return fmt.Errorf("decode job: %w", err)
		}
		time.Sleep(standingPollInterval)
	}
	fmt.Fprintf(runner.out, "ledger watcher: %s on %s, now canceled\n", job.Tasks[0].State, job.Tasks[0].Worker)
	_, err = runner.send(ctx, 0, http.MethodDelete, "/v1/jobs/"+job.ID, intakeKey, nil)
	return err
}

const standingPollInterval = 20 * time.Millisecond

func (runner *runner) runRefused(ctx context.Context) error {
	answer, err := runner.send(ctx, 0, http.MethodPost, "/v1/services/photoCheck", "no-such-key", nil)
	if err != nil {
		return err
	}
	runner.printAnswer("unknown key", answer)
	return nil
}

func (runner *runner) printTimeline(ctx context.Context) error {
	answer, err := runner.send(ctx, 0, http.MethodGet, "/v1/timeline?request="+runner.photoCheckID, rootKey, nil)
	if err != nil {
		return err
	}
	var events []recorder.Event
	if err := json.Unmarshal(answer.body, &events); err != nil {
		return fmt.Errorf("decode time line: %w", err)
	}
	fmt.Fprintln(runner.out, "time line of the photo check:")
	for _, event := range events {
		fmt.Fprintf(runner.out, "  %s %-16s %-16s %s %s\n", event.Stamp.Time().Format("15:04:05.000000"), event.Host, event.Kind, event.Worker, event.Detail)
	}
	return nil
}
