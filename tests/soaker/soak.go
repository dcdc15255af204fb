package soaker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ebonyshunt.org/standin/caller"
)

// soak is one run of a plan.
type soak struct {
	plan         Plan
	folder       string // of settings and logs
	port         int    // of all addresses
	portHolder   net.Listener
	platform     *platform
	links        linkSet
	hosts        []*host
	jobs         jobList
	timeline     timeline
	trafficEnds  chan struct{} // closed to end the clients
	trafficEnded chan struct{} // closed when they have ended
	started      time.Time
	calls        *os.File

	mu         sync.Mutex
	violations []string
	statuses   map[string]int // of the calls
}

const (
	readyWithin   = 20 * time.Second
	checkInterval = 5 * time.Second
	standingJobs  = 2
)

// Result is what was seen in a run.
type Result struct {
	Violations []string // a line for each violation of a rule
	Jobs       map[string]int
	Runs       map[string]int // by outcome
	Calls      map[string]int // by status
}

// Run carries out a plan with hosts of the given program. Logs go to the folder.
func Run(plan Plan, program, folder string) (Result, error) {
	soak := &soak{plan: plan, folder: folder, links: linkSet{}, trafficEnds: make(chan struct{}), trafficEnded: make(chan struct{}), started: time.Now(), statuses: map[string]int{}}
	defer soak.Close()
	if err := soak.start(program); err != nil {
		return Result{}, err
	}
	soak.runTraffic()
	soak.finish()
	return soak.result(), soak.writeRecords()
}

// start starts the platform, the links and the hosts, and waits until all hosts are ready.
func (soak *soak) start(program string) error {
	var err error
	if soak.calls, err = os.Create(filepath.Join(soak.folder, "calls.log")); err != nil {
		return fmt.Errorf("create log of calls: %w", err)
	}
	// All servers use the port of this listener, which keeps it from other runs.
	if soak.portHolder, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return fmt.Errorf("choose a port: %w", err)
	}
	soak.port = soak.portHolder.Addr().(*net.TCPAddr).Port
	if soak.platform, err = startPlatform(soak.plan, soak.port); err != nil {
		return err
	}
	if err := soak.openLinks(); err != nil {
		return err
	}
	for number := 1; number <= soak.plan.Hosts; number++ {
		host, err := newHost(number, soak.plan, soak.port, program, soak.folder, soak.report)
		if err != nil {
			return err
		}
		soak.hosts = append(soak.hosts, host)
		if err := host.start(); err != nil {
			return err
		}
	}
	return soak.awaitReady()
}

// openLinks opens the links of all hosts and of the clients.
func (soak *soak) openLinks() error {
	open := func(source int, target endpoint) error {
		link, err := listen(source, target, soak.port)
		if err == nil {
			soak.links[linkKey{source, target}] = link
		}
		return err
	}
	for host := 1; host <= soak.plan.Hosts; host++ {
		targets := []endpoint{{storeGroup, host}}
		for peer := 1; peer <= soak.plan.Hosts; peer++ {
			targets = append(targets, endpoint{peerGroup, peer})
		}
		for worker := 1; worker <= soak.plan.Workers; worker++ {
			targets = append(targets, endpoint{workerGroup, worker})
		}
		for _, target := range targets {
			if err := open(host, target); err != nil {
				return err
			}
		}
		if err := open(clientSource, endpoint{httpGroup, host}); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until a probe of each host is answered under the first configuration.
func (soak *soak) awaitReady() error {
	deadline := time.Now().Add(readyWithin)
	for _, host := range soak.hosts {
		caller := caller.New(endpoint{readinessGroup, host.number}.address(listening, soak.port))
		for !caller.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %d is not ready after %v", host.number, readyWithin)
			}
			time.Sleep(probeInterval)
		}
		caller.Close()
	}
	return nil
}

// runTraffic lets the clients run while the plan's faults are injected, and returns when both have ended.
func (soak *soak) runTraffic() {
	random := rand.New(rand.NewPCG(soak.plan.Seed, 0))
	standing := newClient(soak, 0)
	for range standingJobs {
		standing.submit(soak.jobs.add(random, standingJob))
	}
	standing.close()
	var traffic, faults sync.WaitGroup
	for number := range soak.plan.Clients {
		traffic.Go(newClient(soak, uint64(number)+1).run)
	}
	for _, host := range soak.hosts {
		traffic.Go(newProber(soak, host).run)
	}
	traffic.Go(newForeignClient(soak).run)
	traffic.Go(soak.checkAtIntervals)
	for _, event := range soak.plan.Events {
		faults.Go(func() {
			time.Sleep(event.At)
			soak.inject(event)
		})
	}
	faults.Wait()
	close(soak.trafficEnds)
	deadline := time.Now().Add(finishWithin)
	go func() {
		traffic.Wait()
		close(soak.trafficEnded)
	}()
	soak.awaitEnds(deadline)
	<-soak.trafficEnded
}

func (soak *soak) checkAtIntervals() {
	for !isClosed(soak.trafficEnds) {
		soak.checkRuns()
		time.Sleep(checkInterval)
	}
}

// awaitEnds waits until all accepted jobs are shown as ended, and reports those that are not at the deadline.
func (soak *soak) awaitEnds(deadline time.Time) {
	client := newClient(soak, 0)
	defer client.close()
	waiting := func() []*job {
		var found []*job
		for _, job := range soak.jobs.all() {
			seen := job.observations()
			if kindOf(job.ID) != standingJob && !seen.acceptedAt.IsZero() && seen.state == "" {
				found = append(found, job)
			}
		}
		return found
	}
	for {
		jobs := waiting()
		for _, job := range jobs {
			client.query(job)
		}
		if len(jobs) == 0 && isClosed(soak.trafficEnded) {
			return
		}
		if time.Now().After(deadline) {
			for _, job := range waiting() {
				soak.report("LOST: job %s has not ended %v after the last fault", job.ID, finishWithin)
			}
			return
		}
		time.Sleep(probeInterval)
	}
}

// finish makes the checks of the end: the standing jobs run, and end when they are canceled.
func (soak *soak) finish() {
	now := time.Now()
	client := newClient(soak, 0)
	defer client.close()
	for _, job := range soak.jobs.all() {
		if kindOf(job.ID) == standingJob && !job.observations().acceptedAt.IsZero() {
			soak.checkStanding(job, now)
			if !client.cancel(job) {
				soak.report("ACKS: the cancel of job %s was not acknowledged", job.ID)
			}
		}
	}
	time.Sleep(cancelWithin + stopTime)
	soak.checkRuns()
	for _, run := range soak.allRuns() {
		if run.Ended.IsZero() {
			soak.report("UNASKED: %s run %d still runs at the end", run.Task, run.Run)
		}
	}
}

// report records a violation once.
func (soak *soak) report(format string, args ...any) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	violation := fmt.Sprintf(format, args...)
	for _, known := range soak.violations {
		if strings.HasSuffix(known, violation) {
			return
		}
	}
	soak.violations = append(soak.violations, fmt.Sprintf("%7.3f %s", time.Since(soak.started).Seconds(), violation))
}

// logCall writes a line for a call of a client.
func (soak *soak) logCall(method, id string, host int, answer caller.Answer) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.statuses[fmt.Sprintf("%.6s %d", method, answer.Status)]++
	fmt.Fprintf(soak.calls, "%7.3f to %7.3f %s %s at host %d: status %d %s refused %v timed out %v\n", answer.SentAt.Sub(soak.started).Seconds(),
		answer.ReceivedAt.Sub(soak.started).Seconds(), method, id, host, answer.Status, answer.State, answer.Refused, answer.TimedOut)
}

// result counts what was seen.
func (soak *soak) result() Result {
	result := Result{Violations: soak.violations, Jobs: map[string]int{}, Runs: map[string]int{}, Calls: soak.statuses}
	for _, job := range soak.jobs.all() {
		seen := job.observations()
		state := seen.state
		if state == "" && !seen.acceptedAt.IsZero() {
			state = "accepted"
		}
		if state == "" {
			state = "not accepted"
		}
		result.Jobs[state]++
	}
	for _, run := range soak.allRuns() {
		result.Runs[run.Outcome]++
	}
	return result
}

// writeRecords writes the faults, the runs and the violations to the folder.
func (soak *soak) writeRecords() error {
	lines := append([]string{"violations:"}, soak.violations...)
	lines = append(lines, "started at "+soak.started.Format(time.RFC3339Nano), "faults:")
	lines = append(lines, soak.timeline.lines(soak.started)...)
	lines = append(lines, "runs:")
	for _, run := range soak.allRuns() {
		lines = append(lines, fmt.Sprintf("%7.3f to %7.3f %s run %d on worker %d: %s acknowledged %v expired %v", run.At.Sub(soak.started).Seconds(),
			run.Ended.Sub(soak.started).Seconds(), run.Task, run.Run, run.worker, run.Outcome, run.Acknowledged, run.Expired))
	}
	if err := os.WriteFile(filepath.Join(soak.folder, "records.log"), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return fmt.Errorf("write records: %w", err)
	}
	return nil
}

// Close ends the processes, the links and the platform, and waits for them.
func (soak *soak) Close() {
	for _, host := range soak.hosts {
		host.Close()
	}
	soak.links.Close()
	if soak.platform != nil {
		soak.platform.Close()
	}
	if soak.portHolder != nil {
		soak.portHolder.Close()
	}
	if soak.calls != nil {
		soak.calls.Close()
	}
}
