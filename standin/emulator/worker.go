package emulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Worker runs tasks under leases, as the platform's workers do.
type Worker struct {
	ID       string
	Service  string
	Zone     string
	Rack     string
	Capacity Amount

	// Play tells how long a task runs and how it ends; the default ends it as done after RunTime.
	Play    func(task string, run int) (time.Duration, string)
	RunTime time.Duration

	mu       sync.Mutex
	faults   WorkerFaults
	orders   int
	born     time.Time
	token    int64
	deadline int64 // on the worker's clock, milliseconds
	running  map[string]*running
	stopped  map[string]int // highest run that ended here, by task
	ended    [][]any
	number   int64
	changed  chan struct{}
	history  []Begun
}

// Amount is what a worker has or a task takes.
type Amount struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// WorkerFaults are the ways in which a worker misbehaves; the zero value is healthy.
type WorkerFaults struct {
	LoseEvery int // one order in so many is carried out without an answer
	LateEvery int // one order in so many has no answer and is carried out after LateBy
	LateBy    time.Duration
	MuteEvery int  // one order or look in so many has no answer, and its connection stays silent
	FailAll   bool // every task fails
	Hang      bool // no task ends
}

// Begun is a run that a worker began.
type Begun struct {
	Task  string
	Run   int
	At    time.Time
	Ended time.Time // zero while it runs
	How   string
	Noted bool // its end was acknowledged
}

type running struct {
	run   int
	begun int // in the history
	timer *time.Timer
}

// NewWorker returns a worker that was started now.
func NewWorker(id, service, zone string, capacity Amount) *Worker {
	worker := &Worker{ID: id, Service: service, Zone: zone, Rack: "r-1", Capacity: capacity, RunTime: 100 * time.Millisecond}
	worker.Restart()
	return worker
}

// SetFaults replaces the faults.
func (worker *Worker) SetFaults(faults WorkerFaults) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.faults = faults
}

// Restart forgets everything, as a crash does.
func (worker *Worker) Restart() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for task, present := range worker.running {
		present.timer.Stop()
		worker.note(present, "crashed")
		delete(worker.running, task)
	}
	worker.born = time.Now()
	worker.token, worker.deadline, worker.number = 0, 0, 0
	worker.running, worker.stopped = map[string]*running{}, map[string]int{}
	worker.ended = nil
	worker.changed = make(chan struct{})
}

// History returns the runs that the worker began.
func (worker *Worker) History() []Begun {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return slices.Clone(worker.history)
}

// Entry is what the worker writes of itself to the store.
func (worker *Worker) Entry(address, state string) []byte {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return encode(map[string]any{
		"service": worker.Service, "address": address, "zone": worker.Zone, "state": state, "slots": 8, "seq": 1,
		"capacity": worker.Capacity, "labels": []string{"a", worker.Rack}, "born": worker.born.UnixMilli(), "machine": "m-" + worker.ID,
	})
}

// Handler serves the protocol.
func (worker *Worker) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/-/run-start", worker.order(worker.start))
	router.Post("/-/run-stop", worker.order(worker.stop))
	router.Post("/-/hold", worker.hold)
	return router
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

func (worker *Worker) clock() int64 { return time.Since(worker.born).Milliseconds() }

// order carries an order out under the faults.
func (worker *Worker) order(carryOut func(call) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var ordered call
		if err := json.NewDecoder(r.Body).Decode(&ordered); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		faults, count := worker.countCall(r)
		if faults.LateEvery > 0 && count%faults.LateEvery == 0 {
			time.AfterFunc(faults.LateBy, func() { worker.locked(ordered, carryOut) })
			panic(http.ErrAbortHandler)
		}
		status, reason := worker.locked(ordered, carryOut)
		if faults.LoseEvery > 0 && count%faults.LoseEvery == 0 {
			panic(http.ErrAbortHandler)
		}
		worker.answer(w, status, map[string]any{"reason": reason})
	}
}

// countCall counts an order or look, and keeps it without an answer where its turn has come.
func (worker *Worker) countCall(r *http.Request) (WorkerFaults, int) {
	worker.mu.Lock()
	worker.orders++
	faults, count := worker.faults, worker.orders
	worker.mu.Unlock()
	if faults.MuteEvery > 0 && count%faults.MuteEvery == 0 {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return faults, count
}

func (worker *Worker) locked(ordered call, carryOut func(call) (int, string)) (int, string) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.lapse()
	if ordered.FencingToken < worker.token {
		return http.StatusConflict, "fence"
	}
	worker.token = ordered.FencingToken
	return carryOut(ordered)
}

func (worker *Worker) answer(w http.ResponseWriter, status int, body map[string]any) {
	worker.mu.Lock()
	body["clockMs"], body["born"] = worker.clock(), worker.born.UnixMilli()
	worker.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(body))
}

func (worker *Worker) start(ordered call) (int, string) {
	worker.deadline = max(worker.deadline, ordered.DeadlineMS)
	if present := worker.running[ordered.Task]; present != nil && present.run == ordered.Run {
		return http.StatusOK, ""
	}
	if ordered.Run <= worker.stopped[ordered.Task] {
		return http.StatusConflict, "old"
	}
	if ordered.DeadlineMS <= worker.clock() {
		return http.StatusConflict, "late"
	}
	lasts, how := worker.RunTime, "done"
	if worker.Play != nil {
		lasts, how = worker.Play(ordered.Task, ordered.Run)
	}
	if worker.faults.FailAll {
		how = "failed"
	}
	worker.history = append(worker.history, Begun{Task: ordered.Task, Run: ordered.Run, At: time.Now()})
	made := &running{run: ordered.Run, begun: len(worker.history) - 1}
	made.timer = time.AfterFunc(lasts, func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		if worker.running[ordered.Task] == made && !worker.faults.Hang {
			worker.end(ordered.Task, how)
		}
	})
	worker.running[ordered.Task] = made
	return http.StatusOK, ""
}

func (worker *Worker) stop(ordered call) (int, string) {
	worker.stopped[ordered.Task] = max(worker.stopped[ordered.Task], ordered.Run)
	if present := worker.running[ordered.Task]; present != nil && present.run == ordered.Run {
		worker.end(ordered.Task, "stopped")
	}
	return http.StatusOK, ""
}

// end lists the end of a run; the caller holds the lock.
func (worker *Worker) end(task, how string) {
	present := worker.running[task]
	present.timer.Stop()
	delete(worker.running, task)
	worker.note(present, how)
	worker.stopped[task] = max(worker.stopped[task], present.run)
	worker.number++
	worker.ended = append(worker.ended, []any{worker.number, task, present.run, how, ""})
	close(worker.changed)
	worker.changed = make(chan struct{})
}

func (worker *Worker) note(present *running, how string) {
	worker.history[present.begun].Ended, worker.history[present.begun].How = time.Now(), how
}

// lapse ends everything once the lease is over; the caller holds the lock.
func (worker *Worker) lapse() {
	if worker.clock() < worker.deadline {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(worker.running)) {
		worker.end(task, "lapsed")
	}
}

// noted marks a run's end as acknowledged; the caller holds the lock.
func (worker *Worker) noted(task, run any) {
	for index := range worker.history {
		if begun := &worker.history[index]; begun.Task == task && begun.Run == run {
			begun.Noted = true
		}
	}
}

func (worker *Worker) hold(w http.ResponseWriter, r *http.Request) {
	var ordered call
	if err := json.NewDecoder(r.Body).Decode(&ordered); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	worker.countCall(r)
	status, reason := worker.locked(ordered, func(ordered call) (int, string) {
		worker.deadline = max(worker.deadline, ordered.DeadlineMS)
		worker.ended = slices.DeleteFunc(worker.ended, func(ended []any) bool {
			number, isNumber := ended[0].(int64)
			noted := isNumber && number <= ordered.AckCursor
			if noted {
				worker.noted(ended[1], ended[2])
			}
			return noted
		})
		return http.StatusOK, ""
	})
	if status != http.StatusOK {
		worker.answer(w, status, map[string]any{"reason": reason})
		return
	}
	limit := time.NewTimer(time.Duration(ordered.WaitMS) * time.Millisecond)
	defer limit.Stop()
	for {
		worker.mu.Lock()
		worker.lapse()
		body, changed := worker.lists(), worker.changed
		ends := len(worker.ended)
		worker.mu.Unlock()
		if ends > 0 || ordered.WaitMS == 0 {
			worker.answer(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			ordered.WaitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (worker *Worker) lists() map[string]any {
	listed := [][]any{}
	for _, task := range slices.Sorted(maps.Keys(worker.running)) {
		listed = append(listed, []any{task, worker.running[task].run, "", 50, 0})
	}
	return map[string]any{"running": listed, "finished": slices.Clone(worker.ended)}
}

// String names the worker.
func (worker *Worker) String() string { return fmt.Sprintf("worker %s", worker.ID) }
