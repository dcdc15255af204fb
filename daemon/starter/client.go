package starter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
)

// Client calls the HTTP API of the workers, at an address given with each call.
type Client struct {
	http *http.Client
}

// New returns a client that sends its requests through the given HTTP client.
func New(client *http.Client) *Client {
	return &Client{http: client}
}

// StartRequest describes the start of one task on a worker. Body is streamed to the worker without buffering it.
type StartRequest struct {
	Grant   fencer.Grant
	Label   string
	Size    sizer.Size
	Service string
	Method  string
	Target  string // path below the service, with the query
	Header  http.Header
	Body    io.Reader
	Length  int64  // bytes in Body, -1 if unknown
	Async   bool   // the worker responds at once and stores the task's answer
	Resume  string // checkpoint of an earlier attempt to resume from, empty for none
}

// RefusedError reports that the worker refused a start and did not run the task.
type RefusedError struct {
	Refusal fencer.Refusal
}

// Error returns a text with the worker's reason for the refusal.
func (refusedError *RefusedError) Error() string {
	return "worker refused the start: " + string(refusedError.Refusal)
}

// Send starts a task on the worker that the grant names. A *RefusedError proves that the task did not run.
// The caller closes the response's body.
func (client *Client) Send(ctx context.Context, start StartRequest) (*http.Response, error) {
	target := "http://" + start.Grant.Address + "/v1/run/" + url.PathEscape(start.Grant.Task) + "/" + start.Service + start.Target
	request, err := http.NewRequestWithContext(ctx, start.Method, target, start.Body)
	if err != nil {
		return nil, fmt.Errorf("build start request: %w", err)
	}
	if err := setHeaders(request, start); err != nil {
		return nil, err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send start to worker %s: %w", start.Grant.Worker, err)
	}
	if refusal := response.Header.Get(HeaderRefusal); refusal != "" {
		response.Body.Close()
		return nil, &RefusedError{Refusal: fencer.Refusal(refusal)}
	}
	return response, nil
}

func setHeaders(request *http.Request, start StartRequest) error {
	grant, err := json.Marshal(start.Grant)
	if err != nil {
		return fmt.Errorf("encode grant: %w", err)
	}
	size, err := json.Marshal(start.Size)
	if err != nil {
		return fmt.Errorf("encode size: %w", err)
	}
	for name, values := range start.Header {
		request.Header[name] = values
	}
	request.Header.Set(HeaderGrant, string(grant))
	request.Header.Set(HeaderSize, string(size))
	request.Header.Set(HeaderLabel, start.Label)
	if start.Resume != "" {
		request.Header.Set(HeaderResume, start.Resume)
	}
	if start.Async {
		request.Header.Set("Prefer", PreferAsync)
	}
	request.ContentLength = start.Length
	return nil
}

// Claim takes or renews ownership of the worker at an address and returns the worker's report.
// If a later term owns the worker, it returns the report with an error of class ErrFenced.
func (client *Client) Claim(ctx context.Context, address string, claim Claim) (Report, error) {
	body, err := json.Marshal(claim)
	if err != nil {
		return Report{}, fmt.Errorf("encode claim: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/claim", bytes.NewReader(body))
	if err != nil {
		return Report{}, fmt.Errorf("build claim request: %w", err)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return Report{}, fmt.Errorf("claim worker at %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return Report{}, Error.New("claim worker at %s: unexpected status %d", address, response.StatusCode)
	}
	var report Report
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return Report{}, fmt.Errorf("decode report of worker at %s: %w", address, err)
	}
	if response.StatusCode == http.StatusConflict {
		return report, ErrFenced.New("worker %s is owned by term %s", report.Worker, report.Term)
	}
	return report, nil
}

// Stop ends a task. A task that is unknown to the worker counts as stopped.
func (client *Client) Stop(ctx context.Context, address, task string, term fencer.Term) error {
	err := client.sendControl(ctx, http.MethodDelete, address, url.PathEscape(task), term)
	if ErrNoTask.Has(err) {
		return nil
	}
	return err
}

// Checkpoint ends a task and has the worker save its progress. A later report contains the checkpoint.
func (client *Client) Checkpoint(ctx context.Context, address, task string, term fencer.Term) error {
	return client.sendControl(ctx, http.MethodPost, address, url.PathEscape(task)+"/checkpoint", term)
}

// Throttle limits a task's resource usage to its granted size.
func (client *Client) Throttle(ctx context.Context, address, task string, term fencer.Term) error {
	return client.sendControl(ctx, http.MethodPost, address, url.PathEscape(task)+"/throttle", term)
}

func (client *Client) sendControl(ctx context.Context, method, address, path string, term fencer.Term) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/tasks/"+path, nil)
	if err != nil {
		return fmt.Errorf("build control request: %w", err)
	}
	encodedTerm, err := json.Marshal(term)
	if err != nil {
		return fmt.Errorf("encode term: %w", err)
	}
	request.Header.Set(HeaderTerm, string(encodedTerm))
	response, err := client.http.Do(request)
	if err != nil {
		return fmt.Errorf("%s task %s: %w", method, path, err)
	}
	response.Body.Close()
	if response.StatusCode == http.StatusConflict {
		return ErrFenced.New("%s task %s: a later term owns the worker", method, path)
	}
	if response.StatusCode == http.StatusNotFound {
		return ErrNoTask.New("%s task %s", method, path)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return Error.New("%s task %s: unexpected status %d", method, path, response.StatusCode)
	}
	return nil
}

// Answer fetches the answer that the worker stored for an ended task. The caller checks the status and closes the body.
func (client *Client) Answer(ctx context.Context, address, task string) (*http.Response, error) {
	target := "http://" + address + "/v1/tasks/" + url.PathEscape(task) + "/answer"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("build answer request: %w", err)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("fetch answer of task %s: %w", task, err)
	}
	return response, nil
}
