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

// fault is something that goes wrong for a while.
type fault struct {
	name   string
	inject func(*harness) (heal func())
	lasts  time.Duration
}

// hostsOf returns the names of all hosts and workers of a zone.
func (h *harness) hostsOf(zone string) []string {
	var names []string
	for _, name := range h.Names {
		if strings.HasPrefix(name, "entry-"+zone) {
			names = append(names, name)
		}
	}
	for name := range h.Workers {
		if strings.HasPrefix(name, "w-"+zone) {
			names = append(names, name)
		}
	}
	return names
}

// pastLease is longer than any lease and what is added to it.
const pastLease = 50 * time.Second

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
	}, pastLease},
	{"workerRestarted", func(h *harness) func() {
		h.Workers["w-a-00"].Reboot()
		h.fabric.Reset("w-a-00")
		return func() {}
	}, time.Second},
	{"workerPaused", func(h *harness) func() {
		h.Workers["w-a-01"].Pause()
		return h.Workers["w-a-01"].Resume
	}, pastLease},
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
	{"listWrong", func(h *harness) func() {
		h.List.SetLag(8 * time.Second)
		h.Workers["w-a-00"].Reboot()
		return func() { h.List.SetLag(0) }
	}, 10 * time.Second},
	{"zonesCut", func(h *harness) func() {
		return h.fabric.Cut(h.hostsOf("a"), append(h.hostsOf("b"), h.hostsOf("c")...))
	}, 20 * time.Second},
	{"platformCut", func(h *harness) func() {
		return h.fabric.Cut(h.hostsOf("a"), platformHosts)
	}, 20 * time.Second},
}

func TestFaults(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) { underFaults(t, fault) })
	}
}

func TestFaultPairs(t *testing.T) {
	for i, first := range faults {
		for _, second := range faults[i+1:] {
			t.Run(first.name+"+"+second.name, func(t *testing.T) { underFaults(t, first, second) })
		}
	}
}

// underFaults runs a mixed load while faults come and go, and checks every outcome.
func underFaults(t *testing.T, present ...fault) {
	t.Helper()
	inBubble(t, 2, func(h *harness) {
		load := &load{h: h, replies: map[string][]reply{}}
		load.start()
		time.Sleep(2 * time.Second)
		var wait sync.WaitGroup
		for _, fault := range present {
			wait.Go(func() {
				heal := fault.inject(h)
				time.Sleep(fault.lasts)
				heal()
			})
			time.Sleep(700 * time.Millisecond)
		}
		wait.Wait()
		time.Sleep(5 * time.Second)
		load.stop()
		time.Sleep(pastLease)
		load.check()
		h.checkRecovered()
	})
}

// load is a mixed stream of requests through all hosts.
type load struct {
	h       *harness
	mu      sync.Mutex
	replies map[string][]reply // by key or number
	jobs    []string
	done    chan struct{}
	wait    sync.WaitGroup
}

const callers = 6

func (load *load) start() {
	load.done = make(chan struct{})
	for caller := range callers {
		load.wait.Go(func() { load.call(caller) })
	}
	load.wait.Go(load.submit)
}

func (load *load) stop() {
	close(load.done)
	load.wait.Wait()
}

func (load *load) stopped(pause time.Duration) bool {
	select {
	case <-load.done:
		return true
	case <-time.After(pause):
		return false
	}
}

// call sends one request after another: keyed ones through two hosts at once, and plain ones.
func (load *load) call(caller int) {
	h := load.h
	for number := 0; !load.stopped(time.Duration(150+10*caller) * time.Millisecond); number++ {
		host := h.Names[(caller+number)%len(h.Names)]
		name := fmt.Sprintf("c%d-%d", caller, number)
		query := fmt.Sprintf("?workMS=%d&name=%s", 50+100*(number%5), name)
		if number%3 != 0 {
			load.add(name, h.post(host, query))
			continue
		}
		other := h.Names[(caller+number+3)%len(h.Names)]
		var wait sync.WaitGroup
		for _, through := range []string{host, other} {
			wait.Go(func() { load.add(name, h.post(through, query, "Idempotency-Key", name)) })
		}
		wait.Wait()
		load.add(name, h.post(other, query, "Idempotency-Key", name))
	}
}

func (load *load) add(name string, answer reply) {
	load.mu.Lock()
	defer load.mu.Unlock()
	load.replies[name] = append(load.replies[name], answer)
}

// submit hands in a job now and then; what is not accepted is not counted.
func (load *load) submit() {
	h := load.h
	for number := 0; !load.stopped(900 * time.Millisecond); number++ {
		body := fmt.Sprintf(`{"service":"work","gang":%v,"idempotent":%v,"tasks":[{"target":"?workMS=400&name=job%d.0"},{"target":"?workMS=400&name=job%d.1"}]}`,
			number%3 == 0, number%2 == 0, number, number)
		answer := h.ask(h.ctx, h.Names[number%len(h.Names)], http.MethodPost, "/v1/jobs", teamKey, []byte(body))
		if answer.status == http.StatusAccepted {
			load.jobs = append(load.jobs, strings.TrimPrefix(answer.header.Get("Location"), "/v1/jobs/"))
		}
	}
}

// check holds every outcome against what the workers saw.
func (load *load) check() {
	h := load.h
	h.Helper()
	answered, total := 0, 0
	for name, replies := range load.replies {
		begins := h.witness.begins("&name=" + name)
		begun := len(begins)
		if begun > 1 {
			h.Errorf("request %s, which is not idempotent, ran %d times: %v", name, begun, begins)
		}
		for _, answer := range replies {
			total++
			if answer.outcome == responder.Answered {
				answered++
			}
			checkReply(h, name, answer, begun, len(replies))
		}
	}
	if total == 0 || 2*answered < total {
		h.Errorf("only %d of %d requests were answered", answered, total)
	}
	load.checkJobs()
}

func checkReply(h *harness, name string, answer reply, begun, offers int) {
	h.Helper()
	switch {
	case answer.err != nil:
		return
	case answer.outcome == responder.Answered && begun == 0:
		h.Errorf("request %s was answered and never ran", name)
	case answer.outcome == responder.NotRun && begun > 0 && offers == 1:
		h.Errorf("request %s was refused as not run and ran: %+v", name, answer.problem)
	case answer.outcome == responder.NotRun && h.witness.ran(answer.problem.Request) > 0:
		h.Errorf("request %s (%s) was refused as not run and ran", name, answer.problem.Request)
	case answer.outcome == "":
		h.Errorf("request %s has no outcome: %+v", name, answer)
	}
}

func (load *load) checkJobs() {
	h := load.h
	h.Helper()
	for _, id := range load.jobs {
		job := h.job("entry-b-0", id)
		if !job.Finished() {
			h.Errorf("job %s, accepted, has not ended: %+v", id, job.Tasks)
		}
		for i, task := range job.Tasks {
			ran := h.witness.ran(fmt.Sprintf("%s_%d", id, i))
			if task.State == server.JobDone && ran == 0 {
				h.Errorf("task %d of job %s is done and never ran", i, id)
			}
			if !job.Spec.Idempotent && ran > 1 {
				h.Errorf("task %d of job %s, which is not idempotent, ran %d times", i, id, ran)
			}
		}
	}
}

// urgentBound is the target's bound for the start of urgent work.
const urgentBound = 1400 * time.Millisecond

func (h *harness) checkRecovered() {
	h.Helper()
	for _, host := range h.Names {
		answer := h.post(host, "?workMS=10")
		if answer.outcome != responder.Answered || answer.took > urgentBound {
			h.Errorf("after all healed, %s answered after %s: %+v", host, answer.took, answer)
		}
	}
}
