package main

import (
	"fmt"
	"sync"
	"time"
)

// playConfig lowers a tenant's cap while a new decider restores its tables: the host that decided has been killed. The lower cap has to hold
// once the bound of configurations is over.
func (rig *rig) playConfig() error {
	const (
		key, batchKey = "3hh2b9wu3fexd9dnn2ct", "nfzs989anu6wsjnbanfq"
		retained      = 1850 // jobs of one retention time (status_s) at the rate of the sheet
		submitters    = 20
		lowCap        = 2000
		taskCPU       = 1000
		tail          = 9 * time.Millisecond             // from the last page of the journal to the operator's change
		bound         = (2000 + 5000) * time.Millisecond // configApplyMs and maxStretchMs
	)
	capped := team{Name: "hule930", APIKeys: []string{key}, Weight: 100}
	other := team{Name: "dacu673", APIKeys: []string{batchKey}, Weight: 1000}
	if err := rig.begin(3, 8, amount{CPU: 32000, MemMB: 65536}, capped, other); err != nil {
		return err
	}
	if err := rig.fill(retained, submitters, other.Name, batchKey); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { rig.stream(stop, capped.Name, key, taskCPU) })
	defer func() { close(stop); wait.Wait() }()
	time.Sleep(3 * time.Second)
	leader := rig.leader()
	lowered := make(chan time.Time, 1)
	lower := func() {
		time.Sleep(tail)
		capped.Cap = amount{CPU: lowCap}
		lowered <- rig.configure(capped, other)
	}
	if rig.trouble {
		var once sync.Once
		rig.store.mu.Lock()
		rig.store.newestServed = func(host, topic string) {
			if host != leader.name && topic == "keyed.ebonyshunt-jobs" {
				once.Do(func() { go lower() })
			}
		}
		rig.store.mu.Unlock()
		go func() { _ = rig.killAndRestart(leader) }()
	} else {
		go lower()
	}
	var at time.Time
	select {
	case at = <-lowered:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("no host took over within 10 s")
	}
	time.Sleep(bound + 8*time.Second)
	most, limit := rig.mostRunningAfter(capped.Name, at.Add(bound)), int64(lowCap*(1+quotaOverage)+taskCPU)
	rig.say("the tenant's cap is %d since %.3f s; %v later a start may bring it to %d at most; most running at a start: %d",
		lowCap, at.Sub(rig.began).Seconds(), bound, limit, most)
	rig.logged(20, `"msg":"decider"`, "configuration in force", `"msg":"deciding"`, `"grounds":"window"`)
	if most > limit {
		return fmt.Errorf("%w: QUOTA: a start brought the tenant to %d thousandths of a core, above %d", errBroken, most, limit)
	}
	return nil
}

// fill hands in a number of short jobs, so that the journal holds as many states as on a usual day.
func (rig *rig) fill(jobs, submitters int, teamName, key string) error {
	var wait sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for range submitters {
		wait.Go(func() {
			for range jobs / submitters {
				if rig.submit(newID(), teamName, key, 10*time.Millisecond, step{Count: 6, CPU: 100, MemMB: 100, EstimateMS: 10}) {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
		})
	}
	wait.Wait()
	rig.say("%d jobs were accepted", accepted)
	if accepted < jobs*9/10 {
		return fmt.Errorf("only %d of %d jobs were accepted", accepted, jobs)
	}
	return nil
}

// stream hands in jobs that keep some 10 tasks at work, until it is stopped.
func (rig *rig) stream(stop chan struct{}, teamName, key string, taskCPU int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
			go rig.submit(newID(), teamName, key, time.Second, step{Count: 2, CPU: taskCPU, MemMB: 256, EstimateMS: 1000})
		}
	}
}
