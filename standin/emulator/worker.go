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

// Worker is a stand-in for one of the platform's workers, which run tasks under a lease.
type Worker struct {
	ID       string
	Service  string
	Zone     string
	Rack     string
	Capacity Amount

	// Simulate returns how long a run takes and its outcome. If nil, each run takes RunTime and is Done.
	Simulate func(task string, run int) (time.Duration, string)
	RunTime  time.Duration
	// CrashDowntime is how long the worker is away after a run whose outcome is Crash.
	CrashDowntime time.Duration

	MaxLease  time.Duration // longer leases are shortened to this
	ClockRate float64       // speed of the worker's clock, 1 for a correct one

	mu              sync.Mutex
	downUntil       time.Time // when the worker is back after a crash
	left            bool
	leavesAt        time.Time // when the worker may leave at the earliest, zero while it does not drain
	faults          WorkerFaults
	calls           int                   // orders and polls received
	born            time.Time             // start of the worker's process
	fencingToken    int64                 // highest token received
	leaseEndMS      int64                 // on the worker's clock
	leaseTimer      *time.Timer           // ends the runs at the end of the lease
	running         map[string]*activeRun // by task
	highestEndedRun map[string]int        // highest run that ended or was stopped here, by task
	pendingEnds     [][]any               // ended runs that are not acknowledged: number, task, run, outcome, and an empty text
	lastEndNumber   int64
	changed         chan struct{} // closed and replaced when a run ends
	history         []RunRecord   // of all runs, across restarts
}

// Crash is the outcome of a simulated run that crashes its worker instead of ending.
const Crash = "crash"

// Amount is the capacity of a worker: CPU in thousandths of a core, memory in MB and a number of accelerators.
type Amount struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// WorkerFaults configures the faults that a worker injects. The zero value injects none; so does a period of 0.
type WorkerFaults struct {
	LoseEvery int // every LoseEvery-th order is carried out, but its connection closes without a response
	LateEvery int // every LateEvery-th order is carried out after LateBy, without a response
	LateBy    time.Duration
	MuteEvery int  // every MuteEvery-th order or poll gets no response, and its connection stays open
	FailAll   bool // every task fails
	Hang      bool // no task ends by itself
}

// RunRecord describes one run that a worker began.
type RunRecord struct {
	Task         string
	Run          int
	At           time.Time // start of the run
	Ended        time.Time // zero while the run is active
	Outcome      string    // empty while the run is active
	Acknowledged bool      // a poll acknowledged the run's end before the lease expired
	Expired      bool      // the lease expired after the run's end and before a poll acknowledged it
}

type activeRun struct {
	number       int
	historyIndex int         // of its record in Worker.history
	timer        *time.Timer // ends the run
	began        time.Time
	duration     time.Duration
}

// percent returns the progress of a run. A run that hangs stays below 100.
func (activeRun *activeRun) percent() int {
	return min(99, int(100*time.Since(activeRun.began)/max(activeRun.duration, 1)))
}

const defaultMaxLease = 10 * time.Second

// NewWorker returns a worker that has just started, without a lease.
func NewWorker(id, service, zone string, capacity Amount) *Worker {
	worker := &Worker{ID: id, Service: service, Zone: zone, Rack: "r-1", Capacity: capacity, RunTime: 100 * time.Millisecond, MaxLease: defaultMaxLease, ClockRate: 1}
	worker.leaseTimer = time.AfterFunc(defaultMaxLease, worker.checkLease)
	worker.Restart()
	return worker
}

// SetFaults replaces the injected faults.
func (worker *Worker) SetFaults(faults WorkerFaults) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.faults = faults
}

// Restart simulates a crash and restart: all runs end as Crashed, and all state but the history is discarded.
func (worker *Worker) Restart() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.restart()
}

// crash ends all runs; the worker is back as a new incarnation after CrashDowntime. The caller holds the lock.
func (worker *Worker) crash() {
	worker.restart()
	worker.downUntil = time.Now().Add(worker.CrashDowntime)
	time.AfterFunc(worker.CrashDowntime, worker.Restart)
}

// Drain announces that the worker will leave, at the earliest after the given time: its entries are in the state "draining"
// from now on.
func (worker *Worker) Drain(remaining time.Duration) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.leavesAt = time.Now().Add(remaining)
}

// Leave ends the worker's process and all its runs for good.
func (worker *Worker) Leave() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.restart()
	worker.left = true
}

// Down reports whether the worker has left, or has crashed and is not back yet. It then answers no calls.
func (worker *Worker) Down() bool {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.isDown()
}

// isDown is Down for callers that hold the lock.
func (worker *Worker) isDown() bool { return worker.left || time.Now().Before(worker.downUntil) }

// restart is Restart for callers that hold the lock.
func (worker *Worker) restart() {
	for task, run := range worker.running {
		run.timer.Stop()
		worker.recordEnd(run, Crashed)
		delete(worker.running, task)
	}
	worker.born = time.Now()
	worker.fencingToken, worker.leaseEndMS, worker.lastEndNumber = 0, 0, 0
	worker.running, worker.highestEndedRun = map[string]*activeRun{}, map[string]int{}
	worker.pendingEnds = nil
	worker.changed = make(chan struct{})
}

// History returns all runs that the worker began, across restarts.
func (worker *Worker) History() []RunRecord {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return slices.Clone(worker.history)
}

// Entry returns the record that announces the worker in the store, with its address and state. The state of a worker that
// drains is "draining".
func (worker *Worker) Entry(address, state string) []byte {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	entry := map[string]any{
		"service": worker.Service, "address": address, "zone": worker.Zone, "state": state, "slots": 8, "seq": 1,
		"capacity": worker.Capacity, "labels": []string{"a", worker.Rack}, "born": worker.born.UnixMilli(), "machine": "m-" + worker.ID,
	}
	if !worker.leavesAt.IsZero() {
		entry["state"], entry["remainingMs"] = "draining", max(0, time.Until(worker.leavesAt).Milliseconds())
	}
	return encodeJSON(entry)
}

// Handler serves the protocol of the platform's workers.
func (worker *Worker) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/-/run-start", worker.serveOrder(worker.start))
	router.Post("/-/run-stop", worker.serveOrder(worker.stop))
	router.Post("/-/hold", worker.servePoll)
	return router
}

// callRequest is the body of a start order, a stop order or a poll.
type callRequest struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
}

// clockMS returns the worker's clock: the time since its start in milliseconds.
func (worker *Worker) clockMS() int64 {
	return int64(float64(time.Since(worker.born).Milliseconds()) * worker.ClockRate)
}

// extendLease extends the lease to a time on the worker's clock, at most by MaxLease. The caller holds the lock.
func (worker *Worker) extendLease(deadlineMS int64) {
	now := worker.clockMS()
	worker.leaseEndMS = max(worker.leaseEndMS, min(deadlineMS, now+worker.MaxLease.Milliseconds()))
	remaining := time.Duration(float64(worker.leaseEndMS-now) / worker.ClockRate * float64(time.Millisecond))
	worker.leaseTimer.Reset(max(remaining, 0) + time.Millisecond) // the clock counts whole milliseconds
}

// checkLease ends all runs if the lease has expired.
func (worker *Worker) checkLease() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.expireLease()
}

// serveOrder returns a handler that carries out an order, subject to the faults.
func (worker *Worker) serveOrder(execute func(callRequest) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request callRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		faults, count := worker.countCall(r)
		if faults.LateEvery > 0 && count%faults.LateEvery == 0 {
			time.AfterFunc(faults.LateBy, func() { worker.executeFenced(request, execute) })
			panic(http.ErrAbortHandler)
		}
		status, reason := worker.executeFenced(request, execute)
		if faults.LoseEvery > 0 && count%faults.LoseEvery == 0 {
			panic(http.ErrAbortHandler)
		}
		worker.writeAnswer(w, status, map[string]any{"reason": reason})
	}
}

// countCall counts an order or poll. A worker that is down aborts its connection. Every MuteEvery-th one gets no
// response and blocks until its request is canceled.
func (worker *Worker) countCall(r *http.Request) (WorkerFaults, int) {
	worker.mu.Lock()
	worker.calls++
	faults, count := worker.faults, worker.calls
	down := worker.isDown()
	worker.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if faults.MuteEvery > 0 && count%faults.MuteEvery == 0 {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return faults, count
}

// executeFenced carries out an order or poll, unless its fencing token is lower than an earlier one.
// It returns the status and the reason of a refusal.
func (worker *Worker) executeFenced(request callRequest, execute func(callRequest) (int, string)) (int, string) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.expireLease()
	if request.FencingToken < worker.fencingToken {
		return http.StatusConflict, "fence"
	}
	worker.fencingToken = request.FencingToken
	return execute(request)
}

// writeAnswer writes a JSON response, to which it adds the worker's clock and start time.
func (worker *Worker) writeAnswer(w http.ResponseWriter, status int, body map[string]any) {
	worker.mu.Lock()
	body["clockMs"], body["born"] = worker.clockMS(), worker.born.UnixMilli()
	worker.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encodeJSON(body))
}

func (worker *Worker) start(request callRequest) (int, string) {
	worker.extendLease(request.DeadlineMS)
	if run := worker.running[request.Task]; run != nil && run.number == request.Run {
		return http.StatusOK, ""
	}
	if request.Run <= worker.highestEndedRun[request.Task] {
		return http.StatusConflict, "old"
	}
	if request.DeadlineMS <= worker.clockMS() {
		return http.StatusConflict, "late"
	}
	duration, outcome := worker.RunTime, Done
	if worker.Simulate != nil {
		duration, outcome = worker.Simulate(request.Task, request.Run)
	}
	if worker.faults.FailAll {
		outcome = Failed
	}
	worker.history = append(worker.history, RunRecord{Task: request.Task, Run: request.Run, At: time.Now()})
	started := &activeRun{number: request.Run, historyIndex: len(worker.history) - 1, began: time.Now(), duration: duration}
	started.timer = time.AfterFunc(duration, func() {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		switch {
		case worker.running[request.Task] != started || worker.faults.Hang:
		case outcome == Crash:
			worker.crash()
		default:
			worker.end(request.Task, outcome)
		}
	})
	worker.running[request.Task] = started
	return http.StatusOK, ""
}

func (worker *Worker) stop(request callRequest) (int, string) {
	worker.highestEndedRun[request.Task] = max(worker.highestEndedRun[request.Task], request.Run)
	if run := worker.running[request.Task]; run != nil && run.number == request.Run {
		worker.end(request.Task, Stopped)
	}
	return http.StatusOK, ""
}

// end ends a run and adds it to the pending ends. The caller holds the lock.
func (worker *Worker) end(task, outcome string) {
	run := worker.running[task]
	run.timer.Stop()
	delete(worker.running, task)
	worker.recordEnd(run, outcome)
	worker.highestEndedRun[task] = max(worker.highestEndedRun[task], run.number)
	worker.lastEndNumber++
	worker.pendingEnds = append(worker.pendingEnds, []any{worker.lastEndNumber, task, run.number, outcome, ""})
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// recordEnd stores the time and outcome of a run's end in the history.
func (worker *Worker) recordEnd(run *activeRun, outcome string) {
	worker.history[run.historyIndex].Ended, worker.history[run.historyIndex].Outcome = time.Now(), outcome
}

// expireLease ends all runs if the lease has expired, and marks the ends that no poll has acknowledged. The caller
// holds the lock.
func (worker *Worker) expireLease() {
	if worker.clockMS() < worker.leaseEndMS {
		return
	}
	for _, ended := range worker.pendingEnds {
		if begun := worker.findRecord(ended[1], ended[2]); begun != nil {
			begun.Expired = true
		}
	}
	for _, task := range slices.Sorted(maps.Keys(worker.running)) {
		worker.end(task, Lapsed)
	}
}

// markAcknowledged marks a run's end as acknowledged in the history, unless the lease expired before. The caller
// holds the lock.
func (worker *Worker) markAcknowledged(task, run any) {
	if begun := worker.findRecord(task, run); begun != nil {
		begun.Acknowledged = !begun.Expired
	}
}

// findRecord returns the record of a run, or nil if there is none. The caller holds the lock.
func (worker *Worker) findRecord(task, run any) *RunRecord {
	for index := range slices.Backward(worker.history) {
		if begun := &worker.history[index]; begun.Task == task && begun.Run == run {
			return begun
		}
	}
	return nil
}

// servePoll renews the lease, removes the acknowledged ends and responds with the runs and the pending ends.
// If there are no pending ends, it waits for one up to the request's WaitMS.
func (worker *Worker) servePoll(w http.ResponseWriter, r *http.Request) {
	var request callRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	worker.countCall(r)
	status, reason := worker.executeFenced(request, func(request callRequest) (int, string) {
		worker.extendLease(request.DeadlineMS)
		worker.pendingEnds = slices.DeleteFunc(worker.pendingEnds, func(ended []any) bool {
			number, isNumber := ended[0].(int64)
			acknowledged := isNumber && number <= request.AckCursor
			if acknowledged {
				worker.markAcknowledged(ended[1], ended[2])
			}
			return acknowledged
		})
		return http.StatusOK, ""
	})
	if status != http.StatusOK {
		worker.writeAnswer(w, status, map[string]any{"reason": reason})
		return
	}
	timer := time.NewTimer(time.Duration(request.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		worker.mu.Lock()
		worker.expireLease()
		body, changed := worker.listing(), worker.changed
		ends := len(worker.pendingEnds)
		worker.mu.Unlock()
		if ends > 0 || request.WaitMS == 0 {
			worker.writeAnswer(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			request.WaitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

// listing returns the runs and the pending ends in the form of the protocol.
func (worker *Worker) listing() map[string]any {
	listed := [][]any{}
	for _, task := range slices.Sorted(maps.Keys(worker.running)) {
		listed = append(listed, []any{task, worker.running[task].number, "", worker.running[task].percent(), 0})
	}
	return map[string]any{"running": listed, "finished": slices.Clone(worker.pendingEnds)}
}

// String returns a text with the worker's ID.
func (worker *Worker) String() string { return fmt.Sprintf("worker %s", worker.ID) }
