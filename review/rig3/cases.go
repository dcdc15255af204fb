package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	jobHost  = "jobs.example"
	firstKey = "key-of-the-first-tenant"
	otherKey = "key-of-the-other-tenant"
)

var zones = []string{"perth-a", "stirling-b", "dundee-c"}

// begin starts a small deployment: three hosts and a number of minions of one service, 32 cores each. Every third minion is of kind b, the
// others of kind a.
func begin(rig *rig, minions int, routes, tenants []map[string]any) error {
	for number := range minions {
		zone, kind := zones[number/3%len(zones)], "a"
		if number%3 == 2 {
			kind = "b"
		}
		if err := rig.addWorker(fmt.Sprintf("m%02d", number), "survey", zone, fmt.Sprintf("r%d", number/5), kind, 32000, 65536); err != nil {
			return err
		}
	}
	rig.publish(routes, tenants, "survey")
	if err := rig.startHosts(zones); err != nil {
		return err
	}
	if err := rig.awaitReady(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // no decider of before has to be waited for, and each minion was polled
	return nil
}

// awaitRun waits until a job has a run that goes on, and returns it.
func awaitRun(rig *rig, job string, within time.Duration) (runRecord, bool) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, run := range rig.runsOf(job) {
			if run.ended.IsZero() {
				return run, true
			}
		}
	}
	return runRecord{}, false
}

func (rig *rig) workerOf(run runRecord) *worker {
	for _, w := range rig.workers {
		if w.machine == run.machine {
			return w
		}
	}
	return nil
}

const (
	crashedFor  = 4500 * time.Millisecond
	afterCrash  = 15 * time.Second // a lease, the time for a new start, and more
	calmAtStart = 3 * time.Second
)

// crashes: the minions of two jobs crash twice, at most one in seven of the minions at a time, and come back.
func crashes(rig *rig, trouble bool) (bool, error) {
	const lasting, batch = "00000000000000a1", "00000000000000b2"
	routes := []map[string]any{route("watch", jobHost, "/watch/", "survey", 1, 2), route("rebuild", jobHost, "/rebuild/", "survey", 2, 3)}
	if err := begin(rig, 16, routes, []map[string]any{tenant("first", firstKey)}); err != nil {
		return false, err
	}
	rig.setDuration("watch", 0)
	rig.setDuration("rebuild", 40*time.Second)
	paths := map[string]string{lasting: "/watch/" + lasting, batch: "/rebuild/" + batch}
	steps := map[string]any{
		lasting: map[string]any{"spec": "watch", "steps": []any{map[string]any{"count": 1, "cpu": 24000, "memMb": 40000, "longRunning": true}}},
		batch:   map[string]any{"spec": "rebuild", "steps": []any{map[string]any{"count": 1, "cpu": 24000, "memMb": 40000, "estimateMs": 40000}}},
	}
	jobs := []string{lasting, batch}
	for _, job := range jobs {
		if status, _ := rig.callAny(http.MethodPost, jobHost, paths[job], firstKey, steps[job]); status/100 != 2 {
			return false, fmt.Errorf("job %s was not accepted", job)
		}
	}
	for _, job := range jobs {
		if _, found := awaitRun(rig, job, afterCrash); !found {
			return false, fmt.Errorf("job %s did not start", job)
		}
	}
	for range 2 {
		time.Sleep(calmAtStart)
		if !trouble {
			time.Sleep(crashedFor)
			continue
		}
		hit := map[*worker]bool{}
		for _, job := range jobs {
			if run, found := awaitRun(rig, job, afterCrash); found {
				hit[rig.workerOf(run)] = true
			}
		}
		for w := range hit {
			w.crash()
		}
		time.Sleep(crashedFor)
		for w := range hit {
			if err := w.begin(); err != nil {
				return false, err
			}
		}
	}
	rig.log("all minions are up from now on, and nothing is disturbed any more")
	broken := false
	for range 20 {
		time.Sleep(time.Second)
		for number, job := range jobs {
			_, answer := rig.call(rig.hosts[number%len(rig.hosts)], http.MethodGet, jobHost, paths[job], firstKey, nil)
			if state := stateIn(answer); state == "failed" || state == "cancelled" {
				broken = true
			}
		}
	}
	for _, job := range jobs {
		failed, open := 0, 0
		for _, run := range rig.runsOf(job) {
			if run.how == "failed" {
				failed++
			}
			if run.ended.IsZero() {
				open++
			}
		}
		rig.log("job %s: %d runs, of which %d ended failed and %d go on", job, len(rig.runsOf(job)), failed, open)
	}
	return broken, nil
}

const (
	firstStep = 3 * time.Second
	finishS   = 14 * time.Second
	afterThat = 6 * time.Second
)

// removed: a version removes the route of a job that was accepted and runs.
func removed(rig *rig, trouble bool) (bool, error) {
	const job = "00000000000000c3"
	kept, dropped := route("check", jobHost, "/check/", "survey", 0, 4), route("rebuild", jobHost, "/rebuild/", "survey", 2, 3)
	tenants := []map[string]any{tenant("first", firstKey)}
	if err := begin(rig, 10, []map[string]any{kept, dropped}, tenants); err != nil {
		return false, err
	}
	rig.setDuration("rebuild", firstStep)
	body := map[string]any{"spec": "rebuild", "steps": []any{
		map[string]any{"count": 2, "cpu": 4000, "memMb": 4000, "estimateMs": 3000},
		map[string]any{"count": 2, "cpu": 4000, "memMb": 4000, "estimateMs": 3000, "dependsOn": []int{0}},
	}}
	if status, _ := rig.callAny(http.MethodPost, jobHost, "/rebuild/"+job, firstKey, body); status/100 != 2 {
		return false, fmt.Errorf("the job was not accepted")
	}
	if _, found := awaitRun(rig, job, afterCrash); !found {
		return false, fmt.Errorf("the job did not start")
	}
	time.Sleep(firstStep / 3)
	if trouble {
		rig.publish([]map[string]any{kept}, tenants, "survey")
	} else {
		rig.publish([]map[string]any{kept, dropped}, tenants, "survey")
	}
	time.Sleep(firstStep + finishS + afterThat)
	done := 0
	for _, run := range rig.runsOf(job) {
		if run.how == "done" {
			done++
		}
	}
	rig.log("job %s: %d of 4 tasks have ended done", job, done)
	return done < 4, nil
}

// foreign: a client of another tenant uses an ID that a job of the first tenant has, on a queue of its own.
func foreign(rig *rig, trouble bool) (bool, error) {
	const job = "00000000000000d4"
	routes := []map[string]any{route("check", jobHost, "/check/", "survey", 0, 4), route("rebuild", jobHost, "/rebuild/", "survey", 2, 3)}
	if err := begin(rig, 6, routes, []map[string]any{tenant("first", firstKey), tenant("other", otherKey)}); err != nil {
		return false, err
	}
	rig.setDuration("first", 30*time.Second)
	rig.setDuration("other", 2*time.Second)
	body := func(spec string) map[string]any {
		return map[string]any{"spec": spec, "steps": []any{map[string]any{"count": 1, "cpu": 4000, "memMb": 4000, "estimateMs": 3000}}}
	}
	if status, _ := rig.callAny(http.MethodPost, jobHost, "/check/"+job, firstKey, body("first")); status/100 != 2 {
		return false, fmt.Errorf("the first job was not accepted")
	}
	other := "00000000000000d5"
	if trouble {
		other = job
	}
	status, _ := rig.callAny(http.MethodPost, jobHost, "/rebuild/"+other, otherKey, body("other"))
	time.Sleep(8 * time.Second)
	got, _ := rig.callAny(http.MethodGet, jobHost, "/rebuild/"+other, otherKey, nil)
	broken := status/100 == 2 && got == http.StatusGone
	rig.callAny(http.MethodDelete, jobHost, "/rebuild/"+other, otherKey, nil)
	time.Sleep(2 * time.Second)
	_, answer := rig.callAny(http.MethodGet, jobHost, "/check/"+job, firstKey, nil)
	if stateIn(answer) == "cancelled" {
		broken = true
	}
	return broken, nil
}

const (
	baseRate    = 4.5 // jobs a second
	burstFactor = 1.8 // the largest of height-rebuild
	burstFrom   = 3 * time.Second
	burstFor    = 4 * time.Second
	trafficFor  = 10 * time.Second
)

// starved: many jobs come at once that only minions of kind b may run, which are full, and then a job of another tenant that all minions may
// run, of which two thirds are idle.
func starved(rig *rig, trouble bool) (bool, error) {
	const filler, victim = "00000000000000e5", "00000000000000f6"
	rebuild := route("rebuild", jobHost, "/rebuild/", "survey", 2, 3)
	rebuild["stretch"], rebuild["targetLatencyMs"] = 4.0, 3000
	const minions = 12
	tenants := []map[string]any{tenant("first", firstKey), tenant("other", otherKey)}
	if err := begin(rig, minions, []map[string]any{rebuild, route("watch", jobHost, "/watch/", "survey", 1, 2)}, tenants); err != nil {
		return false, err
	}
	rig.setDuration("watch", 0)
	rig.setDuration("rebuild", firstStep)
	body := func(spec string, steps ...map[string]any) map[string]any {
		return map[string]any{"spec": spec, "steps": steps}
	}
	full := map[string]any{"count": minions / 3, "cpu": 32000, "memMb": 60000, "requiredLabel": "b", "longRunning": true}
	if status, _ := rig.callAny(http.MethodPost, jobHost, "/watch/"+filler, firstKey, body("watch", full)); status/100 != 2 {
		return false, fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(calmAtStart)
	if runs := len(rig.runsOf(filler)); runs != minions/3 {
		return false, fmt.Errorf("%d tasks that last run, not %d", runs, minions/3)
	}
	large := map[string]any{"count": 4, "cpu": 6600, "memMb": 6700, "estimateMs": 5600, "requiredLabel": "b"}
	began, sent, accepted := time.Now(), 0, make(chan bool, 1000)
	for time.Since(began) < trafficFor {
		passed := time.Since(began).Seconds()
		due := baseRate * passed
		if trouble {
			due += (burstFactor - 1) * baseRate * math.Min(math.Max(passed-burstFrom.Seconds(), 0), burstFor.Seconds())
		}
		for ; sent < int(due); sent++ {
			id := fmt.Sprintf("00000000%08x", sent+1)
			go func() {
				status, _ := rig.callAny(http.MethodPost, jobHost, "/rebuild/"+id, firstKey, body("rebuild", large, large, large))
				accepted <- status/100 == 2
			}()
		}
		time.Sleep(10 * time.Millisecond)
	}
	count := 0
	for range sent {
		if <-accepted {
			count++
		}
	}
	rig.log("%d of %d jobs for minions of kind b were accepted, of three steps each", count, sent)
	free := map[string]any{"count": 4, "cpu": 6600, "memMb": 6700, "estimateMs": 5600}
	if status, _ := rig.callAny(http.MethodPost, jobHost, "/rebuild/"+victim, otherKey, body("rebuild", free)); status/100 != 2 {
		return false, fmt.Errorf("the last job was not accepted")
	}
	rig.log("end of the traffic")
	time.Sleep(finishS + afterThat)
	rig.callAny(http.MethodGet, jobHost, "/rebuild/"+victim, otherKey, nil)
	runs := rig.runsOf(victim)
	rig.log("job %s of the other tenant: %d runs; %d of %d minions run nothing", victim, len(runs), rig.idle(), minions)
	return len(runs) == 0, nil
}

// idle returns the number of minions without runs.
func (rig *rig) idle() int {
	count := 0
	for _, w := range rig.workers {
		w.mu.Lock()
		if len(w.running) == 0 {
			count++
		}
		w.mu.Unlock()
	}
	return count
}

// other: another writer stores an entry with a service that isn't named in the configuration, for the machine of a minion at work.
func other(rig *rig, trouble bool) (bool, error) {
	const job = "0000000000000a07"
	if err := begin(rig, 9, []map[string]any{route("rebuild", jobHost, "/rebuild/", "survey", 2, 3)}, []map[string]any{tenant("first", firstKey)}); err != nil {
		return false, err
	}
	rig.setDuration("rebuild", 15*time.Second)
	step := map[string]any{"count": 2, "cpu": 20000, "memMb": 20000, "estimateMs": 15000}
	body := map[string]any{"spec": "rebuild", "steps": []any{step}}
	if status, _ := rig.callAny(http.MethodPost, jobHost, "/rebuild/"+job, firstKey, body); status/100 != 2 {
		return false, fmt.Errorf("the job was not accepted")
	}
	run, found := awaitRun(rig, job, afterCrash)
	if !found {
		return false, fmt.Errorf("the job did not start")
	}
	time.Sleep(calmAtStart)
	if trouble {
		address, err := freeAddress()
		if err != nil {
			return false, err
		}
		entry, _ := json.Marshal(map[string]any{
			"service": "backup-agent", "address": address, "zone": zones[0], "version": "1", "slots": 1, "state": "ready", "coldLeftMs": 0, "seq": 1,
			"capacity": map[string]int64{"cpu": 1000, "memMb": 100, "gpu": 0}, "labels": []string{}, "machine": run.machine,
			"born": time.Now().UnixMilli(),
		})
		rig.store.put("keyed.servers", "agent-1", entry)
		rig.log("another writer stores servers/agent-1: %s", entry)
	}
	time.Sleep(20 * time.Second)
	rig.callAny(http.MethodGet, jobHost, "/rebuild/"+job, firstKey, nil)
	return rig.atOnce(job), nil
}

// atOnce reports whether two runs of one task of a job were at work at the same time.
func (rig *rig) atOnce(job string) bool {
	broken := false
	runs := rig.runsOf(job)
	for _, first := range runs {
		for _, second := range runs {
			if first.task == second.task && first.number < second.number && (first.ended.IsZero() || second.began.Before(first.ended)) {
				broken = true
				rig.log("%s: run %d on %s (%.3f s to %.3f s, %s) and run %d on %s (from %.3f s) at the same time", first.task, first.number, first.minion,
					first.began.Sub(rig.began).Seconds(), first.ended.Sub(rig.began).Seconds(), first.how, second.number, second.minion, second.began.Sub(rig.began).Seconds())
			}
		}
	}
	return broken
}

// serving: the minion of a lasting task with a target is lost for good while a task that fills runs on each of the others.
func serving(rig *rig, trouble bool) (bool, error) {
	const target, fills = "0000000000000b08", "0000000000000c09"
	const minions = 10
	routes := []map[string]any{route("watch", jobHost, "/watch/", "survey", 1, 2), route("rebuild", jobHost, "/rebuild/", "survey", 2, 3)}
	if err := begin(rig, minions, routes, []map[string]any{tenant("first", firstKey), tenant("other", otherKey)}); err != nil {
		return false, err
	}
	rig.setDuration("watch", 0)
	rig.setDuration("rebuild", 100*time.Second)
	body := func(spec string, step map[string]any) map[string]any {
		return map[string]any{"spec": spec, "steps": []any{step}}
	}
	watch := body("watch", map[string]any{"count": 1, "cpu": 4000, "memMb": 4000, "longRunning": true, "image": "gauge", "targetMs": 200})
	if status, _ := rig.callAny(http.MethodPost, jobHost, "/watch/"+target, firstKey, watch); status/100 != 2 {
		return false, fmt.Errorf("the lasting job was not accepted")
	}
	run, found := awaitRun(rig, target, afterCrash)
	if !found {
		return false, fmt.Errorf("the lasting job did not start")
	}
	fill := body("rebuild", map[string]any{
		"count": minions - 1, "cpu": 2000, "memMb": 1000, "estimateMs": 90000, "fills": true, "image": "batch", "antiAffinity": 1, "checkpointing": true,
	})
	if status, _ := rig.callAny(http.MethodPost, jobHost, "/rebuild/"+fills, otherKey, fill); status/100 != 2 {
		return false, fmt.Errorf("the job that fills was not accepted")
	}
	time.Sleep(calmAtStart)
	for until := time.Now().Add(afterCrash); len(rig.runsOf(fills)) < minions-1; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			return false, fmt.Errorf("%d tasks that fill run, not %d", len(rig.runsOf(fills)), minions-1)
		}
	}
	if trouble {
		rig.workerOf(run).crash() // and does not come back
	}
	time.Sleep(40 * time.Second)
	rig.callAny(http.MethodGet, jobHost, "/watch/"+target, firstKey, nil)
	runs := rig.runsOf(target)
	last := runs[len(runs)-1]
	rig.log("the lasting task: %d runs, the last one began at %.3f s and ended at %.3f s (%s)", len(runs), last.began.Sub(rig.began).Seconds(), last.ended.Sub(rig.began).Seconds(), last.how)
	return !last.ended.IsZero(), nil
}

const (
	longestFreeze = 3500 * time.Millisecond
	returnsFrom   = 2600 * time.Millisecond // after the freeze began
	returnsGap    = 25 * time.Millisecond
)

// woken: a host through which the decider reaches minions is frozen and wakes, while some of these minions crash and start again.
func woken(rig *rig, trouble bool) (bool, error) {
	const minions, job, hosts = 210, "0000000000000d0a", 10
	var hostZones []string
	for number := range hosts {
		hostZones = append(hostZones, zones[number%len(zones)])
	}
	for number := range minions {
		zone := zones[number%len(zones)]
		if err := rig.addWorker(fmt.Sprintf("m%03d", number), "survey", zone, fmt.Sprintf("r%d", number/20), "a", 32000, 65536); err != nil {
			return false, err
		}
		rig.workers[number].keepsID = true
	}
	rig.publish([]map[string]any{route("rebuild", jobHost, "/rebuild/", "survey", 2, 3)}, []map[string]any{tenant("first", firstKey)}, "survey")
	if err := rig.startHosts(hostZones); err != nil {
		return false, err
	}
	if err := rig.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	rig.setDuration("rebuild", 12*time.Second)
	decider := rig.decider()
	var frozen *host
	for _, h := range rig.hosts {
		if h != decider && h.zone != decider.zone {
			frozen = h // the first host of its zone is the one that the decider uses there
			break
		}
	}
	rig.log("host %s decides, host %s calls the minions of %s for it", decider.name, frozen.name, frozen.zone)
	if trouble {
		rig.signal(frozen, syscall.SIGSTOP)
	}
	began := time.Now()
	step := map[string]any{"count": 200, "cpu": 20000, "memMb": 20000, "estimateMs": 12000}
	if status, _ := rig.call(decider, http.MethodPost, jobHost, "/rebuild/"+job, firstKey, map[string]any{"spec": "rebuild", "steps": []any{step}}); status/100 != 2 {
		return false, fmt.Errorf("the job was not accepted")
	}
	var hit []*worker
	if trouble {
		time.Sleep(returnsFrom - time.Second - time.Since(began))
		for _, w := range rig.workers {
			if w.zone == frozen.zone && len(hit) < minions*14/100 {
				hit = append(hit, w)
				w.crash()
			}
		}
		for number, w := range hit {
			time.Sleep(returnsFrom + time.Duration(number)*returnsGap - time.Since(began))
			if err := w.begin(); err != nil {
				return false, err
			}
		}
		rig.signal(frozen, syscall.SIGCONT)
		if lasted := time.Since(began); lasted > longestFreeze {
			return false, fmt.Errorf("the host was frozen for %v", lasted)
		}
	}
	time.Sleep(25 * time.Second)
	return rig.atOnce(job), nil
}

// decider returns the host that has logged last that it decides.
func (rig *rig) decider() *host {
	var found *host
	latest := ""
	for _, h := range rig.hosts {
		data, _ := os.ReadFile(h.output)
		for _, line := range strings.Split(string(data), "\n") {
			var entry struct{ Time, Msg string }
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "deciding" && entry.Time > latest {
				found, latest = h, entry.Time
			}
		}
	}
	return found
}

const (
	fillRate = 0.6 // jobs that fill, a second
	fillFor  = 4 * time.Second
)

// kept: jobs that fill come at once to a service each of whose minions runs a task with a target, and then a job of another tenant.
func kept(rig *rig, trouble bool) (bool, error) {
	const target, victim = "0000000000000b08", "0000000000000e0b"
	const minions = 4
	rebuild := route("rebuild", jobHost, "/rebuild/", "survey", 2, 3)
	rebuild["stretch"], rebuild["targetLatencyMs"] = 4.0, 3000
	routes := []map[string]any{route("watch", jobHost, "/watch/", "survey", 1, 2), rebuild}
	if err := begin(rig, minions, routes, []map[string]any{tenant("first", firstKey), tenant("other", otherKey)}); err != nil {
		return false, err
	}
	rig.setDuration("watch", 0)
	rig.setDuration("rebuild", firstStep)
	body := func(spec string, step map[string]any) map[string]any {
		return map[string]any{"spec": spec, "steps": []any{step}}
	}
	watch := body("watch", map[string]any{"count": minions, "cpu": 2000, "memMb": 2000, "longRunning": true, "image": "gauge", "targetMs": 200, "antiAffinity": 1})
	if status, _ := rig.callAny(http.MethodPost, jobHost, "/watch/"+target, firstKey, watch); status/100 != 2 {
		return false, fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(calmAtStart)
	rate := fillRate
	if trouble {
		rate *= burstFactor
	}
	fill := body("rebuild", map[string]any{"count": 1, "cpu": 2000, "memMb": 1000, "estimateMs": 5600, "fills": true, "image": "batch"})
	sent := int(rate * fillFor.Seconds())
	for number := range sent {
		if status, _ := rig.callAny(http.MethodPost, jobHost, fmt.Sprintf("/rebuild/%016x", 0xf000+number), firstKey, fill); status/100 != 2 {
			return false, fmt.Errorf("a job that fills was not accepted")
		}
		time.Sleep(fillFor / time.Duration(sent))
	}
	time.Sleep(time.Second)
	plain := body("rebuild", map[string]any{"count": 2, "cpu": 4000, "memMb": 4000, "estimateMs": 5600})
	if status, _ := rig.callAny(http.MethodPost, jobHost, "/rebuild/"+victim, otherKey, plain); status/100 != 2 {
		return false, fmt.Errorf("the last job was not accepted")
	}
	time.Sleep(finishS + afterThat)
	rig.callAny(http.MethodGet, jobHost, "/rebuild/"+victim, otherKey, nil)
	rig.log("job %s of the other tenant: %d runs", victim, len(rig.runsOf(victim)))
	return len(rig.runsOf(victim)) == 0, nil
}
