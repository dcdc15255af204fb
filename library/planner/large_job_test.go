package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// storeRecordBytes is the size of a record that the platform's store takes at most.
const storeRecordBytes = 262_144

// smallTasks returns a step with many tasks of 0.05 cores.
func smallTasks(count int) planner.Step {
	return planner.Step{Count: count, EstimateMS: 80_000, Size: sizer.Size{MilliCores: 50, MemoryMB: 64}}
}

// newLargeFleet returns a fleet whose workers have room for some 12,000 small tasks.
func newLargeFleet(t *testing.T) *fleet {
	t.Helper()
	fleet := newFleet(t, testStart, 20)
	fleet.adjust = func(settings *planner.Settings) { settings.MaxRecordBytes = storeRecordBytes }
	fleet.takeOver(2, testCatalog())
	return fleet
}

// wantStorable checks that the store takes each record of the journal.
func (fleet *fleet) wantStorable() {
	fleet.t.Helper()
	for key, value := range fleet.journal {
		if size := 1 + len(key) + len(value); size > storeRecordBytes {
			fleet.t.Errorf("record %s has %d bytes, the store takes %d", key, size, storeRecordBytes)
		}
	}
}

// wantNotRestarted checks that no task was ordered twice.
func (fleet *fleet) wantNotRestarted() {
	fleet.t.Helper()
	for _, order := range fleet.orders {
		if order.Number > 1 {
			fleet.t.Fatalf("%v was started again", order.Key)
		}
	}
}

// TestLargeJobs guards against records of the journal that grow with a job until the store refuses them, which stopped the jobs of all
// customers (LOST), and against tasks that a takeover starts again or forgets.
func TestLargeJobs(t *testing.T) {
	const takeovers = 2
	spread := make([]planner.Step, 900)
	for number := range spread {
		spread[number] = smallTasks(6)
		if number > 0 {
			spread[number].DependsOn = []int{number - 1}
		}
	}
	wide := make([]planner.Step, 50)
	for number := range wide {
		wide[number] = smallTasks(200)
	}
	standing := smallTasks(8000)
	standing.Standing = true
	gang := smallTasks(8000)
	gang.Gang = true
	copied := smallTasks(8000)
	copied.Speculative = true
	for name, steps := range map[string][]planner.Step{
		"oneStep": {smallTasks(8000)}, "larger": {smallTasks(11_000)}, "manySteps": wide, "chain": spread, "standing": {standing}, "gang": {gang}, "copies": {copied},
		"smallest": {smallTasks(257)},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newLargeFleet(t)
			fleet.submit(jobA, steps...)
			fleet.settle()
			running := fleet.runningCount()
			fleet.wantStorable()
			for term := range int64(takeovers) {
				fleet.takeOver(3+term, testCatalog())
				fleet.advance(time.Second)
				fleet.wantStorable()
			}
			fleet.wantRunning(running)
			fleet.wantNotRestarted()
		})
	}
}

// TestLargeJobCompletes checks that a large job is completed over takeovers, and that nothing of it stays in the journal but its state.
func TestLargeJobCompletes(t *testing.T) {
	fleet := newLargeFleet(t)
	fleet.submit(jobA, smallTasks(3000), dependent(smallTasks(300), 0))
	for term := int64(3); ; term++ {
		fleet.advance(100 * time.Millisecond)
		if state, _ := fleet.planner.State(jobA); state == planner.Completed || term > 40 {
			break
		}
		ended := 0
		for _, worker := range fleet.workers {
			for key := range worker.running {
				if ended++; ended%2 == 1 {
					fleet.markEnded(key, planner.EndedDone)
				}
			}
		}
		fleet.takeOver(term, testCatalog())
	}
	fleet.advance(time.Second)
	fleet.endAll(planner.EndedDone)
	fleet.wantState(jobA, planner.Completed)
	fleet.wantNotRestarted()
	for key := range fleet.journal {
		if strings.HasPrefix(key, "part/") {
			t.Errorf("%s is still in the journal", key)
		}
	}
}

// TestChangeOfLargeJob guards against a job whose whole progress is stored again with each change of a task: at 5,000 tasks that were 300 KB
// in each batch.
func TestChangeOfLargeJob(t *testing.T) {
	const maxBytes = 32 << 10 // of a batch in which one task ends
	fleet := newLargeFleet(t)
	fleet.submit(jobA, smallTasks(5000))
	fleet.settle()
	fleet.markEnded(planner.TaskKey{Job: jobA, Index: 2500}, planner.EndedDone)
	fleet.sendPolls()
	batch, err := fleet.planner.Take()
	if err != nil {
		t.Fatal(err)
	}
	bytes := 0
	for _, record := range batch.Records {
		bytes += len(record.Key) + len(record.Value)
	}
	if bytes == 0 || bytes > maxBytes {
		t.Errorf("the end of one task stores %d bytes, want 1 to %d", bytes, maxBytes)
	}
}

// TestJobLimits checks that a job beyond what can be stored and kept in memory is refused, with the field and the limit.
func TestJobLimits(t *testing.T) {
	tooLong := make([]planner.Step, 1000)
	for number := range tooLong {
		tooLong[number] = newStep(1)
		tooLong[number].Image = strings.Repeat("i", 300)
	}
	for name, test := range map[string]struct {
		job  planner.Job
		want string
	}{
		"largest":       {planner.Job{Steps: []planner.Step{smallTasks(100_000)}}, ""},
		"tasksOfStep":   {planner.Job{Steps: []planner.Step{smallTasks(100_001)}}, "at most 100000"},
		"tasksOfJob":    {planner.Job{Steps: []planner.Step{smallTasks(60_000), smallTasks(60_000)}}, "the sum of count over its steps: at most 100000"},
		"storedSize":    {planner.Job{Steps: tooLong}, "at most 245760 are allowed"},
		"payload":       {planner.Job{Steps: []planner.Step{newStep(1)}, Payload: strings.Repeat("\x01", 50_000)}, "at most 245760 are allowed"},
		"storedSizeFit": {planner.Job{Steps: []planner.Step{newStep(1)}, Payload: strings.Repeat("p", 200_000)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			test.job.ID = jobA
			err := test.job.Check()
			if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
				t.Errorf("got %v, want an error with %q", err, test.want)
			}
		})
	}
}

// TestTasksInMemory guards against jobs that are laid out in memory without bound: those beside others are refused, and occurrences wait.
func TestTasksInMemory(t *testing.T) {
	fleet := newFleet(t, testStart, 3)
	fleet.adjust = func(settings *planner.Settings) { settings.MaxTasks = 1000 }
	fleet.takeOver(2, testCatalog())
	first, second := planner.Job{Steps: []planner.Step{smallTasks(900)}}, planner.Job{Steps: []planner.Step{smallTasks(200)}}
	if !fleet.planner.HasRoomFor(&planner.Job{Steps: []planner.Step{smallTasks(2000)}}) {
		t.Error("there is no room for a large job alone")
	}
	first.ID, first.Queue, first.Team = jobA, testQueue, testTeam
	fleet.submitJob(first)
	if fleet.planner.HasRoomFor(&second) {
		t.Error("there is room for more tasks than the limit")
	}
	scheduled := planner.Job{ID: jobB, Queue: testQueue, Team: testTeam, Runs: 40, FirstRunMS: testStart.Add(-time.Hour).UnixMilli(), IntervalMS: 1, Steps: []planner.Step{smallTasks(10)}}
	fleet.submitJob(scheduled)
	fleet.settle()
	fleet.wantRunning(1000)
	fleet.planner.Cancel(jobA, fleet.now)
	fleet.settle()
	fleet.advance(time.Second)
	if !fleet.planner.HasRoomFor(&second) {
		t.Error("a job that has ended takes memory")
	}
	fleet.wantRunning(400)
}

// TestJobsInMemory checks that the memory of the accepted jobs is bounded, and that a job that has ended returns that of its payload, also
// after a takeover.
func TestJobsInMemory(t *testing.T) {
	const limit = 100 << 10
	fleet := newFleet(t, testStart, 3)
	fleet.adjust = func(settings *planner.Settings) { settings.MaxJobBytes = limit }
	fleet.takeOver(2, testCatalog())
	large := planner.Job{Payload: strings.Repeat("x", 90<<10), Steps: []planner.Step{smallTasks(1)}}
	assertMemory := func(t *testing.T, job planner.Job, found bool) {
		t.Helper()
		if fleet.planner.HasMemoryFor(&job) != found {
			t.Errorf("memory for a job of %d bytes: %t, want %t", len(job.Payload), !found, found)
		}
	}
	assertMemory(t, large, true)
	assertMemory(t, planner.Job{Payload: strings.Repeat("x", limit), Steps: []planner.Step{smallTasks(1)}}, true) // alone
	accepted := large
	accepted.ID, accepted.Queue, accepted.Team = jobA, testQueue, testTeam
	fleet.submitJob(accepted)
	assertMemory(t, large, false)
	assertMemory(t, planner.Job{Steps: []planner.Step{smallTasks(1)}}, true)
	fleet.settle()
	fleet.takeOver(3, testCatalog())
	assertMemory(t, large, false)
	fleet.planner.Cancel(jobA, fleet.now)
	fleet.settle()
	fleet.advance(time.Second)
	fleet.settle()
	assertMemory(t, large, true)
	fleet.takeOver(4, testCatalog())
	assertMemory(t, large, true)
}

// TestDivideStored checks that a job that an earlier release stored in one record goes on, and is stored in parts from then on.
func TestDivideStored(t *testing.T) {
	const tasks = 300
	fleet := newLargeFleet(t)
	var open []string
	for index := range tasks {
		open = append(open, fmt.Sprintf(`{"index":%d,"worker":"w-000","born":1}`, index))
	}
	numbers := strings.TrimSuffix(strings.Repeat("1,", tasks), ",")
	fleet.journal["job/"+jobA] = fmt.Appendf(nil, `{"id":%q,"queue":%q,"team":%q,"payload":"p","steps":[{"count":%d,"size":{"milliCores":50}}]}`, jobA, testQueue, testTeam, tasks)
	fleet.journal["run/"+jobA] = fmt.Appendf(nil, `{"version":1,"state":"running","queue":%q,"team":%q,"next":1,"occurrences":[{"number":0,"steps":[{"numbers":[%s],"open":[%s]}]}]}`,
		testQueue, testTeam, numbers, strings.Join(open, ","))
	for index := range tasks {
		fleet.workers["w-000"].running[planner.TaskKey{Job: jobA, Index: index}] = 1
	}
	fleet.takeOver(3, testCatalog())
	fleet.settle()
	fleet.takeOver(4, testCatalog())
	fleet.advance(time.Second)
	fleet.wantRunning(tasks)
	if len(fleet.orders) > 0 {
		t.Errorf("%d tasks were started again", len(fleet.orders))
	}
	if record := string(fleet.journal["run/"+jobA]); !strings.HasPrefix(record, `{"version":2`) {
		t.Errorf("the job is not divided: %.60s", record)
	}
}

// TestLostPart checks that a job of which a part does not decode is not restored: its tasks may be running.
func TestLostPart(t *testing.T) {
	fleet := newLargeFleet(t)
	fleet.submit(jobA, smallTasks(300))
	fleet.settle()
	orders := len(fleet.orders)
	restored := planner.New(fleet.settings(), 9, testCatalog(), fleet.time())
	var records []planner.Record
	for key, value := range fleet.journal {
		if key == "part/"+jobA+"/0/1" {
			value = []byte("{")
		}
		records = append(records, planner.Record{Key: key, Value: value})
	}
	if undecodable := restored.Restore(records, fleet.time()); len(undecodable) != 1 {
		t.Errorf("%v do not decode, want one part", undecodable)
	}
	if _, known := restored.State(jobA); known || orders != 300 {
		t.Errorf("the job is restored without a part; %d orders", orders)
	}
}

// TestLongCheckpoints guards against records that are too large since workers choose how long checkpoints are.
func TestLongCheckpoints(t *testing.T) {
	for _, tasks := range []int{100, 300} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			fleet := newLargeFleet(t)
			fleet.submit(jobA, smallTasks(tasks))
			fleet.settle()
			for index := range tasks {
				key := planner.TaskKey{Job: jobA, Index: index}
				for _, worker := range fleet.workers {
					if number, found := worker.running[key]; found {
						delete(worker.running, key)
						worker.sequence++
						worker.ended = append(worker.ended, planner.EndedRun{Sequence: worker.sequence, Key: key, Number: number, Ending: planner.EndedStopped, Checkpoint: strings.Repeat("c", 5000)})
					}
				}
			}
			fleet.advance(time.Second)
			fleet.wantStorable()
			fleet.takeOver(3, testCatalog())
			fleet.advance(time.Second)
			fleet.wantRunning(tasks)
		})
	}
}

// TestPartsNewerThanProgress checks that a large job goes on if a decider ends between the storing of parts and of the record that counts
// them: a job whose tasks are all done would run for ever. The end of the job itself is stored before the parts, that of an occurrence after
// them.
func TestPartsNewerThanProgress(t *testing.T) {
	for name, runs := range map[string]int{"once": 0, "occurrences": 2} {
		t.Run(name, func(t *testing.T) {
			step := smallTasks(300)
			step.Speculative = true
			fleet := newLargeFleet(t)
			fleet.submitJob(planner.Job{
				ID: jobA, Queue: testQueue, Team: testTeam, Payload: "p", Runs: runs, FirstRunMS: testStart.Add(-time.Hour).UnixMilli(), IntervalMS: 1,
				Steps: []planner.Step{step},
			})
			fleet.settle()
			silent := fleet.workers[fleet.orders[0].Worker]
			silent.unresponsive, fleet.slowStops = true, true
			for range 6 {
				fleet.advance(100 * time.Millisecond) // its tasks get copies
			}
			for _, worker := range fleet.workers {
				if worker != silent {
					worker.endOccurrence(0)
				}
			}
			fleet.sendPolls()
			batch, err := fleet.planner.Take()
			if err != nil {
				t.Fatal(err)
			}
			for _, record := range batch.Records {
				if record.Key == "run/"+jobA {
					break
				}
				if record.Value != nil {
					fleet.journal[record.Key] = record.Value
				}
			}
			fleet.takeOver(3, testCatalog())
			silent.unresponsive, fleet.slowStops = false, false
			for range 5 {
				fleet.advance(time.Second)
			}
			fleet.endAll(planner.EndedDone) // those of the second occurrence
			fleet.advance(time.Second)
			fleet.wantState(jobA, planner.Completed)
			fleet.wantRunning(0)
			fleet.wantForgotten(jobA)
		})
	}
}

// endOccurrence ends all runs of an occurrence on the worker as done.
func (fakeWorker *fakeWorker) endOccurrence(number int) {
	for key := range fakeWorker.running {
		if key.Occurrence == number {
			fakeWorker.markEnded(key, planner.EndedDone)
		}
	}
}
