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
func (w *worker) begin() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.life++
	if !w.keepsID || w.id == "" {
		w.id = w.machine + "-" + string(rune('a'+w.life-1))
	}
	w.up, w.draining, w.started = true, false, time.Now()
	w.token, w.leaseEnd, w.lastEnd = 0, 0, 0
	w.running, w.highest, w.finished = map[string]*activeRun{}, map[string]int{}, nil
	w.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.serve(w.start))
	mux.HandleFunc("POST /-/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /-/hold", w.serve(w.hold))
	w.server = &http.Server{Handler: mux}
	server, id, life := w.server, w.id, w.life
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.announce(id, life)
	go w.tick(life)
	w.rig.log("minion %s of machine %s is up", id, w.machine)
	return nil
}

// crash ends the life of the minion without a word. Its entry leaves the store after three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	id := w.id
	w.up = false
	for task, run := range w.running {
		w.rig.runEnded(w, task, run.number, "lost in the crash")
	}
	w.running = map[string]*activeRun{}
	server := w.server
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	_ = server.Close()
	w.rig.log("minion %s of machine %s crashes", id, w.machine)
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.lives(id) {
			w.rig.store.put("keyed.servers", id, nil)
		}
	})
}

// lives reports whether the minion with an id lives.
func (w *worker) lives(id string) bool { return w.up && w.id == id }

// livesOn reports whether a life of the machine's minion goes on.
func (w *worker) livesOn(life int) bool { return w.up && w.life == life }

func (w *worker) announce(id string, life int) {
	for seq := 1; ; seq++ {
		w.mu.Lock()
		if !w.livesOn(life) {
			w.mu.Unlock()
			return
		}
		state := "ready"
		if w.draining {
			state = "draining"
		}
		entry, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": state, "coldLeftMs": 0, "seq": seq,
			"capacity": map[string]int64{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{w.kind, w.rack}, "machine": w.machine,
			"born": w.started.UnixMilli(),
		})
		w.mu.Unlock()
		w.rig.store.put("keyed.servers", id, entry)
		time.Sleep(heartbeat)
	}
}

// tick ends tasks whose time has come, and all of them when the lease has expired.
func (w *worker) tick(life int) {
	for {
		time.Sleep(lapseTick)
		w.mu.Lock()
		if !w.livesOn(life) {
			w.mu.Unlock()
			return
		}
		lapsed := w.clock() >= w.leaseEnd
		for task, run := range w.running {
			last := w.rig.duration(run.spec)
			switch {
			case lapsed:
				w.end(task, "lapsed")
			case !run.stopping.IsZero() && time.Since(run.stopping) >= stopTime:
				w.end(task, "stopped")
			case last > 0 && time.Since(run.began) >= last:
				w.end(task, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) clock() int64 { return int64(float64(time.Since(w.started).Milliseconds()) * w.speed) }

func (w *worker) end(task, how string) {
	run := w.running[task]
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], run.number)
	w.lastEnd++
	w.finished = append(w.finished, []any{w.lastEnd, task, run.number, how, ""})
	w.rig.runEnded(w, task, run.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
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

func (w *worker) serve(execute func(http.ResponseWriter, *http.Request, call)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body call
		if json.NewDecoder(request.Body).Decode(&body) != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up {
			panic(http.ErrAbortHandler)
		}
		if expected := request.Header.Get("X-Ebonyshunt-Expect-Instance"); expected != "" && expected != w.id {
			w.answer(writer, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		if body.FencingToken < w.token {
			w.answer(writer, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		w.token = body.FencingToken
		execute(writer, request, body)
	}
}

func (w *worker) answer(writer http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = w.clock(), w.started.UnixMilli()
	reply(writer, status, body)
}

func (w *worker) extend(deadlineMS int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadlineMS, w.clock()+maxLeaseMS))
}

func (w *worker) start(writer http.ResponseWriter, _ *http.Request, body call) {
	w.extend(body.DeadlineMS)
	run := w.running[body.Task]
	switch {
	case run != nil && run.number == body.Run:
	case body.Run <= w.highest[body.Task]:
		w.answer(writer, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case body.DeadlineMS <= w.clock():
		w.answer(writer, http.StatusConflict, map[string]any{"reason": "late"})
		return
	default:
		w.running[body.Task] = &activeRun{number: body.Run, began: time.Now(), spec: body.Spec}
		w.rig.runStarted(w, body.Task, body.Run, body.Spec)
	}
	w.answer(writer, http.StatusOK, map[string]any{})
}

func (w *worker) stop(writer http.ResponseWriter, _ *http.Request, body call) {
	w.highest[body.Task] = max(w.highest[body.Task], body.Run)
	if run := w.running[body.Task]; run != nil && run.number == body.Run && run.stopping.IsZero() {
		run.stopping = time.Now()
	}
	w.answer(writer, http.StatusOK, map[string]any{})
}

func (w *worker) hold(writer http.ResponseWriter, request *http.Request, body call) {
	if body.DeadlineMS > 0 {
		w.extend(body.DeadlineMS)
	}
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= body.AckCursor {
		w.rig.log("minion %s: the end of %v run %v is acknowledged", w.id, w.finished[0][1], w.finished[0][2])
		w.finished = w.finished[1:]
	}
	until, life := time.Now().Add(time.Duration(min(body.WaitMS, clientMaxMS))*time.Millisecond), w.life
	for len(w.finished) == 0 && time.Now().Before(until) {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-request.Context().Done():
		}
		w.mu.Lock()
		if !w.livesOn(life) || request.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for task, run := range w.running {
		percent := 100
		if last := w.rig.duration(run.spec); last > 0 {
			percent = min(99, int(100*time.Since(run.began)/last))
		}
		running = append(running, []any{task, run.number, "", percent, 0})
	}
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	finished := w.finished[:min(len(w.finished), 500)]
	if finished == nil {
		finished = [][]any{}
	}
	w.answer(writer, http.StatusOK, map[string]any{"running": running, "finished": finished})
}
