package tests

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"ebonyshunt.org/standin/emulator"
)

const (
	gangJob      = 77
	gangAttempts = 3 // maxAttempts of the fleet's queue
	gangRunTime  = 3 * time.Second
	// gangCutLead is how long before the end of a run a worker is cut off.
	gangCutLead = 500 * time.Millisecond
	// gangCutTime is the time from the takeover to the end of the cut.
	gangCutTime = 1500 * time.Millisecond
)

// TestFleetGangFailures guards against a failed run of a gang that two deciders count, each for the member whose end it reads first, and
// against one that none of them counts.
func TestFleetGangFailures(t *testing.T) {
	for how, replace := range map[string]func(fleet *fleet){
		"killed":  func(fleet *fleet) { fleet.killHost(fleet.decidingHost()) },
		"stopped": func(fleet *fleet) { fleet.stopHost(fleet.decidingHost()) },
		"twice": func(fleet *fleet) {
			fleet.killHost(fleet.decidingHost())
			fleet.awaitDecider()
			time.Sleep(shortTerm)
			fleet.stopHost(fleet.decidingHost())
		},
	} {
		for _, size := range []int{2, 6} {
			for _, cut := range []int{1, 2} {
				for _, test := range []struct {
					failing int
					want    string
				}{{gangAttempts - 1, "completed"}, {gangAttempts, "failed"}} {
					t.Run(fmt.Sprintf("%s/%dMembers/cutInRun%d/%s", how, size, cut, test.want), func(t *testing.T) {
						runFleetTest(t, lastingHosts, func(fleet *fleet) { fleet.runGang(size, cut, test.failing, test.want, replace) })
					})
				}
			}
		}
	}
}

// runGang submits a gang whose first runs fail, as many as given. In one run the decider is replaced after it has read the ends of some
// members and before that of the other one, whose worker is cut off meanwhile. It checks in which state the job ends, and that the gang
// was started just as often as that takes.
func (fleet *fleet) runGang(size, cutIn, failing int, want string, replace func(fleet *fleet)) {
	fleet.Helper()
	for _, worker := range fleet.workers {
		worker.Simulate = func(_ string, run int) (time.Duration, string) {
			if run <= failing {
				return gangRunTime, "failed"
			}
			return gangRunTime, "done"
		}
	}
	body := fmt.Sprintf(`{"spec":"s","steps":[{"count":%d,"cpu":10000,"memMb":10,"estimateMs":3000,"gang":true,"antiAffinity":1}]}`, size)
	if answer := fleet.call("POST", fleet.hostNames[0], fleetPathPrefix+jobID(gangJob), fleetKey, body); answer.status != http.StatusOK {
		fleet.Fatalf("submission of the gang was answered %d", answer.status)
	}
	cutOff := fleet.awaitRun(cutIn)
	time.Sleep(gangRunTime - gangCutLead)
	heal := fleet.fabric.Cut([]string{cutOff.ID}, append([]string{"store", "client"}, fleet.hostNames...))
	time.Sleep(2 * gangCutLead)
	replace(fleet)
	time.Sleep(gangCutTime)
	heal()
	fleet.awaitState(jobID(gangJob), want, time.Minute)
	if last, want := fleet.lastRun(), min(failing+1, gangAttempts); last != want {
		fleet.Errorf("the last run of the gang has number %d, want %d", last, want)
	}
}

// awaitRun waits until the gang has begun a run, and returns the worker of one of its members.
func (fleet *fleet) awaitRun(number int) *emulator.Worker {
	fleet.Helper()
	for range 3000 {
		for _, worker := range fleet.workers {
			for _, run := range worker.History() {
				if run.Run == number && strings.HasPrefix(run.Task, jobID(gangJob)) {
					return worker
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	fleet.Fatalf("run %d of the gang did not begin", number)
	return nil
}

// lastRun returns the highest number of a run of the gang.
func (fleet *fleet) lastRun() int {
	last := 0
	for _, worker := range fleet.workers {
		for _, run := range worker.History() {
			if strings.HasPrefix(run.Task, jobID(gangJob)) {
				last = max(last, run.Run)
			}
		}
	}
	return last
}
