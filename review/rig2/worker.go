package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a minion: a list of runs under one lease, a fencing token, and numbered ends.
type worker struct {
	id, service, zone, rack string
	rig                     *rig
	listener                net.Listener
	// plan returns how long a run works and how it ends.
	plan func(task string, run int) (time.Duration, string)

	mu       sync.Mutex
	down     bool
	cut      bool // whether no call reaches it and no answer leaves it
	born     time.Time
	seq      int64
	token    int64
	leaseEnd int64 // on the worker's clock
	running  map[string]*run
	highest  map[string]int // highest run that ended or was stopped here, by task
	ends     [][]any
	endCount int64
	changed  chan struct{}
}

type run struct {
	number int
	began  time.Time
	length time.Duration
	timer  *time.Timer
}

const (
	heartbeat = 1500 * time.Millisecond
	maxLease  = 10 * time.Second
)

func (rig *rig) newWorker(id, service, zone, rack string, plan func(string, int) (time.Duration, string)) *worker {
	created := &worker{id: id, service: service, zone: zone, rack: rack, rig: rig, plan: plan, listener: listen()}
	created.begin()
	server := &http.Server{Handler: created}
	go func() { _ = server.Serve(created.listener) }()
	go created.checkLease()
	rig.workers = append(rig.workers, created)
	return created
}

func (worker *worker) begin() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.down, worker.born = false, time.Now()
	worker.token, worker.leaseEnd, worker.ends, worker.endCount, worker.seq = 0, 0, nil, 0, 0
	worker.running, worker.highest, worker.changed = map[string]*run{}, map[string]int{}, make(chan struct{})
	go worker.register(worker.born)
}

// register writes the worker's entry while this life of it lasts.
func (worker *worker) register(born time.Time) {
	for {
		worker.mu.Lock()
		if worker.down || worker.born != born {
			worker.mu.Unlock()
			return
		}
		worker.seq++
		entry := map[string]any{
			"service": worker.service, "address": worker.listener.Addr().String(), "zone": worker.zone, "version": "v1", "slots": 8,
			"state": "ready", "seq": worker.seq, "machine": "m-" + worker.id, "labels": []string{"a", worker.rack}, "born": born.UnixMilli(),
			"capacity": map[string]int{"cpu": 32000, "memMb": 65536},
		}
		worker.mu.Unlock()
		body, _ := json.Marshal(entry)
		worker.rig.store.put("keyed.servers", worker.id, body)
		time.Sleep(heartbeat)
	}
}

// crash ends the worker's process and all its runs at once.
func (worker *worker) crash() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.down = true
	for task, run := range worker.running {
		run.timer.Stop()
		worker.rig.record("run %s.%d on %s lost in a crash after %v", task, run.number, worker.id, time.Since(run.began).Round(time.Millisecond))
	}
	worker.running = map[string]*run{}
}

func (worker *worker) clock() int64 { return time.Since(worker.born).Milliseconds() + 1 }

func (worker *worker) checkLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		worker.mu.Lock()
		if !worker.down && worker.leaseEnd > 0 && worker.clock() > worker.leaseEnd {
			for task, run := range worker.running {
				run.timer.Stop()
				worker.end(task, run, "lapsed")
			}
		}
		worker.mu.Unlock()
	}
}

func (worker *worker) finish(task string, run *run, how string) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.end(task, run, how)
}

// end records the end of a run. The caller holds the lock.
func (worker *worker) end(task string, run *run, how string) {
	if worker.running[task] != run {
		return
	}
	delete(worker.running, task)
	worker.highest[task] = max(worker.highest[task], run.number)
	worker.endCount++
	worker.ends = append(worker.ends, []any{worker.endCount, task, run.number, how, ""})
	worker.rig.record("run %s.%d on %s ended %s", task, run.number, worker.id, how)
	close(worker.changed)
	worker.changed = make(chan struct{})
}

type call struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
}

// ServeHTTP answers orders and polls. A worker that is down breaks the connection.
func (worker *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var call call
	_ = json.NewDecoder(request.Body).Decode(&call)
	worker.mu.Lock()
	defer worker.mu.Unlock()
	born := worker.born
	if worker.cut {
		worker.awaitHeal(request)
		hangUp(writer)
		return
	}
	if worker.down {
		hangUp(writer)
		return
	}
	if request.Header.Get("X-Ebonyshunt-Expect-Instance") != worker.id {
		worker.reply(writer, http.StatusMisdirectedRequest, "")
		return
	}
	if call.FencingToken < worker.token {
		worker.reply(writer, http.StatusConflict, "fence")
		return
	}
	worker.token = call.FencingToken
	switch request.URL.Path {
	case "/-/run-start":
		worker.start(writer, call)
	case "/-/run-stop":
		worker.highest[call.Task] = max(worker.highest[call.Task], call.Run)
		if run := worker.running[call.Task]; run != nil && run.number <= call.Run {
			run.timer.Stop()
			worker.end(call.Task, run, "stopped")
		}
		worker.reply(writer, http.StatusOK, "")
	case "/-/hold":
		worker.hold(writer, request, call, born)
	default:
		worker.reply(writer, http.StatusNotFound, "")
	}
}

// setCut cuts the worker off from all hosts, or ends that. What it runs goes on.
func (worker *worker) setCut(cut bool) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.cut = cut
}

// awaitHeal waits until the worker is not cut off any more, or its caller has given up. The caller holds the lock.
func (worker *worker) awaitHeal(request *http.Request) {
	for worker.cut && request.Context().Err() == nil {
		worker.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		worker.mu.Lock()
	}
}

func hangUp(writer http.ResponseWriter) {
	if conn, _, err := writer.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func (worker *worker) reply(writer http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clockMs": worker.clock(), "born": worker.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	data, _ := json.Marshal(body)
	answer(writer, status, string(data))
}

func (worker *worker) extendLease(deadline int64) {
	worker.leaseEnd = max(worker.leaseEnd, min(deadline, worker.clock()+maxLease.Milliseconds()))
}

func (worker *worker) start(writer http.ResponseWriter, call call) {
	current := worker.running[call.Task]
	switch {
	case current != nil && current.number == call.Run:
		worker.extendLease(call.DeadlineMS)
		worker.reply(writer, http.StatusOK, "")
		return
	case call.Run <= worker.highest[call.Task] || current != nil:
		worker.extendLease(call.DeadlineMS)
		worker.reply(writer, http.StatusConflict, "old")
		return
	case call.DeadlineMS <= worker.clock():
		worker.reply(writer, http.StatusConflict, "late")
		return
	}
	worker.extendLease(call.DeadlineMS)
	started := &run{number: call.Run, began: time.Now(), length: gangWork}
	if worker.rig.gangs != nil {
		started.timer = time.NewTimer(time.Hour)
		worker.rig.gangs.join(call.Run, func(how string) { worker.finish(call.Task, started, how) })
	} else {
		length, how := worker.plan(call.Task, call.Run)
		started.length = length
		started.timer = time.AfterFunc(length, func() { worker.finish(call.Task, started, how) })
	}
	worker.running[call.Task] = started
	worker.rig.record("run %s.%d on %s started", call.Task, call.Run, worker.id)
	worker.rig.noteStart(call.Task, call.Run)
	worker.reply(writer, http.StatusOK, "")
}

func (worker *worker) hold(writer http.ResponseWriter, request *http.Request, call call, born time.Time) {
	for len(worker.ends) > 0 && worker.ends[0][0].(int64) <= call.AckCursor {
		worker.ends = worker.ends[1:]
	}
	if call.DeadlineMS > 0 {
		worker.extendLease(call.DeadlineMS)
	}
	if len(worker.ends) == 0 && call.WaitMS > 0 {
		changed := worker.changed
		worker.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(call.WaitMS) * time.Millisecond):
		case <-request.Context().Done():
		}
		worker.mu.Lock()
		if worker.cut {
			worker.awaitHeal(request)
			hangUp(writer)
			return
		}
		if worker.down || worker.born != born {
			hangUp(writer)
			return
		}
	}
	running := [][]any{}
	for task, run := range worker.running {
		percent := min(100, int(100*time.Since(run.began)/max(run.length, 1)))
		running = append(running, []any{task, run.number, "", percent, 0})
	}
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	ends := worker.ends
	if ends == nil {
		ends = [][]any{}
	}
	data, _ := json.Marshal(map[string]any{"clockMs": worker.clock(), "born": worker.born.UnixMilli(), "running": running, "finished": ends})
	answer(writer, http.StatusOK, string(data))
}

// runOf returns the worker on which a task of a job runs, and since when, or nil.
func (rig *rig) runOf(job string) (*worker, time.Duration) {
	for _, worker := range rig.workers {
		worker.mu.Lock()
		for task, run := range worker.running {
			if strings.HasPrefix(task, job+".") {
				age := time.Since(run.began)
				worker.mu.Unlock()
				return worker, age
			}
		}
		worker.mu.Unlock()
	}
	return nil, 0
}

func (rig *rig) noteStart(task string, number int) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.startedTasks[task] = max(rig.startedTasks[task], number)
}

// started reports whether any run of a task was started.
func (rig *rig) started(task string) bool {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	return rig.startedTasks[task] > 0
}

// loopback returns a loopback address that other rigs on the machine do not use.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+(pid>>14)&63, 1+(pid>>7)&127, 1+pid&127)
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		fatal("listen: %v", err)
	}
	return listener
}

func workerID(service string, number int) string { return fmt.Sprintf("i-%s-%02d", service, number) }
