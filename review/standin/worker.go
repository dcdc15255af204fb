package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxListedEnds     = 500
)

// amount is a capacity or size.
type amount struct {
	CPU   int64 `json:"cpu"` // thousandths of a core
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// event is what a worker saw: a start, or the end of a run.
type event struct {
	at     time.Time
	worker string
	task   string
	run    int
	how    string // "start", or how the run ended; "crash" if it was lost with its worker
}

// worker is one of the platform's workers.
type worker struct {
	rig      *rig
	id       string
	zone     string
	capacity amount
	address  string

	mu       sync.Mutex
	server   *http.Server
	dark     chan struct{} // closed while calls get an answer; calls wait for it otherwise
	born     time.Time
	token    int64
	leaseEnd int64 // on the worker's clock, in milliseconds
	running  map[string]*run
	highest  map[string]int // highest run that was stopped or ended here, by task
	ends     [][]any
	lastEnd  int64
	changed  chan struct{}
}

type run struct {
	number int
	began  time.Time
	takes  time.Duration // 0 for a run that lasts
	timer  *time.Timer
}

func (rig *rig) newWorker(id, zone, address string, capacity amount) (*worker, error) {
	worker := &worker{rig: rig, id: id, zone: zone, capacity: capacity, address: address}
	return worker, worker.boot()
}

// boot starts a life of the worker.
func (worker *worker) boot() error {
	listener, err := net.Listen("tcp", worker.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", worker.serveStart)
	mux.HandleFunc("POST /-/run-stop", worker.serveStop)
	mux.HandleFunc("POST /-/hold", worker.serveHold)
	server := &http.Server{Handler: worker.expecting(mux), ReadHeaderTimeout: time.Minute}
	worker.mu.Lock()
	worker.server, worker.born = server, time.Now()
	worker.token, worker.leaseEnd, worker.lastEnd = 0, 0, 0
	worker.running, worker.highest, worker.ends = map[string]*run{}, map[string]int{}, nil
	worker.changed, worker.dark = make(chan struct{}), closedChannel()
	worker.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	worker.announce()
	go worker.beat(server)
	return nil
}

func closedChannel() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}

// beat writes the worker's entry to the store at intervals, as long as this life lasts.
func (worker *worker) beat(server *http.Server) {
	for {
		time.Sleep(heartbeatInterval)
		worker.mu.Lock()
		current, silent := worker.server == server, worker.isDark()
		worker.mu.Unlock()
		if !current {
			return
		}
		if !silent {
			worker.announce()
		}
	}
}

func (worker *worker) announce() {
	worker.rig.store.put("keyed.servers", worker.id, map[string]any{
		"service": serviceName, "address": worker.address, "zone": worker.zone, "version": "1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "seq": time.Now().UnixMilli(), "capacity": worker.capacity, "labels": []string{"a", "r1-1"},
		"machine": "m-" + worker.id, "born": worker.born.UnixMilli(),
	})
}

// loseForGood lets the worker fall silent for good: it runs nothing more and answers no call, and its entry is removed after three missed
// heartbeats.
func (worker *worker) loseForGood() {
	worker.mu.Lock()
	for task, lost := range worker.running {
		lost.timer.Stop()
		worker.rig.note(event{time.Now(), worker.id, task, lost.number, "crash"})
	}
	worker.running = map[string]*run{}
	worker.dark = make(chan struct{})
	worker.mu.Unlock()
	time.AfterFunc(3*heartbeatInterval, func() { worker.rig.store.put("keyed.servers", worker.id, nil) })
}

func (worker *worker) isDark() bool {
	select {
	case <-worker.dark:
		return false
	default:
		return true
	}
}

// expecting refuses calls for another worker, and answers none while the worker is dark.
func (worker *worker) expecting(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		worker.mu.Lock()
		dark := worker.dark
		worker.mu.Unlock()
		select {
		case <-dark:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if expected := r.Header.Get("X-Ebonyshunt-Expect-Instance"); expected != "" && expected != worker.id {
			answer(w, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		handler.ServeHTTP(w, r)
	})
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
}

func (worker *worker) clock() int64 { return time.Since(worker.born).Milliseconds() }

// reply answers with the worker's clock. The caller holds worker.mu.
func (worker *worker) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = worker.clock(), worker.born.UnixMilli()
	answer(w, status, body)
}

// admit decodes an order and checks its token. It returns with worker.mu held if it reports true.
func (worker *worker) admit(w http.ResponseWriter, r *http.Request) (order, bool) {
	var order order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return order, false
	}
	worker.mu.Lock()
	worker.expire()
	if order.FencingToken < worker.token {
		worker.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		worker.mu.Unlock()
		return order, false
	}
	worker.token = order.FencingToken
	return order, true
}

// extend lengthens the lease. The caller holds worker.mu.
func (worker *worker) extend(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	worker.leaseEnd = max(worker.leaseEnd, min(deadlineMS, worker.clock()+holdMax.Milliseconds()))
	born := worker.born
	time.AfterFunc(time.Duration(worker.leaseEnd-worker.clock()+1)*time.Millisecond, func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		if worker.born.Equal(born) {
			worker.expire()
		}
	})
}

// expire ends everything if the lease has expired. The caller holds worker.mu.
func (worker *worker) expire() {
	if worker.clock() < worker.leaseEnd {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(worker.running)) {
		worker.end(task, "lapsed")
	}
}

// end ends a run. The caller holds worker.mu.
func (worker *worker) end(task, how string) {
	ended := worker.running[task]
	ended.timer.Stop()
	delete(worker.running, task)
	worker.highest[task] = max(worker.highest[task], ended.number)
	worker.lastEnd++
	worker.ends = append(worker.ends, []any{worker.lastEnd, task, ended.number, how, ""})
	worker.rig.note(event{time.Now(), worker.id, task, ended.number, how})
	close(worker.changed)
	worker.changed = make(chan struct{})
}

func (worker *worker) serveStart(w http.ResponseWriter, r *http.Request) {
	order, admitted := worker.admit(w, r)
	if !admitted {
		return
	}
	defer worker.mu.Unlock()
	worker.extend(order.DeadlineMS)
	present := worker.running[order.Task]
	switch {
	case present != nil && present.number == order.Run:
		worker.reply(w, http.StatusOK, map[string]any{})
		return
	case present != nil || order.Run <= worker.highest[order.Task]:
		worker.reply(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case order.DeadlineMS <= worker.clock():
		worker.reply(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	begun := &run{number: order.Run, began: time.Now(), takes: worker.rig.takes(order.Task)}
	length := begun.takes
	if length == 0 {
		length = time.Hour
	}
	worker.running[order.Task] = begun
	begun.timer = time.AfterFunc(length, func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		if worker.running[order.Task] == begun {
			worker.end(order.Task, "done")
		}
	})
	worker.rig.note(event{time.Now(), worker.id, order.Task, order.Run, "start"})
	worker.reply(w, http.StatusOK, map[string]any{})
}

// serveStop stops a run, which takes stopTakes.
func (worker *worker) serveStop(w http.ResponseWriter, r *http.Request) {
	order, admitted := worker.admit(w, r)
	if !admitted {
		return
	}
	defer worker.mu.Unlock()
	worker.highest[order.Task] = max(worker.highest[order.Task], order.Run)
	if stopped := worker.running[order.Task]; stopped != nil && stopped.number == order.Run {
		time.AfterFunc(worker.rig.stopTakes, func() {
			worker.mu.Lock()
			defer worker.mu.Unlock()
			if worker.running[order.Task] == stopped {
				worker.end(order.Task, "stopped")
			}
		})
	}
	worker.reply(w, http.StatusOK, map[string]any{})
}

func (worker *worker) serveHold(w http.ResponseWriter, r *http.Request) {
	order, admitted := worker.admit(w, r)
	if !admitted {
		return
	}
	worker.extend(order.DeadlineMS)
	worker.ends = slices.DeleteFunc(worker.ends, func(ended []any) bool {
		number, _ := ended[0].(int64)
		return number <= order.AckCursor
	})
	timer := time.NewTimer(time.Duration(order.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for over := order.WaitMS == 0; len(worker.ends) == 0 && !over; {
		changed := worker.changed
		worker.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
		worker.mu.Lock()
	}
	listed := [][]any{}
	for _, task := range slices.Sorted(maps.Keys(worker.running)) {
		listed = append(listed, []any{task, worker.running[task].number, "", worker.running[task].percent(), 0})
	}
	worker.reply(w, http.StatusOK, map[string]any{"running": listed, "finished": slices.Clone(worker.ends[:min(len(worker.ends), maxListedEnds)])})
	worker.mu.Unlock()
}

// percent returns the progress of a run: 100 for one that lasts, once it has started up.
func (run *run) percent() int {
	if run.takes == 0 {
		return min(100, int(time.Since(run.began).Milliseconds()/5))
	}
	return min(99, int(100*time.Since(run.began)/run.takes))
}

// jobOf returns the ID of the job of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
