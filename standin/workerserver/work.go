package workerserver

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ebonyshunt.org/daemon/starter"
	"github.com/go-chi/chi/v5"
)

// Answer is the JSON answer of a task that neither echoes its body nor streams lines.
type Answer struct {
	Service string `json:"service"`
	Task    string `json:"task"`
	Worker  string `json:"worker"`
	Bytes   int64  `json:"bytes"`  // size of the request's body
	SHA256  string `json:"sha256"` // hexadecimal digest of the request's body
}

// workOptions are the options in the query of a start request, which control how the task behaves.
type workOptions struct {
	duration time.Duration // query parameter workMS: run time of the task, or of each line of a stream
	lines    int           // number of lines to stream
	fail     bool          // fail at once
	echo     bool          // answer with the request's body
	crash    bool          // reboot the worker

	events bool // stream the lines as server-sent events
}

func parseWorkOptions(query url.Values) workOptions {
	durationMS, _ := strconv.ParseInt(query.Get("workMS"), 10, 64)
	lines, _ := strconv.Atoi(query.Get("lines"))
	return workOptions{
		duration: time.Duration(durationMS) * time.Millisecond,
		lines:    lines,
		fail:     query.Has("fail"),
		echo:     query.Has("echo"),
		crash:    query.Has("crash"),

		events: query.Has("events"),
	}
}

const maxAsyncBodyBytes = 1 << 20

// runAsync responds at once, runs the task in the background and keeps its answer.
func (worker *Worker) runAsync(w http.ResponseWriter, r *http.Request, begun *task) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAsyncBodyBytes))
	if err != nil {
		worker.finish(begun, starter.Failed, http.StatusBadRequest, nil)
		return
	}
	options := parseWorkOptions(r.URL.Query())
	service := chi.URLParam(r, "service")
	worker.wait.Go(func() {
		worker.runTask(context.Background(), begun, options, service, bytes.NewReader(body), &answerBuffer{header: http.Header{}})
	})
	worker.waitWhilePaused()
	w.WriteHeader(http.StatusAccepted)
}

// answerBuffer is an http.ResponseWriter that keeps the answer of an asynchronous task in memory.
type answerBuffer struct {
	bytes.Buffer
	header http.Header
	status int
}

// Header returns the headers of the answer.
func (answerBuffer *answerBuffer) Header() http.Header { return answerBuffer.header }

// WriteHeader stores the status of the answer.
func (answerBuffer *answerBuffer) WriteHeader(status int) { answerBuffer.status = status }

// runSync runs the task and writes its answer as the response. It aborts the response if the task is stopped.
func (worker *Worker) runSync(w http.ResponseWriter, r *http.Request, begun *task) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	state := worker.runTask(r.Context(), begun, parseWorkOptions(r.URL.Query()), chi.URLParam(r, "service"), r.Body, w)
	if state == starter.Stopped {
		panic(http.ErrAbortHandler)
	}
	worker.waitWhilePaused()
}

// runTask runs the task and returns its final state. The task ends before the last part of the answer is written, so
// a caller that has read the whole answer finds the task ended.
func (worker *Worker) runTask(ctx context.Context, begun *task, options workOptions, service string, body io.Reader, w http.ResponseWriter) starter.TaskState {
	worker.mu.Lock()
	failAll := worker.faults.FailAll
	worker.mu.Unlock()
	if options.crash {
		worker.Reboot()
		return starter.Stopped
	}
	if failAll || options.fail {
		w.WriteHeader(http.StatusInternalServerError)
		worker.finish(begun, starter.Failed, http.StatusInternalServerError, nil)
		return starter.Failed
	}
	answer, ok := worker.produceAnswer(ctx, begun, options, service, body, w)
	if !ok {
		worker.finish(begun, starter.Stopped, 0, nil)
		return starter.Stopped
	}
	if buffer, isBuffer := w.(*answerBuffer); isBuffer {
		buffer.Write(answer)
		answer = buffer.Bytes()
	}
	state := worker.finish(begun, starter.Done, http.StatusOK, answer)
	if state == starter.Done {
		_, _ = w.Write(answer)
	}
	return state
}

// produceAnswer runs the task and returns the last part of its answer; earlier parts are written to w. It returns
// false if the task was stopped or a read or write failed.
func (worker *Worker) produceAnswer(ctx context.Context, begun *task, options workOptions, service string, body io.Reader, w http.ResponseWriter) ([]byte, bool) {
	if options.lines > 0 {
		return worker.streamLines(ctx, begun, options, w)
	}
	if options.echo {
		_, err := io.Copy(flushingWriter{w}, body)
		return nil, err == nil && worker.simulateWork(ctx, begun, options.duration)
	}
	hash := sha256.New()
	size, err := io.Copy(hash, body)
	if err != nil || !worker.simulateWork(ctx, begun, options.duration) {
		return nil, false
	}
	answer, err := json.Marshal(Answer{
		Service: service,
		Task:    begun.ID,
		Worker:  worker.Name,
		Bytes:   size,
		SHA256:  hex.EncodeToString(hash.Sum(nil)),
	})
	w.Header().Set("Content-Type", "application/json")
	return append(answer, '\n'), err == nil
}

// flushingWriter flushes the response after each write.
type flushingWriter struct{ http.ResponseWriter }

func (flushingWriter flushingWriter) Write(data []byte) (int, error) {
	count, err := flushingWriter.ResponseWriter.Write(data)
	if err != nil {
		return count, fmt.Errorf("write answer: %w", err)
	}
	_ = http.NewResponseController(flushingWriter.ResponseWriter).Flush()
	return count, nil
}

// streamLines writes the lines at intervals of options.duration and returns the line that ends the stream.
func (worker *Worker) streamLines(ctx context.Context, begun *task, options workOptions, w http.ResponseWriter) ([]byte, bool) {
	format := "line %d from %s\n"
	if options.events {
		format = "data: line %d from %s\n\n"
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for line := range options.lines {
		if _, err := fmt.Fprintf(flushingWriter{w}, format, line, worker.Name); err != nil {
			return nil, false
		}
		if !worker.simulateWork(ctx, begun, options.duration) {
			return nil, false
		}
	}
	return []byte("end\n"), true
}

// simulateWork waits for a run time, less the work completed before and adjusted to the worker's speed. It reports
// whether the task ran to the end; it did not if it was stopped, its lease expired or the context was canceled.
func (worker *Worker) simulateWork(ctx context.Context, begun *task, duration time.Duration) bool {
	remaining := max(0, time.Duration(float64(duration-begun.completedWork)/worker.Speed))
	until := time.Now().Add(remaining)
	for {
		worker.waitWhilePaused()
		worker.mu.Lock()
		lease := begun.leaseEnd
		running := begun.State == starter.Running
		worker.mu.Unlock()
		now := time.Now()
		if !running || !now.Before(lease) {
			return false
		}
		if !now.Before(until) {
			return true
		}
		timer := time.NewTimer(min(until.Sub(now), lease.Sub(now)))
		select {
		case <-timer.C:
		case <-begun.done:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}
