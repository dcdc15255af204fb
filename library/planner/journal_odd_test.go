package planner_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// The records of a job with two tasks, of which the first one runs.
const (
	storedJob      = `{"id":"` + jobA + `","queue":"checks","payload":"s","steps":[{"count":2,"size":{"milliCores":1000}}]}`
	storedProgress = `{"version":1,"state":"running","queue":"checks","storedAtMS":5000,"acceptedAtMS":4000,"next":1,` +
		`"occurrences":[{"number":0,"dueAtMS":4000,"steps":[{"numbers":[1,0],"failures":[0,0],"open":[{"index":0,"worker":"w-000"}]}]}]}`
	storedExpiry = `{"version":2,"remainingMS":1000}`
)

// restoreRecords restores a planner from records and makes a pass. It returns the keys that do not decode.
func restoreRecords(records ...planner.Record) []string {
	restored := planner.New(testSettings, 3, testCatalog(), testStart)
	undecodable := restored.Restore(records, testStart)
	restored.SetWorkers([]planner.WorkerInfo{{ID: "w-000", Service: testService, Address: "w-000", Zone: "a"}}, testStart)
	restored.Plan(testStart.Add(time.Second))
	return undecodable
}

func wantUndecodable(t *testing.T, record planner.Record, want ...string) {
	t.Helper()
	if undecodable := restoreRecords(planner.Record{Key: "job/" + jobA, Value: []byte(storedJob)}, record); !slices.Equal(undecodable, want) {
		t.Errorf("records %v are refused, want %v", undecodable, want)
	}
}

// TestOddJournalRecord guards against deciders that end one after the other at an odd record of the journal, or that take leases for
// expired, or jobs for older, by numbers out of range.
func TestOddJournalRecord(t *testing.T) {
	progress := func(part, by string) planner.Record {
		return planner.Record{Key: "run/" + jobA, Value: []byte(strings.Replace(storedProgress, part, by, 1))}
	}
	expiry := func(text string) planner.Record { return planner.Record{Key: "lapse/w-000", Value: []byte(text)} }
	wantUndecodable(t, progress("", ""))
	wantUndecodable(t, expiry(storedExpiry))
	for name, record := range map[string]planner.Record{
		"openIndex":    progress(`"index":0`, `"index":-1`),
		"openNumber":   progress(`"index":0`, `"index":0,"number":-1`),
		"runNumber":    progress(`"numbers":[1,0]`, `"numbers":[9223372036854775807,0]`),
		"failures":     progress(`"failures":[0,0]`, `"failures":[0,-1]`),
		"hangs":        progress(`"failures":[0,0]`, `"hangs":{"0":-1}`),
		"hangIndex":    progress(`"failures":[0,0]`, `"hangs":{"-1":1}`),
		"failedNumber": progress(`"failures":[0,0]`, `"failedNumber":-1`),
		"crashes":      progress(`"failures":[0,0]`, `"crashes":{"0":-1}`),
		"unanswered":   progress(`"failures":[0,0]`, `"unanswered":{"-1":1}`),
		"lostRun":      progress(`"failures":[0,0]`, `"lost":[{"index":0,"worker":"w-000","number":-1}]`),
		"occurrence":   progress(`"next":1`, `"next":-9000000000000000000`),
		"ended":        progress(`"next":1`, `"next":1,"ended":-1`),
		"storedAt":     progress(`"storedAtMS":5000`, `"storedAtMS":9000000000000000000`),
		"storedEarly":  progress(`"storedAtMS":5000`, `"storedAtMS":-1`),
		"state":        progress(`"running"`, `"odd"`),
		"nested":       progress(`"next":1`, `"next":`+strings.Repeat("[", 100_000)),
	} {
		t.Run(name, func(t *testing.T) { wantUndecodable(t, record, "run/"+jobA) })
	}
	for name, text := range map[string]string{
		"expiryOverflows": `{"version":2,"remainingMS":9000000000000000000}`, "expiryNegative": `{"version":2,"remainingMS":-1}`,
	} {
		t.Run(name, func(t *testing.T) { wantUndecodable(t, expiry(text), "lapse/w-000") })
	}
	t.Run("dueLongAgo", func(t *testing.T) { // a client may ask for such a job
		wantUndecodable(t, progress(`"dueAtMS":4000`, `"dueAtMS":-9000000000000000000`))
	})
}
