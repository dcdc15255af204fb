package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playDelete freezes a host that does not decide and hands a job in through it. The client gets no answer and cancels the job through another
// host, which answers that there is no such job. The job must not be at work later.
func (rig *rig) playDelete() error {
	const (
		key      = "3hh2b9wu3fexd9dnn2ct"
		freeze   = 3500 * time.Millisecond
		cancelIn = 3 * time.Second // cancel_ms
	)
	if err := rig.begin(3, 7, amount{CPU: 32000, MemMB: 65536}, team{Name: "hule930", APIKeys: []string{key}, Weight: 100}); err != nil {
		return err
	}
	leader := rig.leader()
	var frozen, other *host
	for _, host := range rig.hosts {
		switch {
		case host == leader:
		case frozen == nil:
			frozen = host
		default:
			other = host
		}
	}
	job := newID()
	rig.durations[job] = 20 * time.Second
	if rig.trouble {
		rig.say("trouble: %s freezes for %v", frozen.name, freeze)
		_ = frozen.process.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() { _ = frozen.process.Process.Signal(syscall.SIGCONT) })
	}
	body := map[string]any{"spec": "work", "steps": []step{{Count: 1, CPU: 1000, MemMB: 256, EstimateMS: 20000}}}
	status, _ := rig.call(frozen, http.MethodPost, "/lohu930/"+job, key, body)
	rig.say("client: POST job %s at %s: %d (0 is no answer within 3 s)", job, frozen.name, status)
	status, _ = rig.call(other, http.MethodDelete, "/lohu930/"+job, key, nil)
	acknowledged := time.Now()
	rig.say("client: DELETE job %s at %s: %d", job, other.name, status)
	if status != http.StatusGone && status != http.StatusOK {
		return fmt.Errorf("the cancelling was not acknowledged")
	}
	time.Sleep(cancelIn + stopBound + 4*time.Second)
	at := rig.runningAt(job)
	rig.say("%.1f s after the acknowledgement: state %s, at work: %t", time.Since(acknowledged).Seconds(), rig.state(job, key), at != nil)
	if at != nil {
		return fmt.Errorf("%w: UNASKED: a task is at work %v after the job's cancelling was acknowledged", errBroken, time.Since(acknowledged).Round(time.Second))
	}
	return nil
}
