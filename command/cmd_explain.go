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

// mostLine bounds one line of a log, in bytes.
const mostLine = 1 << 20

var cmdExplain = &command{
	use:     "explain JOB FILE ...",
	short:   "Tell from the logs of all hosts what became of a job",
	example: "ebonyshunt explain 3ade13403bd123c5 entry-*.log",
	args:    cobra.MinimumNArgs(2),
	run:     explainJob,
}

func explainJob(invocation *invocation) error {
	var lines []logLine
	for _, path := range invocation.args[1:] {
		read, err := readLog(path)
		if err != nil {
			return &failure{code: exitUsage, err: err}
		}
		lines = append(lines, read...)
	}
	return explain(invocation.out, invocation.args[0], lines)
}

// logLine is one line of a host's log.
type logLine struct {
	file    string
	at      time.Time
	message string
	fields  map[string]any
}

func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, mostLine)
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

// parseLine reads a line, and reports false for one that is not of the log.
func parseLine(path string, data []byte) (logLine, bool) {
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return logLine{}, false
	}
	stamp, _ := fields["time"].(string)
	message, _ := fields["msg"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || message == "" {
		return logLine{}, false
	}
	for _, name := range []string{"time", "msg", "level"} {
		delete(fields, name)
	}
	return logLine{file: path, at: at, message: message, fields: fields}, true
}

// surroundings are the messages that tell what went on around a job.
var surroundings = map[string]bool{
	"deciding": true, "resigned": true, "store lost": true, "store regained": true,
	"journal lost": true, "journal regained": true, "journal slow": true, "journal fast again": true, "lines lost": true,
}

// concerns reports whether a line is about a job.
func (logLine *logLine) concerns(job string) bool {
	for _, name := range []string{"job", "task", "step"} {
		if text, ok := logLine.fields[name].(string); ok && (text == job || strings.HasPrefix(text, job+"/")) {
			return true
		}
	}
	return false
}

// explain prints the lines about a job and, between its first and last one, what went on around it.
func explain(out io.Writer, job string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	first, last := -1, -1
	for index := range lines {
		if lines[index].concerns(job) {
			if first < 0 {
				first = index
			}
			last = index
		}
	}
	if first < 0 {
		return fail(exitFailed, "no line is about job %s: are these the logs of all hosts, of its time?", job)
	}
	for _, line := range lines[first : last+1] {
		if line.concerns(job) || surroundings[line.message] {
			fmt.Fprintf(out, "%s %s %s%s\n", line.at.Format("15:04:05.000"), line.file, line.message, line.describe())
		}
	}
	return nil
}

func (logLine *logLine) describe() string {
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
