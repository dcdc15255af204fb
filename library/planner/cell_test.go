package planner_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// cell is a planner with workers that a test plays: they take every start and list what they run.
type cell struct {
	t       testing.TB
	now     time.Time
	planner *planner.Planner
	workers map[string]*fakeWorker
	starts  []planner.Order
	stops   []planner.Stop
	asks    []planner.Ask
	stored  map[string][]byte
	late    bool              // batches are stored when flush is called
	queue   []planner.Batch   // taken and not stored
	noted   []planner.TaskKey // tasks whose end as done was acknowledged
}

// fakeWorker keeps what a worker would.
type fakeWorker struct {
	id       string
	born     int64
	began    time.Time
	token    int64
	silent   bool
	leased   time.Time // end of its lease
	running  map[planner.TaskKey]int
	ended    []planner.EndedRun
	sequence int64
}

const (
	testQueue   = "checks"
	testService = "survey"
	testTeam    = "wardens"
)

var testSettings = planner.Settings{
	Lease: 6 * time.Second, LongestLease: 10 * time.Second, Authority: 12 * time.Second, StatusFor: 2 * time.Minute,
	StopTime: 200 * time.Millisecond, Spread: 1.5,
}

func testCatalog() *planner.Catalog {
	return &planner.Catalog{
		Version: 1,
		Queues: []planner.Queue{
			{Name: testQueue, Prefix: "/checks/", Service: testService, MostAttempts: 2, Stretch: 1.5, TargetLatency: 250 * time.Millisecond},
			{Name: "batch", Prefix: "/batch/", Service: testService, Priority: 2, MostAttempts: 2, Stretch: 4, TargetLatency: 3 * time.Second},
		},
		Services: map[string]planner.Service{testService: {Name: testService}},
		Teams:    map[string]planner.Team{testTeam: {Name: testTeam, Weight: 1000}},
		Keys:     map[string]string{},
	}
}

func newCell(t testing.TB, now time.Time, workers int) *cell {
	cell := &cell{t: t, now: now, workers: map[string]*fakeWorker{}, stored: map[string][]byte{}}
	for number := range workers {
		id := fmt.Sprintf("w-%03d", number)
		cell.workers[id] = &fakeWorker{id: id, born: 1, began: now.Add(-time.Minute), running: map[planner.TaskKey]int{}}
	}
	cell.begin(1, testCatalog())
	return cell
}

// begin makes a new planner from what is stored, as after a takeover.
func (cell *cell) begin(term int64, catalog *planner.Catalog) {
	cell.restore(term, catalog)
	cell.holdAll()
}

// restore makes a new planner from what is stored, which has not looked at any worker yet.
func (cell *cell) restore(term int64, catalog *planner.Catalog) {
	cell.planner = planner.New(testSettings, term, catalog, cell.now)
	cell.queue = nil
	records := make([]planner.Record, 0, len(cell.stored))
	for _, key := range slices.Sorted(maps.Keys(cell.stored)) {
		records = append(records, planner.Record{Key: key, Value: cell.stored[key]})
	}
	if unread := cell.planner.Restore(records, cell.now); len(unread) > 0 {
		cell.t.Fatalf("records %v do not decode", unread)
	}
	cell.list()
}

// list tells the planner of all workers.
func (cell *cell) list() {
	var infos []planner.WorkerInfo
	for _, id := range slices.Sorted(maps.Keys(cell.workers)) {
		infos = append(infos, planner.WorkerInfo{
			ID: id, Service: testService, Address: id, Zone: cell.zoneOf(id), Labels: []string{"a", "r-1"},
			Capacity: sizer.Size{MilliCores: 32000, MemoryMB: 65536, Accelerators: 8}, Born: cell.workers[id].born,
		})
	}
	cell.planner.SetWorkers(infos, cell.now)
}

// zoneOf spreads the workers over three zones.
func (*cell) zoneOf(id string) string { return string("abc"[int(id[len(id)-1]-'0')%3]) }

// holdAll lets every worker that answers list what it runs, twice, so that fences are settled.
func (cell *cell) holdAll() {
	for range 2 {
		for _, id := range slices.Sorted(maps.Keys(cell.workers)) {
			cell.hold(id)
		}
	}
}

func (cell *cell) hold(id string) {
	worker := cell.workers[id]
	hold, found := cell.planner.NextHold(id, cell.now)
	if !found {
		return
	}
	if worker.silent {
		cell.planner.Unreachable(id, cell.now)
		cell.lapse(worker)
		return
	}
	cell.lapse(worker)
	if hold.Deadline > 0 {
		worker.leased = worker.began.Add(time.Duration(hold.Deadline) * time.Millisecond)
	}
	worker.token = max(worker.token, hold.Token)
	for _, ended := range worker.ended {
		if ended.Sequence <= hold.Cursor && ended.Ending == planner.EndedDone {
			cell.noted = append(cell.noted, ended.Key)
		}
	}
	worker.ended = slices.DeleteFunc(worker.ended, func(ended planner.EndedRun) bool { return ended.Sequence <= hold.Cursor })
	listing := planner.Listing{
		Token: hold.Token, SentAt: cell.now, Born: worker.born, Clock: cell.clockOf(worker),
		Ended: slices.Clone(worker.ended),
	}
	for key, number := range worker.running {
		listing.Running = append(listing.Running, planner.RunningRun{Key: key, Number: number, Percent: 100})
	}
	cell.planner.Listed(id, listing, cell.now)
}

// lapse ends what a worker runs once its lease is over.
func (cell *cell) lapse(worker *fakeWorker) {
	if worker.leased.IsZero() || cell.now.Before(worker.leased) {
		return
	}
	for key, number := range worker.running {
		delete(worker.running, key)
		worker.sequence++
		worker.ended = append(worker.ended, planner.EndedRun{Sequence: worker.sequence, Key: key, Number: number, Ending: planner.EndedLapsed})
	}
}

// submit hands a job of some steps in to the urgent queue.
func (cell *cell) submit(id string, steps ...planner.Step) {
	cell.submitTo(testQueue, id, steps...)
}

func (cell *cell) submitTo(queue, id string, steps ...planner.Step) {
	cell.planner.Submit(planner.Job{ID: id, Queue: queue, Team: testTeam, Payload: "p", Steps: steps}, cell.now)
}

// settle plans, stores and carries out until nothing changes.
func (cell *cell) settle() {
	for range 20 {
		cell.planner.Plan(cell.now)
		if !cell.planner.Dirty() {
			return
		}
		cell.carryOut(cell.take())
	}
}

// take takes the next batch and stores it.
func (cell *cell) take() planner.Batch {
	batch, err := cell.planner.Take()
	if err != nil {
		cell.t.Fatal(err)
	}
	if cell.late && len(batch.Records) > 0 {
		cell.queue = append(cell.queue, batch)
		batch.Starts = nil
		return batch
	}
	cell.store(batch)
	return batch
}

func (cell *cell) store(batch planner.Batch) {
	for _, record := range batch.Records {
		if record.Value == nil {
			delete(cell.stored, record.Key)
		} else {
			cell.stored[record.Key] = record.Value
		}
	}
	if len(batch.Records) > 0 {
		cell.planner.Stored(batch)
	}
}

// flush stores some of the batches that were taken, and carries their starts out.
func (cell *cell) flush(count int) {
	for range min(count, len(cell.queue)) {
		batch := cell.queue[0]
		cell.queue = cell.queue[1:]
		cell.store(batch)
		for _, start := range batch.Starts {
			cell.start(start)
		}
	}
}

func (cell *cell) carryOut(batch planner.Batch) {
	for _, effect := range batch.Effects {
		switch effect := effect.(type) {
		case planner.Stop:
			cell.stops = append(cell.stops, effect)
			cell.end(effect.Key, planner.EndedStopped)
		case planner.Fence:
			cell.hold(effect.Worker)
		case planner.Ask:
			cell.asks = append(cell.asks, effect)
		}
	}
	for _, start := range batch.Starts {
		cell.start(start)
	}
}

func (cell *cell) start(start planner.Start) {
	order, wanted := cell.planner.Prepare(start, cell.now)
	if !wanted {
		return
	}
	cell.starts = append(cell.starts, order)
	worker := cell.workers[order.Worker]
	if worker.silent {
		cell.planner.Answered(order, planner.Unknown, 0, cell.now)
		return
	}
	worker.running[order.Key] = order.Number
	if leased := worker.began.Add(time.Duration(order.Deadline) * time.Millisecond); leased.After(worker.leased) {
		worker.leased = leased
	}
	cell.planner.Answered(order, planner.Taken, cell.clockOf(worker), cell.now)
}

func (cell *cell) clockOf(worker *fakeWorker) int64 {
	return cell.now.Sub(worker.began).Milliseconds()
}

// end ends a task wherever it runs, without telling the planner.
func (cell *cell) end(key planner.TaskKey, ending planner.Ending) {
	for _, worker := range cell.workers {
		if number, found := worker.running[key]; found {
			delete(worker.running, key)
			worker.sequence++
			worker.ended = append(worker.ended, planner.EndedRun{Sequence: worker.sequence, Key: key, Number: number, Ending: ending})
		}
	}
}

// endAll ends all that runs in one way, and lets the planner see it.
func (cell *cell) endAll(ending planner.Ending) {
	for _, worker := range cell.workers {
		for key := range worker.running {
			cell.end(key, ending)
		}
	}
	cell.pass(10 * time.Millisecond)
}

// pass lets time go by, with looks at all workers.
func (cell *cell) pass(span time.Duration) {
	cell.now = cell.now.Add(span)
	cell.holdAll()
	cell.settle()
}

func (cell *cell) running() int {
	count := 0
	for _, worker := range cell.workers {
		count += len(worker.running)
	}
	return count
}

func (cell *cell) wantState(id string, want planner.State) {
	cell.t.Helper()
	if state, _ := cell.planner.State(id); state != want {
		cell.t.Errorf("job %s is %q, want %q", id, state, want)
	}
}

func (cell *cell) wantRunning(want int) {
	cell.t.Helper()
	if count := cell.running(); count != want {
		cell.t.Errorf("%d tasks run, want %d", count, want)
	}
}
