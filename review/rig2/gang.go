package main

import (
	"sync"
	"time"
)

const (
	gangSize     = 2
	gangWork     = 2500 * time.Millisecond
	gangAttempts = 2
)

// gangs ends the runs of a job's only step together: all members of run 1 fail at the same moment, those of later runs are done.
type gangs struct {
	mu      sync.Mutex
	members map[int][]func(how string)
}

// gang lets both members of a gang fail at the same moment, while the worker of one of them is cut off, and kills the host that decides
// before the cut ends. The gang has then failed once, of two times that it may.
func gang(rig *rig) int {
	const job = "00000000000000f6"
	storeAddress := rig.serveStore()
	rig.putConfig(7, gangAttempts, "batch")
	rig.gangs = &gangs{members: map[int][]func(string){}}
	for number := range workersPerPool {
		rig.newWorker(workerID("batch", number), "batch", "zone-1", "r-1", nil)
	}
	rig.startHosts(3, storeAddress)
	time.Sleep(2 * time.Second)
	step := map[string]any{"count": gangSize, "cpu": 20000, "memMb": 1024, "estimateMs": 3000, "gang": true, "antiAffinity": 1}
	if status, _ := rig.client("POST", "/batch/"+job, map[string]any{"spec": "x", "steps": []any{step}}); status != 200 {
		fatal("the job was not accepted")
	}
	time.Sleep(gangWork - 500*time.Millisecond)
	if rig.trouble {
		worker, _ := rig.runOf(job)
		if worker == nil {
			fatal("the gang does not run")
		}
		worker.setCut(true)
		rig.record("%s cut off", worker.id)
		time.Sleep(1200 * time.Millisecond) // the gang fails, and the other member's end is stored
		decider := rig.decider()
		if decider == nil {
			fatal("no decider is known")
		}
		rig.killHost(decider)
		time.Sleep(500 * time.Millisecond)
		rig.startHost(decider)
		time.Sleep(1500 * time.Millisecond)
		worker.setCut(false)
		rig.record("%s reachable again", worker.id)
	}
	state := ""
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until) && state != "completed" && state != "failed"; time.Sleep(time.Second) {
		state = rig.state("/batch/" + job)
	}
	second := rig.startedRun(job+".0.0.0", 2)
	rig.record("result: job %s is %s, a second run started: %v", job, state, second)
	switch {
	case state == "failed" && !second:
		return exitBroken
	case state == "completed":
		return exitHeld
	}
	return exitFailed
}

// join adds a run of a gang. With the last member of a run, all of them begin to work, and end together.
func (gangs *gangs) join(number int, end func(how string)) {
	gangs.mu.Lock()
	defer gangs.mu.Unlock()
	gangs.members[number] = append(gangs.members[number], end)
	if len(gangs.members[number]) < gangSize {
		return
	}
	members, how := gangs.members[number], "done"
	if number == 1 {
		how = "failed"
	}
	time.AfterFunc(gangWork, func() {
		for _, end := range members {
			end(how)
		}
	})
}

// startedRun reports whether a run of a task was started.
func (rig *rig) startedRun(task string, number int) bool {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	return rig.startedTasks[task] >= number
}
