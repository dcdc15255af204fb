package tests

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ebonyshunt.org/standin/emulator"
)

const (
	oddAddress = "10.8.1.1:80"
	// soundEntry is an entry that hosts accept. The odd entries differ from it in one place.
	soundEntry = `{"service":"survey","address":"` + oddAddress + `","zone":"a","state":"ready","slots":8,"seq":1,` +
		`"capacity":{"cpu":16000,"memMb":32000,"gpu":0},"labels":["a"],"born":946684800000,"machine":"m-odd"}`
)

// oddEntry returns soundEntry with a part of it replaced.
func oddEntry(part, by string) string { return strings.Replace(soundEntry, part, by, 1) }

// nested returns an entry with arrays in arrays at a depth.
func nested(depth int) string {
	return oddEntry(`"labels":["a"]`, `"labels":`+strings.Repeat("[", depth)+strings.Repeat("]", depth))
}

// oddEntries are the entries of another writer that name no worker to use.
var oddEntries = map[string]string{
	"nested":             nested(100_000),
	"nestedUnclosed":     strings.Repeat(`{"a":[`, 100_000),
	"portTooLarge":       oddEntry(oddAddress, "10.8.1.1:99999"),
	"portZero":           oddEntry(oddAddress, "10.8.1.1:0"),
	"noPort":             oddEntry(oddAddress, "10.8.1.1"),
	"pathInAddress":      oddEntry(oddAddress, oddAddress+"/b?x:1"),
	"controlsInAddress":  oddEntry(oddAddress, oddAddress+`\u0000\n`),
	"capacityTooLarge":   oddEntry(`"cpu":16000`, `"cpu":9000000000000000000`),
	"capacityNegative":   oddEntry(`"memMb":32000`, `"memMb":-9000000000000000000`),
	"capacityTooLong":    oddEntry(`"cpu":16000`, `"cpu":1e400`),
	"drainsTooLong":      oddEntry(`"state":"ready"`, `"state":"draining","remainingMs":9000000000000000000`),
	"coldTooLong":        oddEntry(`"state":"ready"`, `"state":"ready","coldLeftMs":9000000000000000000`),
	"bornTooLate":        oddEntry(`"born":946684800000,"machine":"m-odd"`, `"born":9000000000000000000,"machine":"m-w-0"`),
	"bornNegative":       oddEntry(`"born":946684800000`, `"born":-9000000000000000000`),
	"sequenceTooLarge":   oddEntry(`"seq":1`, `"seq":1e400`),
	"slotsOfAnotherType": oddEntry(`"slots":8`, `"slots":"8"`),
	"noZone":             oddEntry(`"zone":"a",`, ""),
	"tooManyLabels":      oddEntry(`["a"]`, `["a"`+strings.Repeat(`,"b"`, 100_000)+`]`),
}

// TestFleetOddEntries guards against hosts that call, or wait for, a worker that another writer's odd entry names, that end at such an
// entry, or that follow the list no longer.
func TestFleetOddEntries(t *testing.T) {
	for name, entry := range oddEntries {
		t.Run(name, func(t *testing.T) { checkOddEntry(t, "w-odd", entry) })
	}
	t.Run("idTooLong", func(t *testing.T) { checkOddEntry(t, strings.Repeat("w", 255), soundEntry) })
	t.Run("controlsInID", func(t *testing.T) { checkOddEntry(t, "w\n\x00", soundEntry) })
	t.Run("bytesInID", func(t *testing.T) { checkOddEntry(t, "w\xff", soundEntry) })
}

// checkOddEntry puts an entry on the list every 100 ms while jobs run. Nothing may call its address, and it is logged once. The
// jobs complete, and a worker that registers later gets work.
func checkOddEntry(t *testing.T, id, entry string) {
	t.Helper()
	runFleetTest(t, 3, func(fleet *fleet) {
		calls := fleet.countCalls(oddAddress)
		for _, worker := range fleet.workers {
			worker.RunTime = time.Second
		}
		for number := range 20 {
			fleet.store.Put("keyed.servers", id, []byte(entry))
			fleet.submitJob(fleet.hostNames[number%3], number)
			time.Sleep(100 * time.Millisecond)
		}
		fleet.awaitJobs(fleet.hostNames[0], 20*time.Second)
		fleet.wantWorkOnLateWorker()
		if count := calls.Load(); count > 0 {
			fleet.Errorf("the address of the odd entry was called %d times", count)
		}
		if count := fleet.logged.count("cannot decode worker entry, removing the worker"); count != 1 {
			fleet.Errorf("the odd entry was logged %d times, want once", count)
		}
	})
}

// countCalls serves an address and counts the calls there.
func (fleet *fleet) countCalls(address string) *atomic.Int64 {
	var calls atomic.Int64
	fleet.serve("odd", address, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		writer.WriteHeader(http.StatusMisdirectedRequest)
	}))
	return &calls
}

// wantWorkOnLateWorker registers a worker with a label of its own and checks that a job that needs the label completes there.
func (fleet *fleet) wantWorkOnLateWorker() {
	fleet.Helper()
	const lateJob = `{"spec":"s","steps":[{"count":1,"cpu":1000,"memMb":10,"requiredLabel":"r-late"}]}`
	late := emulator.NewWorker("w-late", "survey", "b", emulator.Amount{CPU: 16000, MemMB: 32000})
	late.Rack = "r-late"
	fleet.runWorker(late, "10.8.0.99:80")
	if answer := fleet.call("POST", fleet.hostNames[1], fleetPathPrefix+jobID(500), fleetKey, lateJob); answer.status != http.StatusOK {
		fleet.Fatalf("job for the late worker: status %d, want 200", answer.status)
	}
	fleet.acceptedJobs = append(fleet.acceptedJobs, jobID(500))
	fleet.awaitJobs(fleet.hostNames[1], 10*time.Second)
	if !slices.ContainsFunc(late.History(), func(run emulator.RunRecord) bool { return run.Outcome == "done" }) {
		fleet.Error("the worker that registered later has run nothing")
	}
}

// oddListings are answers of a worker to a poll, while the task 0 of step 0 of job 0 runs elsewhere.
var oddListings = map[string]string{
	"negativeIndex":   `{"clockMs":1,"running":[["0000000000000000.0.0.-1",1]]}`,
	"negativeEnd":     `{"clockMs":1,"finished":[[1,"0000000000000000.0.0.-1",1,"done"]]}`,
	"nested":          `{"clockMs":1,"a":` + strings.Repeat("[", 1<<20),
	"nestedClosed":    `{"clockMs":1,"a":` + strings.Repeat("[", 9_990) + strings.Repeat("]", 9_990) + "}",
	"notJSON":         "<html>",
	"empty":           "",
	"null":            "null",
	"numbersTooLarge": `{"clockMs":9e30,"born":9e30,"running":[["0000000000000000.0.0.0",9e30,"",9e30]],"finished":[[9e30,"0000000000000000.0.0.0",-9e30,"done"]]}`,
}

// TestFleetOddListings guards against hosts that end at the answer of one odd worker, or that lose the answers of others by it.
func TestFleetOddListings(t *testing.T) {
	for name, listing := range oddListings {
		t.Run(name, func(t *testing.T) { checkOddListing(t, listing, noDelegates) })
		t.Run(name+"ThroughDelegates", func(t *testing.T) { checkOddListing(t, listing, 1) })
	}
}

// checkOddListing registers a worker that answers each poll with a listing. Jobs that are submitted meanwhile complete on the
// others as fast as without it.
func checkOddListing(t *testing.T, listing string, delegateFrom int64) {
	t.Helper()
	const bound = 900 * time.Millisecond // see TestFleetStoreCut
	runFleet(t, 6, delegateFrom, func(fleet *fleet) {
		fleet.serve("odd", oddAddress, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/-/hold" {
				writer.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			_, _ = writer.Write([]byte(listing))
		}))
		for _, worker := range fleet.workers {
			worker.RunTime = 5 * time.Second
		}
		fleet.submitJob(fleet.hostNames[0], 0) // runs throughout
		time.Sleep(500 * time.Millisecond)
		for _, worker := range fleet.workers {
			worker.RunTime = 100 * time.Millisecond
		}
		fleet.store.Put("keyed.servers", "w-odd", []byte(soundEntry))
		time.Sleep(time.Second)
		for number := range 5 {
			if took := fleet.measureJob(fleet.hostNames[number%3], 1+number); took > bound {
				fleet.Errorf("job %d took %v beside the odd worker, its objective is %v", 1+number, took, bound)
			}
		}
		fleet.awaitJobs(fleet.hostNames[0], 20*time.Second)
		fleet.wantWorkOnLateWorker()
	})
}

// oddFleetRecords are records of another writer in the topic of the hosts.
var oddFleetRecords = map[string]struct{ key, value string }{
	"termTooLarge":    {"decider", `{"term":9223372036854775807,"host":"entry-x-0","address":"10.1.9.9:82","boot":"b"}`},
	"termOfTheFuture": {"decider", `{"term":1000000,"host":"entry-x-0","address":"10.1.9.9:82","boot":"b"}`},
	"electedNoPort":   {"decider", `{"term":9,"host":"entry-x-0","address":"10.1.9.9","boot":"b"}`},
	"otherName":       {"host/entry-x-0", `{"name":"entry-a-0","zone":"a","address":"10.1.9.9:82","boot":"b","processorShare":1}`},
	"noPort":          {"host/entry-x-0", `{"name":"entry-x-0","zone":"a","address":"10.1.9.9","boot":"b","processorShare":1}`},
	"portTooLarge":    {"host/entry-x-0", `{"name":"entry-x-0","zone":"a","address":"10.1.9.9:99999","boot":"b","processorShare":1}`},
	"shareTooLarge":   {"host/entry-x-0", `{"name":"entry-x-0","zone":"a","address":"10.1.9.9:82","boot":"b","processorShare":1e300}`},
	"nested":          {"host/entry-x-0", strings.Repeat(`{"a":[`, 100_000)},
}

// TestFleetOddRecords guards against hosts that elect no decider any more after an odd record among their own: no term can exceed that
// of an odd election, and an odd member stands for a host that no other reaches.
func TestFleetOddRecords(t *testing.T) {
	for name, record := range oddFleetRecords {
		t.Run(name, func(t *testing.T) {
			runFleetTest(t, 4, func(fleet *fleet) {
				for number := range 4 {
					fleet.submitJob(fleet.hostNames[number%4], number)
					fleet.store.Put("keyed.ebonyshunt-fleet", record.key, []byte(record.value))
				}
				fleet.awaitJobs(fleet.hostNames[1], 5*time.Second)
				fleet.killHost(fleet.decidingHost())
				time.Sleep(3 * time.Second)
				fleet.submitJob(fleet.hostNames[1], 10)
				fleet.awaitJobs(fleet.hostNames[1], 5*time.Second)
				fleet.restartAllRunning()
				fleet.submitJob(fleet.hostNames[1], 11)
				fleet.awaitJobs(fleet.hostNames[1], 5*time.Second)
			})
		})
	}
}

// restartAllRunning kills all hosts that run, starts all hosts on the records in the store, and waits for an election.
func (fleet *fleet) restartAllRunning() {
	for _, name := range fleet.hostNames {
		if fleet.hosts[name] != nil {
			fleet.killHost(name)
		}
	}
	for _, name := range fleet.hostNames {
		fleet.startHost(name)
	}
	time.Sleep(3 * time.Second)
}
