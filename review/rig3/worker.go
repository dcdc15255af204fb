package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// worker is a stand-in for a machine of the platform, on which one minion lives after the other. It keeps the page's rules on leases,
// fencing tokens and lists of runs, and starts whatever it is told to.
type worker struct {
	rig      *rig
	machine  string
	service  string
	zone     string
	rack     string
	kind     string
	cpu, mem int64
	address  string

	mu       sync.Mutex
	id       string // of the minion that lives now
	life     int
	up       bool
	draining bool
	started  time.Time
	token    int64
	leaseEnd int64 // on the minion's clock
	running  map[string]*activeRun
	highest  map[string]int
	finished [][]any
	lastEnd  int64
	changed  chan struct{}
	server   *http.Server
	speed    float64 // of its clock
	keepsID  bool    // whether each life begins under the ID of the one before
}

type activeRun struct {
	number   int
	stopping time.Time // when a stop arrived, zero before
	began    time.Time
	spec     string
}

const (
	heartbeat   = 1500 * time.Millisecond
	maxLeaseMS  = 10000
	lapseTick   = 10 * time.Millisecond
	clientMaxMS = 2000
	stopTime    = 300 * time.Millisecond // a third of what a stop may take
)

// begin starts a life of the machine's minion.
func (worker *worker) begin() error {
	listener, err := net.Listen("tcp", worker.address)
	if err != nil {
		return err
	}
	worker.mu.Lock()
	worker.life++
	if !worker.keepsID || worker.id == "" {
		worker.id = worker.machine + "-" + string(rune('a'+worker.life-1))
	}
	worker.up, worker.draining, worker.started = true, false, time.Now()
	worker.token, worker.leaseEnd, worker.lastEnd = 0, 0, 0
	worker.running, worker.highest, worker.finished = map[string]*activeRun{}, map[string]int{}, nil
	worker.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", worker.serve(worker.start))
	mux.HandleFunc("POST /-/run-stop", worker.serve(worker.stop))
	mux.HandleFunc("POST /-/hold", worker.serve(worker.hold))
	worker.server = &http.Server{Handler: mux}
	server, id, life := worker.server, worker.id, worker.life
	worker.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go worker.announce(id, life)
	go worker.tick(life)
	worker.rig.log("minion %s of machine %s is up", id, worker.machine)
	return nil
}

// crash ends the life of the minion without a word. Its entry leaves the store after three heartbeats.
func (worker *worker) crash() {
	worker.mu.Lock()
	id := worker.id
	worker.up = false
	for task, run := range worker.running {
		worker.rig.runEnded(worker, task, run.number, "lost in the crash")
	}
	worker.running = map[string]*activeRun{}
	server := worker.server
	close(worker.changed)
	worker.changed = make(chan struct{})
	worker.mu.Unlock()
	_ = server.Close()
	worker.rig.log("minion %s of machine %s crashes", id, worker.machine)
	time.AfterFunc(3*heartbeat, func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		if !worker.lives(id) {
			worker.rig.store.put("keyed.servers", id, nil)
		}
	})
}

// lives reports whether the minion with an id lives.
func (worker *worker) lives(id string) bool { return worker.up && worker.id == id }

// livesOn reports whether a life of the machine's minion goes on.
func (worker *worker) livesOn(life int) bool { return worker.up && worker.life == life }

func (worker *worker) announce(id string, life int) {
	for seq := 1; ; seq++ {
		worker.mu.Lock()
		if !worker.livesOn(life) {
			worker.mu.Unlock()
			return
		}
		state := "ready"
		if worker.draining {
			state = "draining"
		}
		entry, _ := json.Marshal(map[string]any{
			"service": worker.service, "address": worker.address, "zone": worker.zone, "version": "1", "slots": 8, "state": state, "coldLeftMs": 0, "seq": seq,
			"capacity": map[string]int64{"cpu": worker.cpu, "memMb": worker.mem, "gpu": 0}, "labels": []string{worker.kind, worker.rack}, "machine": worker.machine,
			"born": worker.started.UnixMilli(),
		})
		worker.mu.Unlock()
		worker.rig.store.put("keyed.servers", id, entry)
		time.Sleep(heartbeat)
	}
}

// tick ends tasks whose time has come, and all of them when the lease has expired.
func (worker *worker) tick(life int) {
	for {
		time.Sleep(lapseTick)
		worker.mu.Lock()
		if !worker.livesOn(life) {
			worker.mu.Unlock()
			return
		}
		lapsed := worker.clock() >= worker.leaseEnd
		for task, run := range worker.running {
			last := worker.rig.duration(run.spec)
			switch {
			case lapsed:
				worker.end(task, "lapsed")
			case !run.stopping.IsZero() && time.Since(run.stopping) >= stopTime:
				worker.end(task, "stopped")
			case last > 0 && time.Since(run.began) >= last:
				worker.end(task, "done")
			}
		}
		worker.mu.Unlock()
	}
}

func (worker *worker) clock() int64 {
	return int64(float64(time.Since(worker.started).Milliseconds()) * worker.speed)
}

func (worker *worker) end(task, how string) {
	run := worker.running[task]
	delete(worker.running, task)
	worker.highest[task] = max(worker.highest[task], run.number)
	worker.lastEnd++
	worker.finished = append(worker.finished, []any{worker.lastEnd, task, run.number, how, ""})
	worker.rig.runEnded(worker, task, run.number, how)
	close(worker.changed)
	worker.changed = make(chan struct{})
}

type call struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
}

func (worker *worker) serve(execute func(http.ResponseWriter, *http.Request, call)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body call
		if json.NewDecoder(request.Body).Decode(&body) != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		worker.mu.Lock()
		defer worker.mu.Unlock()
		if !worker.up {
			panic(http.ErrAbortHandler)
		}
		if expected := request.Header.Get("X-Ebonyshunt-Expect-Instance"); expected != "" && expected != worker.id {
			worker.answer(writer, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		if body.FencingToken < worker.token {
			worker.answer(writer, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		worker.token = body.FencingToken
		execute(writer, request, body)
	}
}

func (worker *worker) answer(writer http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = worker.clock(), worker.started.UnixMilli()
	reply(writer, status, body)
}

func (worker *worker) extend(deadlineMS int64) {
	worker.leaseEnd = max(worker.leaseEnd, min(deadlineMS, worker.clock()+maxLeaseMS))
}

func (worker *worker) start(writer http.ResponseWriter, _ *http.Request, body call) {
	worker.extend(body.DeadlineMS)
	run := worker.running[body.Task]
	switch {
	case run != nil && run.number == body.Run:
	case body.Run <= worker.highest[body.Task]:
		worker.answer(writer, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case body.DeadlineMS <= worker.clock():
		worker.answer(writer, http.StatusConflict, map[string]any{"reason": "late"})
		return
	default:
		worker.running[body.Task] = &activeRun{number: body.Run, began: time.Now(), spec: body.Spec}
		worker.rig.runStarted(worker, body.Task, body.Run, body.Spec)
	}
	worker.answer(writer, http.StatusOK, map[string]any{})
}

func (worker *worker) stop(writer http.ResponseWriter, _ *http.Request, body call) {
	worker.highest[body.Task] = max(worker.highest[body.Task], body.Run)
	if run := worker.running[body.Task]; run != nil && run.number == body.Run && run.stopping.IsZero() {
		run.stopping = time.Now()
	}
	worker.answer(writer, http.StatusOK, map[string]any{})
}

func (worker *worker) hold(writer http.ResponseWriter, request *http.Request, body call) {
	if body.DeadlineMS > 0 {
		worker.extend(body.DeadlineMS)
	}
	for len(worker.finished) > 0 && worker.finished[0][0].(int64) <= body.AckCursor {
		worker.rig.log("minion %s: the end of %v run %v is acknowledged", worker.id, worker.finished[0][1], worker.finished[0][2])
		worker.finished = worker.finished[1:]
	}
	until, life := time.Now().Add(time.Duration(min(body.WaitMS, clientMaxMS))*time.Millisecond), worker.life
	for len(worker.finished) == 0 && time.Now().Before(until) {
		changed := worker.changed
		worker.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-request.Context().Done():
		}
		worker.mu.Lock()
		if !worker.livesOn(life) || request.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for task, run := range worker.running {
		percent := 100
		if last := worker.rig.duration(run.spec); last > 0 {
			percent = min(99, int(100*time.Since(run.began)/last))
		}
		running = append(running, []any{task, run.number, "", percent, 0})
	}
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	finished := worker.finished[:min(len(worker.finished), 500)]
	if finished == nil {
		finished = [][]any{}
	}
	worker.answer(writer, http.StatusOK, map[string]any{"running": running, "finished": finished})
}
