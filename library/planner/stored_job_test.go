package planner_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// maxJobBytes is the size of the largest job that is accepted, as it is stored.
const maxJobBytes = 240 << 10

// TestLargestJobs guards against jobs that are accepted, grow by what acceptance adds, and are refused by the next planner when it decodes
// their records: they never ended (LOST).
func TestLargestJobs(t *testing.T) {
	const around = 60 // bytes below and above the limit
	job := planner.Job{ID: jobA, Queue: testQueue, Team: testTeam, Steps: []planner.Step{newStep(1)}}
	data, err := json.Marshal(&job)
	if err != nil {
		t.Fatal(err)
	}
	accepted, refused := 0, 0
	for size := maxJobBytes - around; size <= maxJobBytes+around; size++ {
		job.Payload = strings.Repeat("p", size-len(data))
		if job.Check() != nil {
			refused++
			continue
		}
		accepted++
		for _, excess := range []bool{false, true} {
			t.Run(fmt.Sprintf("%dBytes/%v", size, excess), func(t *testing.T) {
				fleet := newFleet(t, testStart, 1)
				if excess {
					fleet.submit(jobB, newStep(1)) // takes the tokens of the customer
					catalog := testCatalog()
					catalog.Version = 2
					catalog.Teams[testTeam] = planner.Team{Name: testTeam, Weight: 0.001}
					fleet.planner.SetCatalog(catalog)
					fleet.submit(jobC, newStep(1))
				}
				fleet.submitJob(job)
				fleet.settle()
				if stored := strings.Contains(string(fleet.journal["job/"+jobA]), `"excess":true`); stored != excess {
					t.Fatalf("the job is stored as one above the rate: %v, want %v", stored, excess)
				}
				if size := len(fleet.journal["job/"+jobA]); size > maxJobBytes {
					t.Errorf("the stored job has %d bytes, want %d at most", size, maxJobBytes)
				}
				fleet.takeOver(2, testCatalog())
				fleet.settle()
				fleet.endAll(planner.EndedDone)
				fleet.advance(time.Second)
				fleet.wantState(jobA, planner.Completed)
			})
		}
	}
	if accepted == 0 || refused == 0 {
		t.Errorf("%d sizes were accepted and %d refused, want both", accepted, refused)
	}
}

// TestStoredJobsGoOn guards against jobs that were accepted under larger limits, of another release, and that the next planner refuses.
func TestStoredJobsGoOn(t *testing.T) {
	chain := make([]string, 1100)
	for number := range chain {
		chain[number] = `{"count":1,"size":{"milliCores":100}}`
	}
	for name, fields := range map[string]string{
		"bytes": `"payload":"` + strings.Repeat("p", 250_000) + `","steps":[{"count":1,"size":{"milliCores":100}}]`,
		"steps": `"payload":"p","steps":[` + strings.Join(chain, ",") + `]`,
		"tasks": `"payload":"p","steps":[{"count":100100,"size":{"milliCores":1}}]`,
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, testStart, 2)
			fleet.journal["job/"+jobA] = []byte(`{"id":"` + jobA + `","queue":"checks",` + fields + `}`)
			fleet.journal["run/"+jobA] = []byte(`{"version":1,"state":"running","queue":"checks","next":1,"occurrences":[{"number":0}]}`)
			fleet.takeOver(2, testCatalog())
			fleet.settle()
			if fleet.runningCount() == 0 {
				t.Error("nothing of the job runs")
			}
		})
	}
}
