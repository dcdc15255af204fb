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

// Answer is what a task that neither echoes nor streams answers.
type Answer struct {
	Service string `json:"service"`
	Task    string `json:"task"`
	Worker  string `json:"worker"`
	Bytes   int64  `json:"bytes"`
	SHA256  string `json:"sha256"`
}

// work is what the query of a request asks of the stand-in.
type work struct {
	span  time.Duration // workMS
	lines int           // lines of a stream, at intervals of span
	fail  bool
	echo  bool
	crash bool

	events bool // the lines are server-sent events
}

func parseWork(query url.Values) work {
	span, _ := strconv.ParseInt(query.Get("workMS"), 10, 64)
	lines, _ := strconv.Atoi(query.Get("lines"))
	return work{
		span:  time.Duration(span) * time.Millisecond,
		lines: lines,
		fail:  query.Has("fail"),
		echo:  query.Has("echo"),
		crash: query.Has("crash"),

		events: query.Has("events"),
	}
}

const mostAsyncBody = 1 << 20

// runAsync answers at once and keeps the task's answer.
func (worker *Worker) runAsync(w http.ResponseWriter, r *http.Request, begun *task) {
	body, err := io.ReadAll(io.LimitReader(r.Body, mostAsyncBody))
	if err != nil {
		worker.finish(begun, starter.Failed, http.StatusBadRequest, nil)
		return
	}
	asked := parseWork(r.URL.Query())
	service := chi.URLParam(r, "service")
	worker.wait.Go(func() {
		worker.runTask(context.Background(), begun, asked, service, bytes.NewReader(body), &keeper{header: http.Header{}})
	})
	worker.pass()
	w.WriteHeader(http.StatusAccepted)
}

// keeper gathers an answer in memory.
type keeper struct {
	bytes.Buffer
	header http.Header
	status int
}

// Header returns the headers of the answer.
func (keeper *keeper) Header() http.Header { return keeper.header }

// WriteHeader notes the status of the answer.
func (keeper *keeper) WriteHeader(status int) { keeper.status = status }

func (worker *Worker) runAttached(w http.ResponseWriter, r *http.Request, begun *task) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	state := worker.runTask(r.Context(), begun, parseWork(r.URL.Query()), chi.URLParam(r, "service"), r.Body, w)
	if state == starter.Stopped {
		panic(http.ErrAbortHandler)
	}
	worker.pass()
}

// runTask does the work and ends the task before the last byte of its answer leaves.
func (worker *Worker) runTask(ctx context.Context, begun *task, asked work, service string, body io.Reader, w http.ResponseWriter) starter.TaskState {
	worker.mu.Lock()
	failAll := worker.faults.FailAll
	worker.mu.Unlock()
	if asked.crash {
		worker.Reboot()
		return starter.Stopped
	}
	if failAll || asked.fail {
		w.WriteHeader(http.StatusInternalServerError)
		worker.finish(begun, starter.Failed, http.StatusInternalServerError, nil)
		return starter.Failed
	}
	answer, ok := worker.produce(ctx, begun, asked, service, body, w)
	if !ok {
		worker.finish(begun, starter.Stopped, 0, nil)
		return starter.Stopped
	}
	if kept, isKeeper := w.(*keeper); isKeeper {
		kept.Write(answer)
		answer = kept.Bytes()
	}
	state := worker.finish(begun, starter.Done, http.StatusOK, answer)
	if state == starter.Done {
		_, _ = w.Write(answer)
	}
	return state
}

// produce does the work and returns the last part of the answer.
func (worker *Worker) produce(ctx context.Context, begun *task, asked work, service string, body io.Reader, w http.ResponseWriter) ([]byte, bool) {
	if asked.lines > 0 {
		return worker.stream(ctx, begun, asked, w)
	}
	if asked.echo {
		_, err := io.Copy(flusher{w}, body)
		return nil, err == nil && worker.spend(ctx, begun, asked.span)
	}
	hash := sha256.New()
	size, err := io.Copy(hash, body)
	if err != nil || !worker.spend(ctx, begun, asked.span) {
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

type flusher struct{ http.ResponseWriter }

func (flusher flusher) Write(data []byte) (int, error) {
	count, err := flusher.ResponseWriter.Write(data)
	if err != nil {
		return count, fmt.Errorf("write answer: %w", err)
	}
	_ = http.NewResponseController(flusher.ResponseWriter).Flush()
	return count, nil
}

func (worker *Worker) stream(ctx context.Context, begun *task, asked work, w http.ResponseWriter) ([]byte, bool) {
	form := "line %d from %s\n"
	if asked.events {
		form = "data: line %d from %s\n\n"
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for line := range asked.lines {
		if _, err := fmt.Fprintf(flusher{w}, form, line, worker.Name); err != nil {
			return nil, false
		}
		if !worker.spend(ctx, begun, asked.span) {
			return nil, false
		}
	}
	return []byte("end\n"), true
}

// spend works for a span at the worker's speed and reports whether the lease lasted.
func (worker *Worker) spend(ctx context.Context, begun *task, span time.Duration) bool {
	left := max(0, time.Duration(float64(span-begun.resume)/worker.Speed))
	until := time.Now().Add(left)
	for {
		worker.pass()
		worker.mu.Lock()
		lease := begun.lease
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
		case <-begun.stop:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}
