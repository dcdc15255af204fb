package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"ebonyshunt.org/library/responder"
)

// runAgainst runs a command line against a host with the given handler, and returns its exit code and standard error.
func runAgainst(t *testing.T, handler http.HandlerFunc, args ...string) (int, string) {
	t.Helper()
	host := httptest.NewServer(handler)
	t.Cleanup(host.Close)
	var stdout, stderr bytes.Buffer
	code := run(append([]string{"--hosts", strings.TrimPrefix(host.URL, "http://")}, args...), &stdout, &stderr)
	return code, stderr.String()
}

// TestExitCodeOfStreamedAnswer guards against one exit code for all outcomes of an answer that is not a problem: scripts
// could not tell a request that may have run from one that did not.
func TestExitCodeOfStreamedAnswer(t *testing.T) {
	cases := map[responder.Outcome]int{
		responder.Answered: 0,
		responder.Failed:   exitFailed,
		responder.NotRun:   exitNotRun,
		responder.Unknown:  exitUnknown,
	}
	for outcome, want := range cases {
		t.Run(string(outcome), func(t *testing.T) {
			code, message := runAgainst(t, func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Trailer", responder.HeaderOutcome)
				_, _ = writer.Write([]byte("part"))
				writer.Header().Set(responder.HeaderOutcome, string(outcome))
			}, "request", "work")
			if code != want {
				t.Errorf("exit code %d (%s), want %d", code, message, want)
			}
		})
	}
}

// TestBrokenEventStream guards against a watch that does not say why its event stream ended.
func TestBrokenEventStream(t *testing.T) {
	code, message := runAgainst(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(`{"id": "j.a.x", "spec": {"service": "work", "tasks": [{}]}, "tasks": [{"state": "running"}]}` + "\n"))
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}, "watch", "j.a.x")
	if !strings.Contains(message, "the event stream broke off: ") {
		t.Errorf("exit code %d, standard error %q, want the reason", code, message)
	}
}

// TestUnreadableLog guards against the exit code of a wrong command line for a log that cannot be read.
func TestUnreadableLog(t *testing.T) {
	var stdout, stderr bytes.Buffer
	code := run([]string{"explain", "job", filepath.Join(t.TempDir(), "absent.log")}, &stdout, &stderr)
	if code != exitFailed {
		t.Errorf("exit code %d (%s), want %d", code, stderr.String(), exitFailed)
	}
}
