package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// maxLogLineBytes is the length of the longest log line that readLog accepts.
const maxLogLineBytes = 1 << 20

var cmdExplain = &command{
	use:     "explain JOB FILE ...",
	short:   "Show the history of a job from the logs of all hosts",
	example: "ebonyshunt explain 3ade13403bd123c5 entry-*.log",
	args:    cobra.MinimumNArgs(2),
	run:     explainJob,
}

func explainJob(invocation *invocation) error {
	var lines []logLine
	for _, path := range invocation.args[1:] {
		fileLines, err := readLog(path)
		if err != nil {
			return &exitError{code: exitFailed, err: err}
		}
		correctTimes(fileLines)
		lines = append(lines, fileLines...)
	}
	return printJobHistory(invocation.stdout, invocation.args[0], lines)
}

// correctTimes replaces the times of day in the lines of one file by the uptimes of their process, which no step of the
// host's clock changes. A process is taken to have started when most of its lines say.
func correctTimes(lines []logLine) {
	for begin := 0; begin < len(lines); {
		end := begin + 1
		for end < len(lines) && lines[end].uptime >= lines[end-1].uptime {
			end++
		}
		correctProcessTimes(lines[begin:end])
		begin = end
	}
}

func correctProcessTimes(lines []logLine) {
	var starts []time.Time
	for _, line := range lines {
		if line.uptime > 0 {
			starts = append(starts, line.at.Add(-line.uptime))
		}
	}
	if len(starts) == 0 {
		return
	}
	slices.SortFunc(starts, time.Time.Compare)
	started := starts[len(starts)/2]
	for index := range lines {
		lines[index].at = started.Add(lines[index].uptime)
	}
}

// logLine is one line of a host's log. Its fields are all JSON fields but time, msg, level and up.
type logLine struct {
	file    string
	at      time.Time
	uptime  time.Duration // of the process, 0 if the line does not say
	message string
	fields  map[string]any
}

// readLog returns the log lines in a file. It skips lines that are not JSON log lines.
func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(path, scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", path, err)
	}
	return lines, nil
}

// parseLine decodes a JSON log line. It returns false for a line that is not JSON or has no valid time or no message.
func parseLine(path string, data []byte) (logLine, bool) {
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return logLine{}, false
	}
	timestamp, _ := fields["time"].(string)
	message, _ := fields["msg"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil || message == "" {
		return logLine{}, false
	}
	seconds, _ := fields["up"].(float64)
	for _, name := range []string{"time", "msg", "level", "up"} {
		delete(fields, name)
	}
	return logLine{file: path, at: at, uptime: time.Duration(seconds * float64(time.Second)), message: message, fields: fields}, true
}

// contextMessages are the log messages about the decider, the store, the journal and the log itself that printJobHistory
// prints between the lines about a job.
var contextMessages = map[string]bool{
	"deciding": true, "resigned": true, "store lost": true, "store regained": true,
	"journal lost": true, "journal regained": true, "journal slow": true, "journal fast again": true, "lines lost": true,
	"drained zone is empty": true,
}

// drainMessages are the log messages with which each host tells that a zone is drained or no longer drained.
// printJobHistory prints the first line of each change.
var drainMessages = map[string]bool{"zone drained": true, "zone no longer drained": true}

// refersTo reports whether the line names the job, or a task or step of it, in its job, task or step field. IDs of
// tasks and steps start with the ID of their job and a slash.
func (logLine *logLine) refersTo(job string) bool {
	for _, name := range []string{"job", "task", "step"} {
		if text, ok := logLine.fields[name].(string); ok && (text == job || strings.HasPrefix(text, job+"/")) {
			return true
		}
	}
	return false
}

// printJobHistory prints the lines that refer to a job in order of time. It adds the lines with a context message from
// between the first and the last of them.
func printJobHistory(out io.Writer, job string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	first, last := -1, -1
	for index := range lines {
		if lines[index].refersTo(job) {
			if first < 0 {
				first = index
			}
			last = index
		}
	}
	if first < 0 {
		return exitErrorf(exitFailed, "no log line refers to job %s: pass the logs of all hosts from the time of the job", job)
	}
	printedDrains := map[string]bool{}
	for _, line := range lines[first : last+1] {
		firstOfDrain := false
		if drainMessages[line.message] {
			change := fmt.Sprint(line.message, line.fields["drainedZone"], line.fields["asOf"])
			firstOfDrain = !printedDrains[change]
			printedDrains[change] = true
		}
		if line.refersTo(job) || contextMessages[line.message] || firstOfDrain {
			fmt.Fprintf(out, "%s %s %s%s\n", line.at.Format("15:04:05.000"), line.file, line.message, line.formatFields())
		}
	}
	return nil
}

// formatFields returns the fields that have a value as " name=value" pairs, sorted by name.
func (logLine *logLine) formatFields() string {
	names := make([]string, 0, len(logLine.fields))
	for name := range logLine.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		if value := logLine.fields[name]; value != nil && value != "" {
			fmt.Fprintf(&text, " %s=%v", name, value)
		}
	}
	return text.String()
}
