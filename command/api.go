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

// api calls the first entry host that answers.
type api struct {
	hosts  []string
	key    string
	client *http.Client
	notes  io.Writer
}

// call is one HTTP request to an entry host.
type call struct {
	method string
	path   string
	header map[string]string
	body   []byte
	stream io.Reader // in place of body; such a call is sent to one host only
	length int64     // of the stream, 0 where it is not known
}

func newAPI(hosts, key string, notes io.Writer) *api {
	var list []string
	for host := range strings.SplitSeq(hosts, ",") {
		if host = strings.TrimSpace(host); host != "" {
			list = append(list, host)
		}
	}
	return &api{hosts: list, key: key, client: dialer.TCP().Client(), notes: notes}
}

// send returns the response of the first host that takes a connection. Only a call that surely was not
// sent goes to the next host.
func (api *api) send(call call) (*http.Response, error) {
	if len(api.hosts) == 0 {
		return nil, fail(exitUsage, "no entry host: set --hosts or EBONYSHUNT_HOSTS, such as 127.0.0.1:7001")
	}
	var last error
	for _, host := range api.hosts {
		response, err := api.sendTo(host, call)
		if err == nil {
			return response, nil
		}
		last = err
		if !unsent(err) {
			return nil, fail(exitUnknown, "no answer from %s, the outcome is unknown: %w", host, err)
		}
		fmt.Fprintf(api.notes, "ebonyshunt: %s cannot be reached\n", host)
	}
	return nil, fail(exitNoHost, "no host can be reached: %w", last)
}

func (api *api) sendTo(host string, call call) (*http.Response, error) {
	body := call.stream
	if body == nil {
		body = bytes.NewReader(call.body)
	}
	request, err := http.NewRequest(call.method, "http://"+host+call.path, body)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if call.length > 0 {
		request.ContentLength = call.length
	}
	for name, value := range call.header {
		request.Header.Set(name, value)
	}
	if api.key != "" {
		request.Header.Set("Authorization", "Bearer "+api.key)
	}
	response, err := api.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", call.method, call.path, err)
	}
	return response, nil
}

// get fetches a value.
func (api *api) get(path string, value any) error {
	return api.do(call{method: http.MethodGet, path: path}, value)
}

// do sends a call and decodes the answer, or returns its problem as a failure.
func (api *api) do(call call, value any) error {
	response, err := api.send(call)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fail(exitUnknown, "read answer of %s: %w", call.path, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return problemOf(response, data)
	}
	if value == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, value); err != nil {
		return fail(exitFailed, "decode answer of %s: %w", call.path, err)
	}
	return nil
}

// problemOf turns a problem body into a failure with the exit code of its outcome.
func problemOf(response *http.Response, data []byte) error {
	var conflict server.Conflict
	if err := json.Unmarshal(data, &conflict.Problem); err != nil {
		return fail(exitFailed, "status %d: %s", response.StatusCode, data)
	}
	_ = json.Unmarshal(data, &struct{ Current any }{&conflict.Current})
	problem := conflict.Problem
	text := problem.Title + ": " + problem.Detail
	if problem.RetryAfter > 0 {
		text += fmt.Sprintf(" (try again in %s)", time.Duration(problem.RetryAfter)*time.Second)
	}
	return &failure{code: codeOf(problem), err: &problemError{problem: problem, text: text}}
}

// problemError keeps the problem of a failure.
type problemError struct {
	problem responder.Problem
	text    string
}

// Error formats the problem.
func (problemError *problemError) Error() string { return problemError.text }

func codeOf(problem responder.Problem) int {
	switch {
	case problem.Code() == responder.CodeConflict:
		return exitConflict
	case problem.Outcome == responder.Unknown:
		return exitUnknown
	case problem.Outcome == responder.NotRun:
		return exitNotRun
	}
	return exitFailed
}

// show prints a value as JSON, or by the given function.
func (invocation *invocation) show(value any, table func(io.Writer)) error {
	if invocation.json {
		encoder := json.NewEncoder(invocation.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(value); err != nil {
			return fail(exitFailed, "print: %w", err)
		}
		return nil
	}
	writer := tabwriter.NewWriter(invocation.out, 0, tabWidth, columnGap, ' ', 0)
	table(writer)
	if err := writer.Flush(); err != nil {
		return fail(exitFailed, "print: %w", err)
	}
	return nil
}

const (
	tabWidth  = 8
	columnGap = 2
)

func indent(example string) string {
	return "  " + strings.ReplaceAll(example, "\n", "\n  ")
}
