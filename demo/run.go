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
var sample string

const rootKey = "demo-root-key"

// The keys whose digests stand in sample.ini.
const (
	surveyKey = "survey-key"
	intakeKey = "intake-key"
)

func plan() builder.Plan {
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

// run shows each workload once and prints what came of it.
func run(ctx context.Context, out io.Writer) error {
	cell, err := builder.Build(plan())
	if err != nil {
		return err
	}
	defer cell.Close()
	fmt.Fprintf(out, "cell: %d entry hosts, %d workers, 3 zones\n", len(cell.Hosts), len(cell.Workers))
	first := cell.Names[0]
	if err := cell.Publish(ctx, first, sample); err != nil {
		return err
	}
	for _, name := range cell.Names {
		if err := cell.Ready(ctx, name); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "configuration: %d sections in force on every entry host\n", strings.Count(sample, "\n[")+1)
	shown := &show{cell: cell, out: out, client: cell.Client()}
	defer shown.client.CloseIdleConnections()
	steps := []func(context.Context) error{shown.interactive, shown.keyed, shown.watcher, shown.batch, shown.gang, shown.standing, shown.refused, shown.timeline}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// show sends requests to a cell and prints the answers.
type show struct {
	cell    *builder.Cell
	out     io.Writer
	client  *http.Client
	request string // ID of the first request, for the time line
}

// answer is a whole response.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    []byte
}

func (show *show) send(ctx context.Context, host int, method, path, key string, body []byte, headers ...string) (answer, error) {
	address := show.cell.Hosts[show.cell.Names[host]].Settings.HTTPAddress
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := show.client.Do(request)
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

func (show *show) print(what string, answer answer) {
	outcome := answer.trailer.Get(responder.HeaderOutcome)
	if outcome == "" {
		outcome = answer.header.Get(responder.HeaderOutcome)
	}
	text := strings.TrimSpace(string(answer.body))
	if len(text) > mostShown {
		text = text[:mostShown] + "..."
	}
	fmt.Fprintf(show.out, "%s: status %d, outcome %s: %s\n", what, answer.status, outcome, text)
}

const mostShown = 160

func (show *show) interactive(ctx context.Context) error {
	answer, err := show.send(ctx, 0, http.MethodPost, "/v1/services/photoCheck?workMS=30", surveyKey, []byte("photo"), "Content-Type", "image/jpeg")
	if err != nil {
		return err
	}
	show.request = answer.header.Get("Ebonyshunt-Request")
	show.print("photo check", answer)
	return nil
}

func (show *show) keyed(ctx context.Context) error {
	for host := range 2 {
		answer, err := show.send(ctx, 3*host, http.MethodPost, "/v1/services/weighIn?workMS=20", intakeKey, []byte("12.5 t"), "Idempotency-Key", "ticket-1")
		if err != nil {
			return err
		}
		show.print(fmt.Sprintf("weigh-in ticket, offer %d through %s", host+1, show.cell.Names[3*host]), answer)
	}
	return nil
}

func (show *show) watcher(ctx context.Context) error {
	answer, err := show.send(ctx, 1, http.MethodGet, "/v1/services/gaugeWatch?lines=3&workMS=20", surveyKey, nil)
	if err != nil {
		return err
	}
	show.print("gauge watcher", answer)
	return nil
}

func (show *show) batch(ctx context.Context) error {
	spec := server.JobSpec{Service: "reconcile", Idempotent: true}
	for range 6 {
		spec.Tasks = append(spec.Tasks, server.TaskSpec{Target: "?workMS=50", Body: []byte("batch")})
	}
	return show.job(ctx, "reconciliation batch", intakeKey, spec)
}

func (show *show) gang(ctx context.Context) error {
	spec := server.JobSpec{Service: "rebuildHeights", Gang: true}
	for range 3 {
		spec.Tasks = append(spec.Tasks, server.TaskSpec{Target: "?workMS=50"})
	}
	return show.job(ctx, "height rebuild gang", surveyKey, spec)
}

func (show *show) job(ctx context.Context, what, key string, spec server.JobSpec) error {
	job, err := show.submit(ctx, key, spec)
	if err != nil {
		return err
	}
	answer, err := show.send(ctx, 0, http.MethodGet, "/v1/jobs/"+job.ID+"/events", key, nil)
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
	fmt.Fprintf(show.out, "%s: %d tasks on %d workers, outcome %s, %d versions watched\n", what, len(job.Tasks), len(workers), job.Outcome(), len(lines))
	return nil
}

func (show *show) submit(ctx context.Context, key string, spec server.JobSpec) (server.Job, error) {
	var job server.Job
	body, err := json.Marshal(spec)
	if err != nil {
		return job, fmt.Errorf("encode job: %w", err)
	}
	answer, err := show.send(ctx, 0, http.MethodPost, "/v1/jobs", key, body)
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

func (show *show) standing(ctx context.Context) error {
	job, err := show.submit(ctx, intakeKey, server.JobSpec{Service: "ledgerWatch", Standing: true, Tasks: []server.TaskSpec{{Target: "?workMS=3600000"}}})
	if err != nil {
		return err
	}
	for job.Tasks[0].State != server.JobRunning {
		answer, err := show.send(ctx, 0, http.MethodGet, "/v1/jobs/"+job.ID, intakeKey, nil)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(answer.body, &job); err != nil {
			return fmt.Errorf("decode job: %w", err)
		}
		time.Sleep(standingPoll)
	}
	fmt.Fprintf(show.out, "ledger watcher: %s on %s, now canceled\n", job.Tasks[0].State, job.Tasks[0].Worker)
	_, err = show.send(ctx, 0, http.MethodDelete, "/v1/jobs/"+job.ID, intakeKey, nil)
	return err
}

const standingPoll = 20 * time.Millisecond

func (show *show) refused(ctx context.Context) error {
	answer, err := show.send(ctx, 0, http.MethodPost, "/v1/services/photoCheck", "no-such-key", nil)
	if err != nil {
		return err
	}
	show.print("unknown key", answer)
	return nil
}

func (show *show) timeline(ctx context.Context) error {
	answer, err := show.send(ctx, 0, http.MethodGet, "/v1/timeline?request="+show.request, rootKey, nil)
	if err != nil {
		return err
	}
	var events []recorder.Event
	if err := json.Unmarshal(answer.body, &events); err != nil {
		return fmt.Errorf("decode time line: %w", err)
	}
	fmt.Fprintln(show.out, "time line of the photo check:")
	for _, event := range events {
		fmt.Fprintf(show.out, "  %s %-16s %-16s %s %s\n", event.Stamp.Time().Format("15:04:05.000000"), event.Host, event.Kind, event.Worker, event.Detail)
	}
	return nil
}
