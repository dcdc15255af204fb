package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/responder"
)

// apiClient sends requests to the first entry host that can be reached.
type apiClient struct {
	hosts      []string
	key        string
	httpClient *http.Client
	warnings   io.Writer // standard error
}

// call is one HTTP request of the API.
type call struct {
	method       string
	path         string
	header       map[string]string
	body         []byte
	stream       io.Reader // replaces body if set; cannot be read again for a second host
	streamLength int64     // bytes in stream, 0 if unknown
}

func newAPIClient(hosts, key string, warnings io.Writer) *apiClient {
	var list []string
	for host := range strings.SplitSeq(hosts, ",") {
		if host = strings.TrimSpace(host); host != "" {
			list = append(list, host)
		}
	}
	return &apiClient{hosts: list, key: key, httpClient: dialer.TCP().Client(), warnings: warnings}
}

// send returns the response of the first host that accepts a connection. After an error it continues with the next
// host only if the call was not sent, because a host that received the call may have carried it out.
func (apiClient *apiClient) send(call call) (*http.Response, error) {
	if len(apiClient.hosts) == 0 {
		return nil, exitErrorf(exitUsage, "no entry host given: set --hosts or EBONYSHUNT_HOSTS, for example to 127.0.0.1:7001")
	}
	var lastErr error
	for _, host := range apiClient.hosts {
		response, err := apiClient.sendTo(host, call)
		if err == nil {
			return response, nil
		}
		lastErr = err
		if !unsent(err) {
			return nil, exitErrorf(exitUnknown, "no answer from host %s, the outcome is unknown: %w", host, err)
		}
		fmt.Fprintf(apiClient.warnings, "ebonyshunt: host %s cannot be reached\n", host)
	}
	return nil, exitErrorf(exitNoHost, "no host can be reached: %w", lastErr)
}

func (apiClient *apiClient) sendTo(host string, call call) (*http.Response, error) {
	body := call.stream
	if body == nil {
		body = bytes.NewReader(call.body)
	}
	request, err := http.NewRequest(call.method, "http://"+host+call.path, body)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if call.streamLength > 0 {
		request.ContentLength = call.streamLength
	}
	for name, value := range call.header {
		request.Header.Set(name, value)
	}
	if apiClient.key != "" {
		request.Header.Set("Authorization", "Bearer "+apiClient.key)
	}
	response, err := apiClient.httpClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", call.method, call.path, err)
	}
	return response, nil
}

// get sends a GET request and decodes the JSON answer into value.
func (apiClient *apiClient) get(path string, value any) error {
	return apiClient.do(call{method: http.MethodGet, path: path}, value)
}

// do sends a call and decodes its JSON answer into value, which is nil if no answer is wanted. For a status of 400
// or above it returns the problem in the answer as an exitError.
func (apiClient *apiClient) do(call call, value any) error {
	response, err := apiClient.send(call)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return exitErrorf(exitUnknown, "read answer to %s: %w", call.path, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return decodeProblem(response, data)
	}
	if value == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, value); err != nil {
		return exitErrorf(exitFailed, "decode answer to %s: %w", call.path, err)
	}
	return nil
}

// decodeProblem returns the problem in a response body as an exitError with the exit code of its outcome.
func decodeProblem(response *http.Response, data []byte) error {
	var conflict server.Conflict
	if err := json.Unmarshal(data, &conflict.Problem); err != nil {
		return exitErrorf(exitFailed, "status %d without a problem body: %s", response.StatusCode, data)
	}
	_ = json.Unmarshal(data, &struct{ Current any }{&conflict.Current})
	problem := conflict.Problem
	text := problem.Title + ": " + problem.Detail
	if problem.RetryAfter > 0 {
		text += fmt.Sprintf(" (try again in %s)", time.Duration(problem.RetryAfter)*time.Second)
	}
	return &exitError{code: exitCodeOf(problem), err: &problemError{problem: problem, text: text}}
}

// problemError is a problem reported by the server, with its formatted message.
type problemError struct {
	problem responder.Problem
	text    string
}

// Error returns the title, the detail and any retry delay of the problem.
func (problemError *problemError) Error() string { return problemError.text }

func exitCodeOf(problem responder.Problem) int {
	if problem.Code() == responder.CodeConflict {
		return exitConflict
	}
	return exitCodeOfOutcome(problem.Outcome)
}

// exitCodeOfOutcome returns the exit code for an outcome other than answered.
func exitCodeOfOutcome(outcome responder.Outcome) int {
	switch outcome {
	case responder.NotRun:
		return exitNotRun
	case responder.Unknown:
		return exitUnknown
	case responder.Answered, responder.Failed:
	}
	return exitFailed
}

// printValue prints a value as indented JSON if --json is set, and otherwise as the text that
// printTable writes, with cells that are separated by tabs aligned in columns.
func (invocation *invocation) printValue(value any, printTable func(io.Writer)) error {
	if invocation.asJSON {
		encoder := json.NewEncoder(invocation.stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(value); err != nil {
			return exitErrorf(exitFailed, "print: %w", err)
		}
		return nil
	}
	writer := tabwriter.NewWriter(invocation.stdout, 0, tabWidth, columnPadding, ' ', 0)
	printTable(writer)
	if err := writer.Flush(); err != nil {
		return exitErrorf(exitFailed, "print: %w", err)
	}
	return nil
}

const (
	tabWidth      = 8
	columnPadding = 2
)

func indent(example string) string {
	return "  " + strings.ReplaceAll(example, "\n", "\n  ")
}
