package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"ebonyshunt.org/library/responder"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var cmdRequest = &command{
	use:   "request SERVICE[/PATH]",
	short: "Send one request and print its answer as it comes",
	example: "ebonyshunt request photoCheck --data photo.jpg --type image/jpeg\n" +
		"ebonyshunt request weighIn --data ticket.json --once ticket-4711",
	args: cobra.ExactArgs(1),
	flags: func(flags *pflag.FlagSet) {
		flags.String("data", "", "`FILE` to send, - for standard input")
		flags.String("type", "application/octet-stream", "media type of the data")
		flags.String("method", "", "HTTP method (default GET without data, POST with data)")
		flags.String("once", "", "idempotency key")
		flags.String("queue", "", "queue to use if the team has several for the service")
		flags.String("deadline", "", "latest time to start: seconds from now, or an RFC 3339 time")
	},
	run: sendRequest,
}

func sendRequest(invocation *invocation) error {
	request := call{method: http.MethodGet, path: "/v1/services/" + invocation.args[0], header: map[string]string{}}
	data, _ := invocation.flags.GetString("data")
	if data != "" {
		file, err := openData(data)
		if err != nil {
			return err
		}
		defer file.Close()
		request.method, request.stream = http.MethodPost, file
		if info, err := file.Stat(); err == nil && info.Mode().IsRegular() {
			request.streamLength = info.Size()
		}
		request.header["Content-Type"], _ = invocation.flags.GetString("type")
	}
	if method, _ := invocation.flags.GetString("method"); method != "" {
		request.method = strings.ToUpper(method)
	}
	for flag, header := range map[string]string{"once": "Idempotency-Key", "queue": "Ebonyshunt-Queue", "deadline": "Ebonyshunt-Deadline"} {
		if value, _ := invocation.flags.GetString(flag); value != "" {
			request.header[header] = value
		}
	}
	if request.stream != nil {
		// The data cannot be read again for a second host.
		invocation.hosts = invocation.hosts[:min(1, len(invocation.hosts))]
	}
	response, err := invocation.send(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return printAnswer(invocation, response)
}

func openData(name string) (*os.File, error) {
	if name == "-" {
		return os.Stdin, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, exitErrorf(exitFailed, "open data: %w", err)
	}
	return file, nil
}

// printAnswer copies the body of a response to standard output. It returns an error unless the outcome is answered.
// The outcome is in the trailer of a streamed answer, so that a truncated answer does not count as answered, and
// otherwise in the header.
func printAnswer(invocation *invocation, response *http.Response) error {
	if strings.HasPrefix(response.Header.Get("Content-Type"), responder.MediaType) {
		data, err := io.ReadAll(response.Body)
		if err != nil {
			return exitErrorf(exitUnknown, "read answer: %w", err)
		}
		return decodeProblem(response, data)
	}
	if _, err := io.Copy(invocation.stdout, response.Body); err != nil {
		return exitErrorf(exitUnknown, "the answer is truncated, the outcome is unknown: %w", err)
	}
	outcome := responder.Outcome(response.Trailer.Get(responder.HeaderOutcome))
	if outcome == "" {
		outcome = responder.Outcome(response.Header.Get(responder.HeaderOutcome))
	}
	if id := response.Header.Get("Ebonyshunt-Request"); id != "" {
		fmt.Fprintf(invocation.stderr, "ebonyshunt: %s, request %s\n", outcome, id)
	}
	if outcome != responder.Answered {
		return exitErrorf(exitCodeOfOutcome(outcome), "the request was not answered: status %d", response.StatusCode)
	}
	return nil
}
