package tests

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/standin/logserver"
)

// fault is a temporary fault. Its inject function returns the function that ends it.
type fault struct {
	name     string
	inject   func(*harness) (heal func())
	duration time.Duration
}

// nodesOfZone returns the names of all hosts and workers of a zone.
func (harness *harness) nodesOfZone(zone string) []string {
	var names []string
	for _, name := range harness.Names {
		if strings.HasPrefix(name, "entry-"+zone) {
			names = append(names, name)
		}
	}
	for name := range harness.Workers {
		if strings.HasPrefix(name, "w-"+zone) {
			names = append(names, name)
		}
	}
	return names
}

// leaseExpiryWait is longer than any lease plus its safety margins.
const leaseExpiryWait = 50 * time.Second

var platformHosts = []string{"platform-log", "platform-list"}

var faults = []fault{
	{"hostKilled", func(h *harness) func() {
		h.KillHost("entry-a-0")
		return func() {
			if err := h.StartHost("entry-a-0"); err != nil {
				h.Error(err)
			}
		}
	}, 5 * time.Second},
	{"hostPaused", func(h *harness) func() {
		h.fabric.Pause("entry-a-0")
		return func() { h.fabric.Resume("entry-a-0") }
	}, leaseExpiryWait},
	{"workerRestarted", func(h *harness) func() {
		h.Workers["w-a-00"].Reboot()
		h.fabric.Reset("w-a-00")
		return func() {}
	}, time.Second},
	{"workerPaused", func(h *harness) func() {
		h.Workers["w-a-01"].Pause()
		return h.Workers["w-a-01"].Resume
	}, leaseExpiryWait},
	{"logDown", func(h *harness) func() {
		h.Log.SetFaults(logserver.Faults{Down: true})
		return func() { h.Log.SetFaults(logserver.Faults{}) }
	}, 20 * time.Second},
	{"logSlow", func(h *harness) func() {
		h.Log.SetFaults(logserver.Faults{Delay: 1500 * time.Millisecond})
		return func() { h.Log.SetFaults(logserver.Faults{}) }
	}, 20 * time.Second},
	{"appendsLost", func(h *harness) func() {
		h.Log.SetFaults(logserver.Faults{LoseAnswers: 5})
		return func() { h.Log.SetFaults(logserver.Faults{}) }
	}, 10 * time.Second},
	{"listStale", func(h *harness) func() {
		h.List.SetLag(8 * time.Second)
		h.Workers["w-a-00"].Reboot()
		return func() { h.List.SetLag(0) }
	}, 10 * time.Second},
	{"zonesCut", func(h *harness) func() {
		return h.fabric.Cut(h.nodesOfZone("a"), append(h.nodesOfZone("b"), h.nodesOfZone("c")...))
	}, 20 * time.Second},
	{"platformCut", func(h *harness) func() {
		return h.fabric.Cut(h.nodesOfZone("a"), platformHosts)
	}, 20 * time.Second},
}

// TestFaults injects each fault alone.
func TestFaults(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) { runUnderFaults(t, fault) })
	}
}

// TestFaultPairs injects each pair of faults, the second one 0.7 s after the first.
func TestFaultPairs(t *testing.T) {
	for i, first := range faults {
		for _, second := range faults[i+1:] {
			t.Run(first.name+"+"+second.name, func(t *testing.T) { runUnderFaults(t, first, second) })
		}
	}
}

// runUnderFaults runs a mixed load while the faults are active, and checks every outcome after all have ended.
func runUnderFaults(t *testing.T, active ...fault) {
	t.Helper()
	runCellTest(t, 2, func(h *harness) {
		load := &load{h: h, replies: map[string][]reply{}}
		load.start()
		time.Sleep(2 * time.Second)
		var wait sync.WaitGroup
		for _, fault := range active {
			wait.Go(func() {
				heal := fault.inject(h)
				time.Sleep(fault.duration)
				heal()
			})
			time.Sleep(700 * time.Millisecond)
		}
		wait.Wait()
		time.Sleep(5 * time.Second)
		load.stop()
		time.Sleep(leaseExpiryWait)
		load.checkReplies()
		h.checkRecovered()
	})
}

// load sends a mix of requests and jobs through all hosts.
type load struct {
	h       *harness
	mu      sync.Mutex
	replies map[string][]reply // by name of the request
	jobs    []string
	done    chan struct{}
	wait    sync.WaitGroup
}

const callerCount = 6

func (load *load) start() {
	load.done = make(chan struct{})
	for caller := range callerCount {
		load.wait.Go(func() { load.sendRequests(caller) })
	}
	load.wait.Go(load.submitJobs)
}

func (load *load) stop() {
	close(load.done)
	load.wait.Wait()
}

// stoppedWithin waits and reports whether the load was stopped before the interval had passed.
func (load *load) stoppedWithin(interval time.Duration) bool {
	select {
	case <-load.done:
		return true
	case <-time.After(interval):
		return false
	}
}

// sendRequests sends one request after another. Every third one has an idempotency key: it is sent through two
// hosts at once, and then again.
func (load *load) sendRequests(caller int) {
	h := load.h
	for number := 0; !load.stoppedWithin(time.Duration(150+10*caller) * time.Millisecond); number++ {
		host := h.Names[(caller+number)%len(h.Names)]
		name := fmt.Sprintf("c%d-%d", caller, number)
		query := fmt.Sprintf("?workMS=%d&name=%s", 50+100*(number%5), name)
		if number%3 != 0 {
			load.recordReply(name, h.post(host, query))
			continue
		}
		otherHost := h.Names[(caller+number+3)%len(h.Names)]
		var wait sync.WaitGroup
		for _, entryHost := range []string{host, otherHost} {
			wait.Go(func() { load.recordReply(name, h.post(entryHost, query, "Idempotency-Key", name)) })
		}
		wait.Wait()
		load.recordReply(name, h.post(otherHost, query, "Idempotency-Key", name))
	}
}

func (load *load) recordReply(name string, answer reply) {
	load.mu.Lock()
	defer load.mu.Unlock()
	load.replies[name] = append(load.replies[name], answer)
}

// submitJobs submits a job every 900 ms. Jobs that are not accepted are not checked.
func (load *load) submitJobs() {
	h := load.h
	for number := 0; !load.stoppedWithin(900 * time.Millisecond); number++ {
		body := fmt.Sprintf(`{"service":"work","gang":%v,"idempotent":%v,"tasks":[{"target":"?workMS=400&name=job%d.0"},{"target":"?workMS=400&name=job%d.1"}]}`,
			number%3 == 0, number%2 == 0, number, number)
		answer := h.send(h.ctx, h.Names[number%len(h.Names)], http.MethodPost, "/v1/jobs", teamKey, []byte(body))
		if answer.status == http.StatusAccepted {
			load.jobs = append(load.jobs, strings.TrimPrefix(answer.header.Get("Location"), "/v1/jobs/"))
		}
	}
}

// checkReplies compares every outcome with the attempts that the workers ran.
func (load *load) checkReplies() {
	h := load.h
	h.Helper()
	answered, total := 0, 0
	for name, replies := range load.replies {
		attempts := h.observer.attemptsOf("&name=" + name)
		attemptCount := len(attempts)
		if attemptCount > 1 {
			h.Errorf("request %s, which is not idempotent, ran %d times: %v", name, attemptCount, attempts)
		}
		for _, answer := range replies {
			total++
			if answer.outcome == responder.Answered {
				answered++
			}
			checkReply(h, name, answer, attemptCount, len(replies))
		}
	}
	if total == 0 || 2*answered < total {
		h.Errorf("only %d of %d requests were answered", answered, total)
	}
	load.checkJobs()
}

func checkReply(h *harness, name string, answer reply, attempts, replyCount int) {
	h.Helper()
	switch {
	case answer.err != nil:
		return
	case answer.outcome == responder.Answered && attempts == 0:
		h.Errorf("request %s was answered but never ran", name)
	case answer.outcome == responder.NotRun && attempts > 0 && replyCount == 1:
		h.Errorf("request %s was refused as not run but ran: %+v", name, answer.problem)
	case answer.outcome == responder.NotRun && h.observer.attemptCount(answer.problem.Request) > 0:
		h.Errorf("request %s (%s) was refused as not run but ran", name, answer.problem.Request)
	case answer.outcome == "":
		h.Errorf("request %s has no outcome: %+v", name, answer)
	}
}

func (load *load) checkJobs() {
	h := load.h
	h.Helper()
	for _, id := range load.jobs {
		job := h.fetchJob("entry-b-0", id)
		if !job.Finished() {
			h.Errorf("accepted job %s has not ended: %+v", id, job.Tasks)
		}
		for i, task := range job.Tasks {
			work := fmt.Sprintf("%s_%d", id, i)
			ran := h.observer.attemptCount(work)
			if task.State == server.JobDone && ran == 0 {
				h.Errorf("task %d of job %s is done but never ran", i, id)
			}
			if !job.Spec.Idempotent && ran > 1 {
				h.Errorf("task %d of job %s, which is not idempotent, ran %d times, and is %s after attempt %s:\n%s", i, id, ran, task.State, task.Task, h.observer.history(work))
			}
		}
	}
}

// maxUrgentDelay is the target's bound for the time until urgent work starts.
const maxUrgentDelay = 1400 * time.Millisecond

func (harness *harness) checkRecovered() {
	harness.Helper()
	for _, host := range harness.Names {
		answer := harness.post(host, "?workMS=10")
		if answer.outcome != responder.Answered || answer.took > maxUrgentDelay {
			harness.Errorf("after all faults ended, %s answered after %s: %+v", host, answer.took, answer)
		}
	}
}

// TestSupersededDecider guards against a decider that returns from a pause, is given the records of its successor before its
// term ends, and starts its successor's tasks again on a worker that the successor could not claim.
func TestSupersededDecider(t *testing.T) {
	runCellTest(t, 2, func(h *harness) {
		heal := h.fabric.Cut([]string{"entry-a-1"}, []string{"w-a-01"})
		h.fabric.Pause("entry-a-0")
		time.Sleep(leaseExpiryWait)
		job := h.submitJob("entry-a-1", server.JobSpec{Service: "work", Tasks: taskSpecs(12, "?workMS=3000")})
		time.Sleep(time.Second)
		h.fabric.Resume("entry-a-0")
		time.Sleep(time.Second)
		heal()
		h.checkRanOnce(h.awaitJob("entry-a-1", job.ID, time.Minute))
	})
}

// checkRanOnce fails the test unless each task of a job is done and ran once.
func (harness *harness) checkRanOnce(job server.Job) {
	harness.Helper()
	for i, task := range job.Tasks {
		work := fmt.Sprintf("%s_%d", job.ID, i)
		ran := harness.observer.attemptCount(work)
		if task.State != server.JobDone || ran != 1 {
			harness.Errorf("task %d is %s and ran %d times, want once and done:\n%s", i, task.State, ran, harness.observer.history(work))
		}
	}
}
